// Each direction of a connection is a queue of chunks, each with the earliest
// time at which it may be written.
#include "bench/Relay.h"

#include "core/RuntimeTimer.h"
#include "core/SocketAddress.h"
#include "http/HttpServer.h"
#include "telemetry/EventLog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <deque>
#include <set>
#include <stdexcept>
#include <thread>

namespace cyclamencroft {
namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

enum class Mode { Pass, Cut, Reset, Stall, Delay, StallUp, StallDown };

struct RelayState {
  Mode m_Mode = Mode::Pass;
  Duration m_Delay{};

  /// Whether the direction that \p StallMode stalls forwards nothing.
  bool stalls(Mode StallMode) const {
    return m_Mode == Mode::Stall || m_Mode == StallMode;
  }
};

/// Limit of queued bytes in one direction above which reading pauses.
constexpr std::size_t MaxQueuedChunkBytes = std::size_t(256) * 1024;
constexpr std::size_t ReadBytes = std::size_t(16) * 1024;

tcp::endpoint addressOf(const std::string &Text) {
  const auto Address = parseSocketAddress(Text);
  if (!Address)
    throw std::runtime_error("relay, " + Text + ": expected IP:port");
  return *Address;
}

std::string toText(const tcp::endpoint &Address) {
  return Address.address().to_string() + ':' + std::to_string(Address.port());
}

/// One direction of a relayed connection. Pending operations hold the owner,
/// which keeps this object and both sockets alive.
class Direction {
public:
  /// \p StallMode is the mode that stalls only this direction.
  Direction(const RelayState &State, Mode StallMode, tcp::socket &From,
            tcp::socket &To)
      : m_State(State), m_StallMode(StallMode), m_From(From), m_To(To),
        m_Timer(From.get_executor()) {}

  void start(const std::shared_ptr<void> &Owner) {
    m_Owner = Owner;
    resume();
  }

  /// Resumes reading and writing as far as the current mode allows.
  void resume() {
    read();
    write();
  }

  void cancel() { m_Timer.cancel(); }

  bool ended() const { return m_EndWritten; }

private:
  struct Chunk {
    TimePoint m_Due;
    /// Empty at the end of the stream.
    std::string m_Bytes;
  };

  void read() {
    const auto Owner = m_Owner.lock();
    if (!Owner || m_Reading || m_EndRead || m_State.stalls(m_StallMode) ||
        m_Queued > MaxQueuedChunkBytes)
      return;
    m_Reading = true;
    m_From.async_read_some(
        boost::asio::buffer(m_Buffer),
        [this, Owner](ErrorCode Fault, std::size_t Bytes) {
          m_Reading = false;
          if (Fault == boost::asio::error::operation_aborted)
            return;
          m_EndRead = static_cast<bool>(Fault);
          const Duration Delay =
              m_State.m_Mode == Mode::Delay ? m_State.m_Delay : Duration{};
          m_Chunks.push_back({RuntimeClock::now() + Delay,
                              std::string(m_Buffer.data(), Bytes)});
          m_Queued += Bytes;
          resume();
        });
  }

  void write() {
    const auto Owner = m_Owner.lock();
    if (!Owner || m_Writing || m_Chunks.empty() || m_State.stalls(m_StallMode))
      return;
    if (m_Chunks.front().m_Due > RuntimeClock::now())
      return waitUntilDue(Owner);
    if (m_Chunks.front().m_Bytes.empty()) {
      ErrorCode Ignored;
      m_To.shutdown(tcp::socket::shutdown_send, Ignored);
      m_EndWritten = true;
      m_Chunks.clear();
      return;
    }
    m_Writing = true;
    boost::asio::async_write(m_To,
                             boost::asio::buffer(m_Chunks.front().m_Bytes),
                             [this, Owner](ErrorCode Fault, std::size_t Bytes) {
                               m_Writing = false;
                               if (Fault)
                                 return fail();
                               m_Queued -= Bytes;
                               m_Chunks.pop_front();
                               resume();
                             });
  }

  void waitUntilDue(const std::shared_ptr<void> &Owner) {
    m_Timer.expires_at(m_Chunks.front().m_Due);
    m_Timer.async_wait([this, Owner](ErrorCode Fault) {
      if (!Fault)
        write();
    });
  }

  /// Handles a failed write: shuts down the source socket so that the sender
  /// detects the failure.
  void fail() {
    m_EndWritten = true;
    m_EndRead = true;
    m_Chunks.clear();
    ErrorCode Ignored;
    m_From.shutdown(tcp::socket::shutdown_both, Ignored);
  }

