// A daemon process that the soak starts, signals and restarts.
#pragma once

#include "core/RuntimeClock.h"
#include "process/support/ChildProcess.h"
#include "soak/Faults.h"

#include <memory>
#include <string>

namespace cyclamencroft::soak {

class DaemonProcess {
public:
  DaemonProcess(std::string Name, std::string Program, std::string SettingsFile,
                std::string LogFile);

  void start();
  void apply(ProcessFault::Type Type, TimePoint Now, Duration FaultDuration);

  /// Restarts or resumes the process when that is due. Returns true when the
  /// process exited without SIGTERM or SIGKILL from the soak.
  bool check(TimePoint Now);

  /// Sends SIGTERM; returns false when the process does not exit within \p
  /// Limit or exits with an error.
  bool terminate(std::chrono::milliseconds Limit);

  /// 0 while no process runs.
  pid_t pid() const { return m_Process ? m_Process->pid() : 0; }

  const std::string &name() const { return m_Name; }
  /// Distinguishes the process from those before its restarts.
  std::string incarnation() const {
    return m_Name + '#' + std::to_string(m_Incarnation);
  }
  bool isRunning() const { return m_Process && !m_Terminating && !m_Frozen; }

private:
  const std::string m_Name;
  const std::string m_Program;
  const std::string m_SettingsFile;
  const std::string m_LogFile;
  std::unique_ptr<test::ChildProcess> m_Process;
  std::uint64_t m_Incarnation = 0;
  bool m_Frozen = false;
  /// SIGTERM was sent.
  bool m_Terminating = false;
  TimePoint m_KillAt = TimePoint::max();
  /// When the process is restarted or resumed.
  TimePoint m_ResumeAt{};
};

} // namespace cyclamencroft::soak
