// Sends requests from several threads in the background until it is stopped.
#pragma once

#include "http/HttpClient.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cyclamencroft::test {

/// Outcomes that the callers received.
struct LoadResult {
  /// Calls by outcome header; "no-answer" when the connection broke.
  std::map<std::string, std::uint64_t> m_Outcomes;
  /// Ids of the requests that were answered `not-run`.
  std::vector<std::string> m_NotRun;
  /// Completed answers that carried the id of another request.
  std::uint64_t m_WrongAnswers = 0;

  std::uint64_t count(const std::string &Outcome) const;
  std::uint64_t total() const;
};

class BackgroundLoad {
public:
  struct Options {
    /// Each caller sends its requests to the entries in turn.
    std::vector<std::string> m_Entries;
    std::size_t m_Callers = 8;
    std::string m_Body = "run-ms=50 ";
    bool m_NonIdempotent = true;
  };

  explicit BackgroundLoad(Options Wanted);
  ~BackgroundLoad();
  BackgroundLoad(const BackgroundLoad &) = delete;
  BackgroundLoad &operator=(const BackgroundLoad &) = delete;

  /// Waits until \p Calls calls have been answered or have failed.
  void waitForCalls(std::uint64_t Calls) const;

  /// Waits for the calls in flight and returns the results of all calls.
  LoadResult stop();

private:
  void runCaller(std::size_t Index);
  void record(const std::string &Id, const HttpResponse &Response);
  void recordNoAnswer();

  const Options m_Options;
  std::atomic<bool> m_Stopping{false};
  std::atomic<std::uint64_t> m_Calls{0};
  std::mutex m_Mutex;
  /// Guarded by m_Mutex while callers run.
  LoadResult m_Result;
  std::vector<std::thread> m_Threads;
};

} // namespace cyclamencroft::test
