// A process under test that the test starts, signals and reaps.
#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace cyclamencroft::test {

class ChildProcess {
public:
  /// Starts \p Binary (a name in the build's bin folder) with \p Arguments;
  /// standard output and error go to \p OutputFile.
  ChildProcess(const std::string &Binary, std::vector<std::string> Arguments,
               std::string OutputFile);

  /// Kills and reaps the process if it has not been reaped yet.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  pid_t pid() const { return m_Pid; }
  void sendSignal(int Signal) const;

  /// Sends SIGKILL and waits until the process has exited.
  void kill();

  /// True when the process has ended within \p Timeout; reaps it.
  bool waitForExit(std::chrono::milliseconds Timeout);

  /// Exit code, or 128 plus the signal that ended it. Valid after the end.
  int exitCode() const { return m_ExitCode; }

  /// Waits until the output holds a log line of \p Event and returns the line;
  /// throws std::runtime_error with the output when \p Timeout passes.
  std::string waitForEvent(std::string_view Event,
                           std::chrono::milliseconds Timeout) const;

  /// Waits for an event as above and returns the value of \p Key on its line.
  std::string waitForField(std::string_view Event, std::string_view Key,
                           std::chrono::milliseconds Timeout) const;

  /// Everything written so far.
  std::string output() const;

private:
  void reap(int Status);

  std::string m_OutputFile;
  /// Invariant: positive until the process has been reaped, then 0.
  pid_t m_Pid = 0;
  int m_ExitCode = -1;
};

} // namespace cyclamencroft::test
