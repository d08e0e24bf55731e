// Sessions, streams and faults are accessed only on the thread of the log;
// other threads post to it.
#include "bench/StandinLog.h"

#include "bench/LogSession.h"
#include "bench/LogStreams.h"

#include <algorithm>
#include <future>
#include <thread>

namespace cyclamencroft {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Json = nlohmann::json;
using Tcp = asio::ip::tcp;

constexpr std::size_t MaxStreams = 64;
constexpr std::uint64_t MaxRecordsPerRead = 1000;
constexpr std::uint64_t MaxWaitMs = 60000;

constexpr std::string_view StreamPrefix = "/v1/streams/";
constexpr std::string_view StreamSuffix = "/records";

/// Value of a query parameter; \p Default when it is absent or not a number.
std::uint64_t parameter(const std::string &Target, const std::string &Name,
                        std::uint64_t Default) {
  const std::size_t Query = Target.find('?');
  if (Query == std::string::npos)
    return Default;
  const std::string Padded = '&' + Target.substr(Query + 1);
  const std::size_t Found = Padded.find('&' + Name + '=');
  if (Found == std::string::npos)
    return Default;
  const char *Begin = Padded.c_str() + Found + Name.size() + 2;
  char *End = nullptr;
  const std::uint64_t Value = std::strtoull(Begin, &End, 10);
  return End == Begin ? Default : Value;
}

/// Stream name in the path; empty for any other path.
std::string streamOf(const std::string &Target) {
  std::string_view Path(Target);
  Path = Path.substr(0, Path.find('?'));
  if (Path.size() <= StreamPrefix.size() + StreamSuffix.size() ||
      Path.substr(0, StreamPrefix.size()) != StreamPrefix ||
      Path.substr(Path.size() - StreamSuffix.size()) != StreamSuffix)
    return {};
  Path.remove_prefix(StreamPrefix.size());
  Path.remove_suffix(StreamSuffix.size());
  return std::string(Path);
}

const std::pair<LogDown, const char *> DownNames[] = {
    {LogDown::No, "no"},
    {LogDown::Reset, "reset"},
    {LogDown::Unavailable, "unavailable"},
    {LogDown::Hang, "hang"}};

LogDown downFromName(const std::string &Name) {
  for (const auto &[Down, Text] : DownNames)
    if (Name == Text)
      return Down;
  throw std::invalid_argument("down must be no, reset, unavailable or hang");
}

using SessionPtr = std::shared_ptr<LogSession>;

} // namespace

class StandinLog::Impl {
public:
  explicit Impl(const StandinLogOptions &Options) : m_Options(Options) {
    listen();
    accept();
    m_Thread = std::thread([this] { m_Io.run(); });
  }

  ~Impl() {
    m_Io.stop();
    m_Thread.join();
  }

  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  /// Runs \p Work on the thread of the log, waits, and returns its result.
  template <class F> auto call(F Work) {
    std::packaged_task<decltype(Work())()> Task(std::move(Work));
    auto Done = Task.get_future();
    asio::post(m_Io, [&Task] { Task(); });
    return Done.get();
  }

  void truncate(std::size_t Records) {
    for (auto &[Name, Stream] : m_Streams)
      Stream.truncate(Records);
  }

  StandinLogOptions m_Options;
  StandinLogMode m_Mode;
  StandinLogCounts m_Counts;
  asio::io_context m_Io{1};
  Tcp::acceptor m_Acceptor{m_Io};
  // Declared after m_Io, since pending reads hold sockets of m_Io.
  LogStreams m_Streams;

private:
  void listen() {
    try {
      const std::string &Listen = m_Options.m_Listen;
      const std::size_t Colon = Listen.rfind(':');
      const auto Address = asio::ip::make_address(Listen.substr(0, Colon));
      const auto Port = std::stoul(Listen.substr(Colon + 1));
      const Tcp::endpoint Endpoint(Address, static_cast<std::uint16_t>(Port));
      m_Acceptor.open(Endpoint.protocol());
      m_Acceptor.set_option(Tcp::acceptor::reuse_address(true));
      m_Acceptor.bind(Endpoint);
      m_Acceptor.listen();
    } catch (const std::exception &Fault) {
      throw std::runtime_error("listen on " + m_Options.m_Listen + ": " +
                               Fault.what());
    }
  }