  const RelayState &m_State;
  const Mode m_StallMode;
  tcp::socket &m_From;
  tcp::socket &m_To;
  RuntimeTimer m_Timer;
  std::weak_ptr<void> m_Owner;
  std::array<char, ReadBytes> m_Buffer;
  std::deque<Chunk> m_Chunks;
  std::size_t m_Queued = 0;
  bool m_Reading = false;
  bool m_Writing = false;
  bool m_EndRead = false;
  bool m_EndWritten = false;
};

/// Both directions of one relayed connection.
class RelayedConnection
    : public std::enable_shared_from_this<RelayedConnection> {
public:
  RelayedConnection(const RelayState &State, tcp::socket Caller)
      : m_State(State), m_Caller(std::move(Caller)),
        m_Target(m_Caller.get_executor()),
        m_Up(State, Mode::StallUp, m_Caller, m_Target),
        m_Down(State, Mode::StallDown, m_Target, m_Caller) {}

  /// Connects to the target if not yet connected, unless the relay is stalled;
  /// resumes both directions of an open connection.
  void resume(const tcp::endpoint &Target) {
    if (m_Open) {
      m_Up.resume();
      m_Down.resume();
      return;
    }
    if (m_Connecting || m_State.m_Mode == Mode::Stall)
      return;
    m_Connecting = true;
    m_Target.async_connect(Target,
                           [this, Self = shared_from_this()](ErrorCode Fault) {
                             if (Fault)
                               return close(false);
                             ErrorCode Ignored;
                             m_Caller.set_option(tcp::no_delay(true), Ignored);
                             m_Target.set_option(tcp::no_delay(true), Ignored);
                             m_Open = true;
                             m_Up.start(Self);
                             m_Down.start(Self);
                           });
  }

  void close(bool Reset) {
    ErrorCode Ignored;
    m_Up.cancel();
    m_Down.cancel();
    for (tcp::socket *Socket : {&m_Caller, &m_Target}) {
      if (Reset)
        Socket->set_option(tcp::socket::linger(true, 0), Ignored);
      Socket->close(Ignored);
    }
  }

  bool ended() const {
    return !m_Caller.is_open() || (m_Up.ended() && m_Down.ended());
  }

private:
  const RelayState &m_State;
  tcp::socket m_Caller;
  tcp::socket m_Target;
  bool m_Connecting = false;
  bool m_Open = false;
  Direction m_Up;
  Direction m_Down;
};

} // namespace

class Relay::Impl {
public:
  explicit Impl(const RelayOptions &Options)
      : m_Target(addressOf(Options.m_Target)),
        m_Acceptor(m_Io, addressOf(Options.m_Listen)),
        m_Control(
            m_Io, Options.m_Control,
            [this](const std::shared_ptr<HttpExchange> &Exchange) {
              control(*Exchange);
            },
            HttpServer::Limits()),
        m_ControlIp(addressOf(Options.m_Control).address().to_string()) {
    accept();
    m_Thread = std::thread([this] { m_Io.run(); });
  }

  ~Impl() {
    m_Io.stop();
    m_Thread.join();
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  std::string address() const { return toText(m_Acceptor.local_endpoint()); }

  std::string controlAddress() const {
    return m_ControlIp + ':' + std::to_string(m_Control.port());
  }

private:
  void accept() {
    m_Acceptor.async_accept([this](ErrorCode Fault, tcp::socket Caller) {
      if (!Fault)
        accepted(std::move(Caller));
      accept();
    });
  }

  void accepted(tcp::socket Caller) {
    removeEnded();
    const auto New =
        std::make_shared<RelayedConnection>(m_State, std::move(Caller));
    if (m_State.m_Mode == Mode::Cut || m_State.m_Mode == Mode::Reset)
      return New->close(m_State.m_Mode == Mode::Reset);
    m_Connections.insert(New);
    New->resume(m_Target);
  }

  void removeEnded() {
    for (auto At = m_Connections.begin(); At != m_Connections.end();)
      At = (*At)->ended() ? m_Connections.erase(At) : std::next(At);
  }

  void control(HttpExchange &Exchange) {
    const HttpRequest &Request = Exchange.request();
    if (Request.target() != "/mode" ||
        Request.method() != boost::beast::http::verb::post)
      return Exchange.respond({404, {}, "valid is POST /mode\n"});
    const auto Json = nlohmann::json::parse(Request.body(), nullptr, false);
    RelayState State;
    if (!Json.is_object() || !readState(Json, State))
      return Exchange.respond(
          {400,
           {},
           "expected {\"mode\": \"pass\", \"cut\", \"reset\", \"stall\", "
           "\"stall-up\", \"stall-down\" or \"delay\"}; delay needs "
           "\"delay_ms\" from 0 to 60000\n"});
    setState(State);
    logEvent(LogLevel::Info, "mode", {{"body", Request.body()}});
    Exchange.respond({200, {}, "ok\n"});
  }

  static bool readState(const nlohmann::json &Json, RelayState &State) {
    constexpr std::array<const char *, 7> Names = {
        "pass", "cut", "reset", "stall", "delay", "stall-up", "stall-down"};
    for (std::size_t I = 0; I < Names.size(); ++I) {
      if (Json.value("mode", nlohmann::json()) != Names[I])
        continue;
      State.m_Mode = static_cast<Mode>(I);
      const bool IsDelay = State.m_Mode == Mode::Delay;
      if (Json.size() != (IsDelay ? 2U : 1U))
        return false;
      if (!IsDelay)
        return true;
      const auto Delay = Json.value("delay_ms", nlohmann::json());
      constexpr unsigned MaxDelayMs = 60000;
      if (!Delay.is_number_unsigned() || Delay > MaxDelayMs)
        return false;
      State.m_Delay = std::chrono::milliseconds(Delay.get<unsigned>());
      return true;
    }
    return false;
  }

  void setState(const RelayState &State) {
    m_State = State;
    const bool Closes =
        State.m_Mode == Mode::Cut || State.m_Mode == Mode::Reset;
    for (const auto &Connection : m_Connections) {
      if (Closes)
        Connection->close(State.m_Mode == Mode::Reset);
      else
        Connection->resume(m_Target);
    }
    removeEnded();
  }

  RelayState m_State;
  boost::asio::io_context m_Io;
  const tcp::endpoint m_Target;
  std::set<std::shared_ptr<RelayedConnection>> m_Connections;
  tcp::acceptor m_Acceptor;
  HttpServer m_Control;
  const std::string m_ControlIp;
  std::thread m_Thread;
};

Relay::Relay(const RelayOptions &Options)
    : m_Impl(std::make_unique<Impl>(Options)) {}

Relay::~Relay() = default;

std::string Relay::address() const { return m_Impl->address(); }

std::string Relay::controlAddress() const { return m_Impl->controlAddress(); }

} // namespace cyclamencroft
