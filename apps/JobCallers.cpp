// Table of callers that wait for an answer.
#include "JobCallers.h"

#include "platform/JobWire.h"
#include "telemetry/EventLog.h"

namespace cyclamencroft {
namespace {

constexpr unsigned BadRequest = 400;
constexpr unsigned MethodNotAllowed = 405;

} // namespace

void JobCallers::handleCall(const std::shared_ptr<HttpExchange> &Exchange,
                            const QueuePtr &Queue, std::string_view IdText,
                            const std::function<void(JobId)> &Query) {
  const std::optional<JobId> Id = parseJobId(IdText);
  if (!Id)
    return Exchange->respond(platform::encodeRefusal(
        BadRequest, "a job id has 16 hexadecimal digits", {}));
  switch (platform::verbOf(Exchange->request())) {
  case platform::CallerVerb::Submit:
    return submit(Exchange, Queue, *Id);
  case platform::CallerVerb::Query:
    return Query(*Id);
  case platform::CallerVerb::Cancel:
    return m_Post(JobCancelled{registerCaller(Exchange), *Id});
  case platform::CallerVerb::Other:
    return Exchange->respond(platform::encodeRefusal(
        MethodNotAllowed, "use POST, GET or DELETE", {}));
  }
}

void JobCallers::submit(const std::shared_ptr<HttpExchange> &Exchange,
                        const QueuePtr &Queue, JobId Id) {
  auto Read = platform::readJob(Id, Exchange->request().body());
  if (const auto *Fault = std::get_if<std::string>(&Read)) {
    logEvent(LogLevel::Info, "job-unreadable",
             {{"job", toHex(Id)}, {"reason", *Fault}});
    return Exchange->respond(platform::encodeRefusal(BadRequest, *Fault, {}));
  }
  JobOffered Offer;
  Offer.m_Caller = registerCaller(Exchange);
  Offer.m_Job = std::move(std::get<JobDeclaration>(Read));
  Offer.m_Queue = Queue;
  Offer.m_CallerTimeout =
      platform::callerTimeout(Exchange->request(), Queue->m_Policy.m_Timeout);
  const CallerId Caller = Offer.m_Caller;
  m_Post(std::move(Offer));
  Exchange->onDisconnect([this, Caller] { handleDisconnect(Caller); });
}

CallerId
JobCallers::registerCaller(const std::shared_ptr<HttpExchange> &Exchange) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const CallerId Caller{m_NextId++};
  m_Waiting.emplace(Caller, WaitingCaller{Exchange, RuntimeClock::now()});
  return Caller;
}

void JobCallers::handleDisconnect(CallerId Caller) {
  {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    if (m_Waiting.erase(Caller) == 0)
      return;
  }
  m_Post(CallerDisconnected{Caller});
}

std::optional<Duration> JobCallers::answer(const JobAnswer &Answer) {
  WaitingCaller Done;
  {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    const auto Found = m_Waiting.find(Answer.m_Caller);
    if (Found == m_Waiting.end())
      return std::nullopt;
    Done = std::move(Found->second);
    m_Waiting.erase(Found);
  }
  Done.m_Exchange->respond(platform::encodeAnswer(Answer));
  return RuntimeClock::now() - Done.m_ReceivedAt;
}

std::size_t JobCallers::size() const {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Waiting.size();
}

} // namespace cyclamencroft
