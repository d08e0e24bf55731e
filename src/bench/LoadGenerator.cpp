// Every call uses its own connection so that a slow response delays no other
// call.
#include "bench/LoadGenerator.h"

#include "http/HttpClient.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace cyclamencroft {
namespace {

using Timer = boost::asio::basic_waitable_timer<RuntimeClock>;

constexpr Duration CallTimeout = std::chrono::seconds(60);
constexpr Duration CallDeadline = std::chrono::seconds(40);

/// Stand-in endpoints read the run time from the start of the body.
std::string taskBody(Duration RunTime) {
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(RunTime).count();
  return "run-ms=" + std::to_string(Milliseconds) + " ";
}

std::string jobBody(const PlannedCall &Call) {
  auto Tasks = nlohmann::json::array();
  for (const Duration RunTime : Call.m_RunTimes)
    Tasks.push_back(taskBody(RunTime));
  return nlohmann::json({{"tasks", Tasks}}).dump();
}

HttpCall makeCall(const PlannedCall &Planned, const std::string &Entry,
                  const std::string &Service) {
  HttpCall Call;
  Call.m_Address = Entry;
  Call.m_Method = "POST";
  Call.m_Target =
      "/v1/services/" + Service + (Planned.m_Job ? "/jobs" : "/requests");
  Call.m_Body =
      Planned.m_Job ? jobBody(Planned) : taskBody(Planned.m_RunTimes.front());
  Call.m_Timeout = CallTimeout;
  const auto DeadlineMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(CallDeadline);
  Call.m_Headers.emplace_back("Cyclamencroft-Deadline-Ms",
                              std::to_string(DeadlineMs.count()));
  if (Planned.m_NonIdempotent)
    Call.m_Headers.emplace_back("Cyclamencroft-Non-Idempotent", "true");
  return Call;
}

std::string outcomeOf(const HttpOutcome &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  if (!Response)
    return "no-answer";
  const std::string_view Outcome = Response->header("Cyclamencroft-Outcome");
  return Outcome.empty() ? "status-" + std::to_string(Response->m_Status)
                         : std::string(Outcome);
}

} // namespace

class LoadGenerator::Impl {
public:
  Impl(boost::asio::io_context &Io, std::vector<std::string> Entries,
       std::string Service, std::uint32_t Slots)
      : m_Io(Io), m_Timer(Io), m_Entries(std::move(Entries)),
        m_Service(std::move(Service)), m_Slots(Slots) {}

  void start(std::vector<PlannedCall> Plan) {
    m_Plan = std::move(Plan);
    m_Start = RuntimeClock::now();
    m_Samples.reserve(m_Plan.size());
    scheduleNext();
  }

  void removeEntry(const std::string &Entry) {
    m_Entries.erase(std::remove(m_Entries.begin(), m_Entries.end(), Entry),
                    m_Entries.end());
  }

  bool finished() const {
    return m_Next == m_Plan.size() && m_Samples.size() == m_Plan.size();
  }

  const std::vector<CallSample> &samples() const { return m_Samples; }

private:
  void scheduleNext() {
    if (m_Next == m_Plan.size())
      return;
    m_Timer.expires_at(m_Start + m_Plan[m_Next].m_At);
    m_Timer.async_wait([this](const boost::system::error_code &Error) {
      if (!Error)
        sendDue();
    });
  }

  void sendDue() {
    while (m_Next < m_Plan.size() &&
           m_Start + m_Plan[m_Next].m_At <= RuntimeClock::now())
      send(m_Plan[m_Next++]);
    scheduleNext();
  }

  void send(const PlannedCall &Planned) {
    const std::string &Entry =
        m_Entries[m_RoundRobinIndex++ % m_Entries.size()];
    const TimePoint Due = m_Start + Planned.m_At;
    httpCallAsync(m_Io, makeCall(Planned, Entry, m_Service),
                  [this, &Planned, Due](const HttpOutcome &Result) {
                    record(Planned, Due, Result);
                  });
  }

  // Measures from the planned send time, so that delays of the generator itself
  // are included in the response time (no coordinated omission).
  void record(const PlannedCall &Planned, TimePoint Due,
              const HttpOutcome &Result) {
    CallSample Sample;
    Sample.m_Job = Planned.m_Job;
    Sample.m_Tasks = static_cast<std::uint32_t>(Planned.m_RunTimes.size());
    Sample.m_Outcome = outcomeOf(Result);
    const Duration ResponseTime = RuntimeClock::now() - Due;
    const Duration Ideal = idealResponseTime(Planned, m_Slots);
    Sample.m_Ratio = static_cast<double>(ResponseTime.count()) /
                     static_cast<double>(Ideal.count());
    m_Samples.push_back(std::move(Sample));
  }

  boost::asio::io_context &m_Io;
  Timer m_Timer;
  /// Invariant: not empty while calls remain.
  std::vector<std::string> m_Entries;
  const std::string m_Service;
  const std::uint32_t m_Slots;
  std::vector<PlannedCall> m_Plan;
  TimePoint m_Start{};
  /// Index of the next call to send.
  std::size_t m_Next = 0;
  std::size_t m_RoundRobinIndex = 0;
  std::vector<CallSample> m_Samples;
};

LoadGenerator::LoadGenerator(boost::asio::io_context &Io,
                             std::vector<std::string> Entries,
                             std::string Service, std::uint32_t Slots)
    : m_Impl(std::make_unique<Impl>(Io, std::move(Entries), std::move(Service),
                                    Slots)) {}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::removeEntry(const std::string &Entry) {
  m_Impl->removeEntry(Entry);
}

void LoadGenerator::start(std::vector<PlannedCall> Plan) {
  m_Impl->start(std::move(Plan));
}

bool LoadGenerator::finished() const { return m_Impl->finished(); }

const std::vector<CallSample> &LoadGenerator::samples() const {
  return m_Impl->samples();
}

} // namespace cyclamencroft
