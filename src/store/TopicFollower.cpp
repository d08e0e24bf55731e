// Long polling of a keyed topic, with a fixed delay after each failure.
#include "store/TopicFollower.h"

#include "telemetry/EventLog.h"

#include <algorithm>
#include <exception>
#include <iterator>
#include <utility>
#include <vector>

namespace cyclamencroft {
namespace {

/// Time for the answer in addition to the wait at the store: a slow store takes
/// 250 ms to answer.
constexpr Duration AnswerAllowance = std::chrono::milliseconds(500);

/// Timeout for reading the newest records, which may include a large
/// configuration. Bounds how long a call accepted by an unresponsive store
/// delays the detection that the store is available again.
constexpr Duration NewestReadTimeout = std::chrono::milliseconds(700);

constexpr Duration RetryDelay = std::chrono::milliseconds(150);

/// A read and its retry follow one another, so one connection suffices.
constexpr std::size_t MaxConnections = 1;

} // namespace

TopicFollower::TopicFollower(boost::asio::io_context &Io, TopicStore Store,
                             Options Opts, Handler Handle,
                             PositionHandler OnPosition)
    : m_Store(std::move(Store)), m_Options(std::move(Opts)),
      m_Handle(std::move(Handle)), m_OnPosition(std::move(OnPosition)),
      m_Pool(Io, MaxConnections), m_Retry(Io) {}

TopicFollower::~TopicFollower() = default;

void TopicFollower::start() {
  m_FirstPage = true;
  m_ListedKeys.clear();
  readNewest("");
}

void TopicFollower::readNewest(const std::string &AfterKey) {
  HttpCall Call = m_Store.m_NewestCall(m_Options.m_Topic, AfterKey);
  Call.m_Timeout = NewestReadTimeout;
  m_Pool.call(std::move(Call), [this](const HttpOutcome &Outcome) {
    onNewestResponse(Outcome);
  });
}

void TopicFollower::onNewestResponse(const HttpOutcome &Outcome) {
  if (const auto *Failed = std::get_if<Error>(&Outcome))
    return handleFault(Failed->describe());
  const auto Read = m_Store.m_ReadNewest(std::get<HttpResponse>(Outcome));
  if (const auto *Failed = std::get_if<StoreFault>(&Read))
    return handleFault(Failed->m_Message);
  markReachable();
  const auto &Page = std::get<NewestPage>(Read);
  if (std::exchange(m_FirstPage, false))
    m_EndAtFirstPage = Page.m_End;
  for (const KeyedRecord &Each : Page.m_Records) {
    m_ListedKeys.insert(Each.m_Key);
    deliver(Each);
  }
  if (Page.m_Truncated && !Page.m_Records.empty())
    return readNewest(Page.m_Records.back().m_Key);
  deliverDeletions();
  reportPosition(m_EndAtFirstPage);
  m_Following = true;
  m_Next = m_EndAtFirstPage;
  readRecords();
}

void TopicFollower::readRecords() {
  HttpCall Call =
      m_Store.m_RecordsCall(m_Options.m_Topic, m_Next, m_Options.m_Wait);
  Call.m_Timeout = m_Options.m_Wait + AnswerAllowance;
  m_Pool.call(std::move(Call), [this](const HttpOutcome &Outcome) {
    onRecordsResponse(Outcome);
  });
}

void TopicFollower::onRecordsResponse(const HttpOutcome &Outcome) {
  if (const auto *Failed = std::get_if<Error>(&Outcome))
    return handleFault(Failed->describe());
  const auto Read =
      m_Store.m_ReadRecords(std::get<HttpResponse>(Outcome), m_Next);
  if (const auto *Failed = std::get_if<StoreFault>(&Read))
    return handleFault(Failed->m_Message);
  markReachable();
  if (std::holds_alternative<RecordsExpired>(Read)) {
    logEvent(LogLevel::Info, "topic-records-expired",
             {{"topic", m_Options.m_Topic}, {"from", std::to_string(m_Next)}});
    m_Following = false;
    return start();
  }
  const auto &Batch = std::get<RecordBatch>(Read);
  for (const KeyedRecord &Each : Batch.m_Records)
    deliver(Each);
  m_Next = Batch.m_Next;
  if (!Batch.m_Records.empty())
    reportPosition(m_Next);
  readRecords();
}

void TopicFollower::deliver(const KeyedRecord &Record) {
  if (!m_Options.m_Key.empty() && Record.m_Key != m_Options.m_Key)
    return;
  if (Record.m_Value.empty())
    m_Keys.erase(Record.m_Key);
  else
    m_Keys.insert(Record.m_Key);
  // A record that can't be handled must not keep later ones from being read.
  try {
    m_Handle(Record);
  } catch (const std::exception &Fault) {
    logEvent(LogLevel::Error, "record-failed",
             {{"topic", m_Options.m_Topic},
              {"key", Record.m_Key},
              {"offset", std::to_string(Record.m_Offset)},
              {"reason", Fault.what()}});
  }
}

/// Records that expired before they were read may have deleted keys.
void TopicFollower::deliverDeletions() {
  std::vector<std::string> Deleted;
  std::set_difference(m_Keys.begin(), m_Keys.end(), m_ListedKeys.begin(),
                      m_ListedKeys.end(), std::back_inserter(Deleted));
  for (const std::string &Key : Deleted)
    deliver({Key, "", m_EndAtFirstPage - 1});
}

void TopicFollower::reportPosition(std::uint64_t End) {
  if (m_OnPosition)
    m_OnPosition(End);
}

void TopicFollower::handleFault(const std::string &Reason) {
  if (std::exchange(m_Reachable, false))
    logEvent(LogLevel::Warning, "store-lost",
             {{"topic", m_Options.m_Topic}, {"reason", Reason}});
  retry();
}

void TopicFollower::markReachable() {
  if (!std::exchange(m_Reachable, true))
    logEvent(LogLevel::Info, "store-regained", {{"topic", m_Options.m_Topic}});
}

void TopicFollower::retry() {
  m_Retry.expires_after(RetryDelay);
  m_Retry.async_wait([this](const boost::system::error_code &Fault) {
    if (Fault)
      return;
    if (m_Following)
      readRecords();
    else
      start();
  });
}

} // namespace cyclamencroft
