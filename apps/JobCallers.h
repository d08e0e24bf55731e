// Callers that wait for an entry's answer about a job.
#pragma once

#include "http/HttpServer.h"
#include "jobs/JobEvents.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace cyclamencroft {

/// Thread-safe.
class JobCallers {
public:
  explicit JobCallers(std::function<void(JobEvent)> Post)
      : m_Post(std::move(Post)) {}

  /// Parses a call about a job of \p Queue and posts the event that follows
  /// from it. Calls \p Query for a request for the job's state.
  void handleCall(const std::shared_ptr<HttpExchange> &Exchange,
                  const QueuePtr &Queue, std::string_view IdText,
                  const std::function<void(JobId)> &Query);

  /// Sends the answer. Returns the time since the call was received, or nothing
  /// when the caller has disconnected.
  std::optional<Duration> answer(const JobAnswer &Answer);

  std::size_t size() const;

private:
  struct WaitingCaller {
    std::shared_ptr<HttpExchange> m_Exchange;
    TimePoint m_ReceivedAt;
  };

  CallerId registerCaller(const std::shared_ptr<HttpExchange> &Exchange);
  void submit(const std::shared_ptr<HttpExchange> &Exchange,
              const QueuePtr &Queue, JobId Id);
  void handleDisconnect(CallerId Caller);

  const std::function<void(JobEvent)> m_Post;
  mutable std::mutex m_Mutex;
  /// Guarded by m_Mutex, as is m_NextId.
  std::unordered_map<CallerId, WaitingCaller> m_Waiting;
  std::uint64_t m_NextId = 1;
};

} // namespace cyclamencroft