  void accept() {
    m_Acceptor.async_accept([this](auto Fault, Tcp::socket Socket) {
      if (!Fault)
        std::make_shared<LogSession>(
            std::move(Socket),
            [this](const SessionPtr &Caller) { handle(Caller); })
            ->read();
      if (m_Acceptor.is_open())
        accept();
    });
  }

  /// Calls \p Done at \p Time.
  void runAt(TimePoint Time, std::function<void()> Done) {
    using Timer = asio::basic_waitable_timer<RuntimeClock>;
    auto Wait = std::make_shared<Timer>(m_Io, Time);
    Wait->async_wait([Wait, Done = std::move(Done)](auto Fault) {
      if (!Fault)
        Done();
    });
  }

  void handle(const SessionPtr &Caller) {
    const std::string Target = Caller->target();
    if (Target == "/mode")
      return handleMode(Caller);
    if (applyDownMode(Caller))
      return;
    const std::string Name = streamOf(Target);
    if (Name.empty())
      return Caller->respond(404, {{"error", "no such route"}});
    if (m_Streams.count(Name) == 0 && m_Streams.size() >= MaxStreams)
      return Caller->respond(507, {{"error", "too many streams"}});
    if (Caller->request().method() == http::verb::post)
      queueAppend(Caller, Name);
    else if (Caller->request().method() == http::verb::get)
      queueRead(Caller, Name);
    else
      Caller->respond(405, {{"error", "use GET or POST"}});
  }

  /// Applies the fault of a log that is down to the request. Returns false when
  /// the log is up and the request is still to be handled.
  bool applyDownMode(const SessionPtr &Caller) {
    if (m_Mode.m_Down == LogDown::Reset)
      Caller->reset();
    else if (m_Mode.m_Down == LogDown::Unavailable)
      Caller->respond(503, {{"error", "the log is unavailable"}});
    else if (m_Mode.m_Down == LogDown::Hang)
      m_UnansweredSessions.push_back(Caller);
    return m_Mode.m_Down != LogDown::No;
  }

  void queueAppend(const SessionPtr &Caller, const std::string &Name) {
    ++m_Counts.m_AppendRequests;
    if (m_Mode.m_LoseAppends > 0) {
      --m_Mode.m_LoseAppends;
      return Caller->reset();
    }
    const Duration Spacing =
        Duration(std::chrono::seconds(1)) / m_Options.m_AppendsPerSecond;
    m_NextAppendStart =
        std::max(m_NextAppendStart, RuntimeClock::now()) + Spacing;
    runAt(m_NextAppendStart + m_Options.m_AppendTime + m_Mode.m_ExtraDelay,
          [this, Caller, Name] { finishAppend(Caller, Name); });
  }

  void finishAppend(const SessionPtr &Caller, const std::string &Name) {
    ++m_Counts.m_Appends;
    const std::uint64_t Offset =
        m_Streams[Name].append(Caller->request().body(), m_Options.m_Retention);
    if (m_Mode.m_LoseReplies > 0) {
      --m_Mode.m_LoseReplies;
      return Caller->reset();
    }
    if (!applyDownMode(Caller))
      Caller->respond(200, {{"offset", Offset}});
  }

  void queueRead(const SessionPtr &Caller, const std::string &Name) {
    ++m_Counts.m_Reads;
    const std::uint64_t Wait =
        std::min(parameter(Caller->target(), "wait_ms", 0), MaxWaitMs);
    const TimePoint Deadline =
        RuntimeClock::now() + std::chrono::milliseconds(Wait);
    runAt(
        RuntimeClock::now() + m_Mode.m_ExtraDelay,
        [this, Caller, Name, Deadline] { finishRead(Caller, Name, Deadline); });
  }

  /// Responds when there are records or \p Deadline has passed; else waits for
  /// the earlier of the two.
  void finishRead(const SessionPtr &Caller, const std::string &Name,
                  TimePoint Deadline) {
    if (applyDownMode(Caller))
      return;
    LogStream &Stream = m_Streams[Name];
    const std::uint64_t From = parameter(Caller->target(), "from", 0);
    if (From < Stream.m_First)
      return Caller->respond(410, {{"first", Stream.m_First}});
    if (From < Stream.next() || RuntimeClock::now() >= Deadline)
      return Caller->respond(200, batch(Stream, From, Caller->target()));
    // Only the first of append and timer retries the read.
    auto Triggered = std::make_shared<bool>(false);
    const auto Retry = [this, Caller, Name, Deadline, Triggered] {
      if (!*Triggered) {
        *Triggered = true;
        finishRead(Caller, Name, Deadline);
      }
    };
    Stream.m_Waiting.emplace_back(Retry);
    runAt(Deadline, Retry);
  }

