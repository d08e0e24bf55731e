// Starts children with posix_spawn; their output file is polled for log lines.
#include "process/support/ChildProcess.h"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>

extern char **environ;

namespace cyclamencroft::test {
namespace {

constexpr std::chrono::milliseconds PollInterval{5};
constexpr int SignalExitBase = 128;

std::vector<char *> argumentPointers(std::vector<std::string> &Arguments) {
  std::vector<char *> Pointers;
  Pointers.reserve(Arguments.size() + 1);
  for (std::string &Argument : Arguments)
    Pointers.push_back(Argument.data());
  Pointers.push_back(nullptr);
  return Pointers;
}

std::string findLine(const std::string &Output, const std::string &Needle) {
  std::istringstream Lines(Output);
  for (std::string Line; std::getline(Lines, Line);)
    // A line without its newline may still be incomplete.
    if (!Lines.eof() && (Line + ' ').find(Needle) != std::string::npos)
      return Line;
  return {};
}

std::string valueOf(const std::string &Line, const std::string &Key) {
  const std::string Needle = ' ' + Key + '=';
  const std::size_t At = Line.find(Needle);
  if (At == std::string::npos)
    throw std::runtime_error("no key " + Key + " in: " + Line);
  const std::size_t Begin = At + Needle.size();
  return Line.substr(Begin, Line.find(' ', Begin) - Begin);
}

} // namespace

ChildProcess::ChildProcess(const std::string &Binary,
                           std::vector<std::string> Arguments,
                           std::string OutputFile)
    : m_OutputFile(std::move(OutputFile)) {
  const std::string Path = std::string(BINARY_DIRECTORY) + '/' + Binary;
  Arguments.insert(Arguments.begin(), Path);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO,
                                   m_OutputFile.c_str(),
                                   O_CREAT | O_WRONLY | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  // Otherwise the child would inherit listening sockets of this process and
  // keep their ports in use.
  posix_spawn_file_actions_addclosefrom_np(&Actions, STDERR_FILENO + 1);
  const int Error = posix_spawn(&m_Pid, Path.c_str(), &Actions, nullptr,
                                argumentPointers(Arguments).data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0)
    throw std::runtime_error("cannot start " + Path + ": " +
                             std::strerror(Error));
}

ChildProcess::~ChildProcess() { kill(); }

void ChildProcess::sendSignal(int Signal) const {
  if (m_Pid > 0)
    ::kill(m_Pid, Signal);
}

void ChildProcess::kill() {
  if (m_Pid <= 0)
    return;
  sendSignal(SIGKILL);
  int Status = 0;
  waitpid(m_Pid, &Status, 0);
  reap(Status);
}

bool ChildProcess::waitForExit(std::chrono::milliseconds Timeout) {
  const auto End = std::chrono::steady_clock::now() + Timeout;
  while (m_Pid > 0) {
    int Status = 0;
    if (waitpid(m_Pid, &Status, WNOHANG) == m_Pid)
      reap(Status);
    else if (std::chrono::steady_clock::now() >= End)
      return false;
    else
      std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

void ChildProcess::reap(int Status) {
  m_Pid = 0;
  m_ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status)
                                 : SignalExitBase + WTERMSIG(Status);
}

std::string
ChildProcess::waitForEvent(std::string_view Event,
                           std::chrono::milliseconds Timeout) const {
  const std::string Needle = " event=" + std::string(Event) + ' ';
  const auto End = std::chrono::steady_clock::now() + Timeout;
  for (;;) {
    const std::string Text = output();
    std::string Line = findLine(Text, Needle);
    if (!Line.empty())
      return Line;
    if (std::chrono::steady_clock::now() >= End)
      throw std::runtime_error("no event " + std::string(Event) + " in:\n" +
                               Text);
    std::this_thread::sleep_for(PollInterval);
  }
}

std::string
ChildProcess::waitForField(std::string_view Event, std::string_view Key,
                           std::chrono::milliseconds Timeout) const {
  return valueOf(waitForEvent(Event, Timeout), std::string(Key));
}

std::string ChildProcess::output() const {
  std::ifstream In(m_OutputFile);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

} // namespace cyclamencroft::test
