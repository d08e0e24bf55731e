// Starts, signals and restarts one daemon process.
#include "soak/DaemonProcess.h"

#include <csignal>
#include <utility>

namespace cyclamencroft::soak {
namespace {

/// Delay between the end of a process and its restart.
constexpr Duration RestartPause = std::chrono::milliseconds(100);

} // namespace

DaemonProcess::DaemonProcess(std::string Name, std::string Program,
                             std::string SettingsFile, std::string LogFile)
    : m_Name(std::move(Name)), m_Program(std::move(Program)),
      m_SettingsFile(std::move(SettingsFile)), m_LogFile(std::move(LogFile)) {}

void DaemonProcess::start() {
  ++m_Incarnation;
  m_Frozen = false;
  m_Terminating = false;
  m_KillAt = TimePoint::max();
  m_Process = std::make_unique<test::ChildProcess>(
      m_Program, std::vector<std::string>{"--settings", m_SettingsFile},
      m_LogFile);
}

void DaemonProcess::apply(ProcessFault::Type Type, TimePoint Now,
                          Duration FaultDuration) {
  if (!m_Process)
    return;
  switch (Type) {
  case ProcessFault::Type::Kill:
    m_Process.reset();
    m_ResumeAt = Now + FaultDuration;
    return;
  case ProcessFault::Type::Terminate:
    m_Process->sendSignal(SIGTERM);
    m_Terminating = true;
    m_ResumeAt = Now + RestartPause;
    m_KillAt = Now + Bounds::ShutdownTimeout;
    return;
  case ProcessFault::Type::Freeze:
    m_Process->sendSignal(SIGSTOP);
    m_Frozen = true;
    m_ResumeAt = Now + FaultDuration;
    return;
  case ProcessFault::Type::HangUp:
    m_Process->sendSignal(SIGHUP);
    return;
  }
}

bool DaemonProcess::check(TimePoint Now) {
  bool ExitedUnexpectedly = false;
  if (m_Process && m_Process->waitForExit(std::chrono::milliseconds(0))) {
    ExitedUnexpectedly = !m_Terminating;
    m_Process.reset();
    m_ResumeAt = std::max(m_ResumeAt, Now + RestartPause);
  }
  if (m_Process && Now >= m_KillAt) {
    m_Process.reset();
    m_ResumeAt = Now + RestartPause;
  }
  if (Now < m_ResumeAt)
    return ExitedUnexpectedly;
  if (!m_Process)
    start();
  else if (std::exchange(m_Frozen, false))
    m_Process->sendSignal(SIGCONT);
  return ExitedUnexpectedly;
}

bool DaemonProcess::terminate(std::chrono::milliseconds Limit) {
  if (!m_Process)
    return true;
  m_Process->sendSignal(SIGTERM);
  const bool Ended = m_Process->waitForExit(Limit);
  const bool ExitedCleanly = Ended && m_Process->exitCode() == 0;
  m_Process.reset();
  return ExitedCleanly;
}

} // namespace cyclamencroft::soak