  static Json batch(const LogStream &Stream, std::uint64_t From,
                    const std::string &Target) {
    const std::uint64_t Limit =
        std::min(parameter(Target, "limit", 100), MaxRecordsPerRead);
    Json Records = Json::array();
    for (std::uint64_t I = From; I < Stream.next() && I - From < Limit; ++I)
      Records.push_back(
          {{"offset", I}, {"data", Stream.m_Records[I - Stream.m_First]}});
    return {{"first", Stream.m_First},
            {"next", Stream.next()},
            {"records", std::move(Records)}};
  }

  void handleMode(const SessionPtr &Caller) {
    try {
      if (Caller->request().method() == http::verb::post)
        changeMode(Json::parse(Caller->request().body()));
    } catch (const std::exception &Fault) {
      return Caller->respond(400, {{"error", Fault.what()}});
    }
    Json Body{{"slow_ms", m_Mode.m_ExtraDelay.count() / 1000},
              {"lose_replies", m_Mode.m_LoseReplies},
              {"lose_appends", m_Mode.m_LoseAppends},
              {"appends", m_Counts.m_Appends},
              {"reads", m_Counts.m_Reads}};
    for (const auto &[Down, Name] : DownNames)
      if (m_Mode.m_Down == Down)
        Body["down"] = Name;
    Caller->respond(200, Body);
  }

  void changeMode(const Json &Change) {
    StandinLogMode Mode = m_Mode;
    if (Change.contains("down"))
      Mode.m_Down = downFromName(Change["down"].get<std::string>());
    if (Change.contains("slow_ms"))
      Mode.m_ExtraDelay =
          std::chrono::milliseconds(Change["slow_ms"].get<std::uint32_t>());
    if (Change.contains("lose_replies"))
      Mode.m_LoseReplies = Change["lose_replies"].get<std::uint32_t>();
    if (Change.contains("lose_appends"))
      Mode.m_LoseAppends = Change["lose_appends"].get<std::uint32_t>();
    if (Change.contains("truncate"))
      truncate(Change["truncate"].get<std::size_t>());
    setMode(Mode);
  }

public:
  /// Resets the connections of unanswered requests; when the log goes down,
  /// also applies the new mode to pending reads.
  void setMode(const StandinLogMode &Mode) {
    m_Mode = Mode;
    for (const SessionPtr &Session : m_UnansweredSessions)
      Session->reset();
    m_UnansweredSessions.clear();
    if (Mode.m_Down != LogDown::No)
      for (auto &[Name, Stream] : m_Streams)
        for (const auto &Resume : std::exchange(Stream.m_Waiting, {}))
          Resume();
  }

private:
  /// Start of the latest scheduled append; spaces appends by the rate limit.
  TimePoint m_NextAppendStart{};
  std::vector<SessionPtr> m_UnansweredSessions;
  std::thread m_Thread;
};

StandinLog::StandinLog(const StandinLogOptions &Options)
    : m_Impl(std::make_shared<Impl>(Options)) {}

StandinLog::~StandinLog() = default;

std::uint16_t StandinLog::port() const {
  return m_Impl->m_Acceptor.local_endpoint().port();
}

std::string StandinLog::address() const {
  const std::string &Listen = m_Impl->m_Options.m_Listen;
  return Listen.substr(0, Listen.rfind(':') + 1) + std::to_string(port());
}

void StandinLog::setMode(const StandinLogMode &Mode) {
  m_Impl->call([this, &Mode] { m_Impl->setMode(Mode); });
}

void StandinLog::truncate(std::size_t Records) {
  m_Impl->call([this, Records] { m_Impl->truncate(Records); });
}

std::uint64_t StandinLog::append(const std::string &Stream,
                                 const std::string &Record) {
  return m_Impl->call([this, &Stream, &Record] {
    return m_Impl->m_Streams[Stream].append(Record,
                                            m_Impl->m_Options.m_Retention);
  });
}

StandinLogCounts StandinLog::counts() const {
  return m_Impl->call([this] { return m_Impl->m_Counts; });
}

} // namespace cyclamencroft
