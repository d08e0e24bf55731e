// Repeats the append of one record until it succeeds. A second copy of the
// record has no effect.
#include "store/TopicAnnouncer.h"

#include "telemetry/EventLog.h"

#include <utility>

namespace cyclamencroft {
namespace {

constexpr Duration AppendTimeout = std::chrono::seconds(1);
constexpr Duration RetryDelay = std::chrono::milliseconds(300);
constexpr unsigned Ok = 200;

} // namespace

TopicAnnouncer::TopicAnnouncer(boost::asio::io_context &Io, TopicStore Store,
                               std::string Topic, KeyedRecord Record)
    : m_Store(std::move(Store)), m_Topic(std::move(Topic)),
      m_Record(std::move(Record)), m_Pool(Io, 1), m_Retry(Io) {}

void TopicAnnouncer::start() {
  HttpCall Call = m_Store.m_AppendCall(m_Topic, m_Record);
  Call.m_Timeout = AppendTimeout;
  m_Pool.call(std::move(Call), [this](const HttpOutcome &Outcome) {
    if (const auto *Failed = std::get_if<Error>(&Outcome))
      return retry(Failed->describe());
    const unsigned Status = std::get<HttpResponse>(Outcome).m_Status;
    if (Status != Ok)
      return retry("status " + std::to_string(Status));
    logEvent(LogLevel::Info, "announced",
             {{"topic", m_Topic}, {"key", m_Record.m_Key}});
  });
}

void TopicAnnouncer::retry(const std::string &Reason) {
  if (!std::exchange(m_Logged, true))
    logEvent(LogLevel::Warning, "announcement-delayed",
             {{"topic", m_Topic}, {"reason", Reason}});
  m_Retry.expires_after(RetryDelay);
  m_Retry.async_wait([this](const boost::system::error_code &Fault) {
    if (!Fault)
      start();
  });
}

} // namespace cyclamencroft
