// Pool of Beast connections; each carries one call at a time.
#include "http/HttpConnectionPool.h"

#include "core/SocketAddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cyclamencroft {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using Callback = std::function<void(HttpOutcome)>;
using PeerCheckPtr = std::shared_ptr<const PeerCheck>;

/// Where the calls of a connection go.
struct Destination {
  std::string m_Address;
  /// Empty when any process may answer.
  std::string m_Identity;

  friend bool operator==(const Destination &A, const Destination &B) {
    return A.m_Address == B.m_Address && A.m_Identity == B.m_Identity;
  }
  friend bool operator!=(const Destination &A, const Destination &B) {
    return !(A == B);
  }
};

struct PendingCall {
  HttpCall m_Call;
  Callback m_Done;
  PeerCheckPtr m_Expected;
  TimePoint m_Deadline{};
  /// Sent before on a connection that was lost.
  bool m_Resent = false;

  Destination destination() const {
    return {m_Call.m_Address, m_Expected ? m_Expected->m_Identity : ""};
  }
};

/// One connection of the pool. A call that fails closes it.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  /// \p Release is called after each call; its flag tells whether the
  /// connection can be reused.
  Connection(
      boost::asio::io_context &Io, Destination To,
      std::function<void(const std::shared_ptr<Connection> &, bool)> Release)
      : m_Stream(Io), m_To(std::move(To)), m_Release(std::move(Release)) {}

  const Destination &destination() const { return m_To; }

  /// A call whose timeout has passed is not sent: the process may have been
  /// suspended, and what the call orders may no longer be wanted.
  void start(PendingCall Call) {
    m_Call = std::move(Call);
    const Duration Left = m_Call.m_Deadline - RuntimeClock::now();
    if (Left <= Duration{})
      return finish(connectError("timed out before it was sent"));
    m_Stream.expires_after(Left);
    if (m_Open)
      return send(m_Call.m_Call);
    const auto Address = parseSocketAddress(m_To.m_Address);
    if (!Address)
      return fail(connectError("the address is not IP:port"));
    m_Reused = false;
    m_Stream.async_connect(*Address,
                           [Self = shared_from_this()](error_code Fault) {
                             Self->connected(Fault);
                           });
  }

  void close() {
    m_Release = nullptr;
    m_Call.m_Done = nullptr;
    m_Stream.close();
  }

private:
  void connected(error_code Fault) {
    if (Fault == boost::asio::error::connection_refused)
      return fail(Error{std::string(ConnectRefusedStep), m_To.m_Address,
                        Fault.message()});
    if (Fault)
      return fail(connectError(Fault.message()));
    error_code Ignored;
    m_Stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
    m_Open = true;
    m_AsksIdentity = m_Call.m_Expected != nullptr;
    send(m_AsksIdentity ? m_Call.m_Expected->m_Question : m_Call.m_Call);
  }

  void send(const HttpCall &Sent) {
    m_Request = {};
    m_Request.method_string(Sent.m_Method);
    m_Request.target(Sent.m_Target);
    m_Request.set(http::field::host, m_To.m_Address);
    for (const auto &[Name, Value] : Sent.m_Headers)
      m_Request.set(Name, Value);
    m_Request.body() = Sent.m_Body;
    m_Request.prepare_payload();
    http::async_write(
        m_Stream, m_Request,
        [Self = shared_from_this()](error_code Fault, std::size_t) {
          Self->written(Fault);
        });
  }

  void written(error_code Fault) {
    if (Fault)
      return resendOrFail("send request", Fault);
    m_Parser.emplace();
    m_Parser->body_limit(m_Call.m_Call.m_MaxResponseBytes);
    http::async_read(
        m_Stream, m_Buffer, *m_Parser,
        [Self = shared_from_this()](error_code Failed, std::size_t) {
          Self->received(Failed);
        });
  }

  void received(error_code Fault) {
    if (Fault)
      return resendOrFail("read response", Fault);
    HttpResponse Response;
    auto Message = m_Parser->release();
    Response.m_Status = Message.result_int();
    for (const auto &Field : Message)
      Response.m_Headers.emplace_back(Field.name_string(), Field.value());
    Response.m_Body = std::move(Message.body());
    Response.m_Resent = m_Call.m_Resent;
    m_Open = Message.keep_alive();
    if (std::exchange(m_AsksIdentity, false))
      return identityAnswered(Response);
    m_Reused = true;
    m_Stream.expires_never();
    finish(std::move(Response));
  }

  void identityAnswered(const HttpResponse &Response) {
    if (auto Rejection = m_Call.m_Expected->m_Reject(Response))
      return fail(std::move(*Rejection));
    if (!m_Open)
      return fail(connectError("closed after its identity was asked"));
    send(m_Call.m_Call);
  }

  /// The peer may have closed a keep-alive connection before it received the
  /// request, which is then sent again on a new connection. A timeout is final.
  void resendOrFail(const char *Step, error_code Fault) {
    if (std::exchange(m_AsksIdentity, false))
      return fail(connectError(Fault.message()));
    const bool Stale = m_Reused && Fault != boost::beast::error::timeout;
    if (!Stale)
      return fail(Error{Step, m_To.m_Address, Fault.message()});
    m_Stream.close();
    m_Open = false;
    m_Buffer.clear();
    m_Call.m_Resent = true;
    start(std::move(m_Call));
  }

  /// Error before the request was sent on the present connection. A call that
  /// was sent on an earlier one may have taken effect.
  Error connectError(std::string Reason) const {
    const std::string_view Step =
        m_Call.m_Resent ? std::string_view("send request") : ConnectStep;
    return {std::string(Step), m_To.m_Address, std::move(Reason)};
  }

  void fail(HttpOutcome Outcome) {
    m_Stream.close();
    m_Open = false;
    finish(std::move(Outcome));
  }

  void finish(HttpOutcome Outcome) {
    const Callback Done = std::exchange(m_Call.m_Done, nullptr);
    if (m_Release)
      m_Release(shared_from_this(), m_Open);
    if (Done)
      Done(std::move(Outcome));
  }

  boost::beast::tcp_stream m_Stream;
  const Destination m_To;
  std::function<void(const std::shared_ptr<Connection> &, bool)> m_Release;
  PendingCall m_Call;
  bool m_Open = false;
  /// The question for the peer's identity is in flight. Invariant: the call is
  /// sent only on a connection whose peer has given the expected answer.
  bool m_AsksIdentity = false;
  /// True once a call has been answered on the current TCP connection.
  bool m_Reused = false;
  http::request<http::string_body> m_Request;
  boost::beast::flat_buffer m_Buffer;
  std::optional<http::response_parser<http::string_body>> m_Parser;
};

} // namespace

class HttpConnectionPool::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Io, std::size_t ConnectionLimit)
      : m_Io(Io), m_MaxConnections(ConnectionLimit) {}

  void call(HttpCall Call, Callback Done, PeerCheckPtr Expected) {
    const TimePoint Deadline = RuntimeClock::now() + Call.m_Timeout;
    PendingCall Added{std::move(Call), std::move(Done), std::move(Expected),
                      Deadline};
    if (Added.destination() != m_To)
      changeDestination(Added.destination());
    m_Queue.push_back(std::move(Added));
    boost::asio::post(m_Io, [Self = shared_from_this()] { Self->startNext(); });
  }

  void stop() {
    m_Queue.clear();
    changeDestination({});
    for (const auto &Pooled : std::exchange(m_Busy, {}))
      Pooled->close();
  }

private:
  void changeDestination(Destination To) {
    m_To = std::move(To);
    for (const auto &Pooled : m_Idle)
      Pooled->close();
    m_Idle.clear();
  }

  void startNext() {
    while (!m_Queue.empty() &&
           (!m_Idle.empty() || m_Busy.size() < m_MaxConnections)) {
      PendingCall Next = std::move(m_Queue.front());
      m_Queue.pop_front();
      std::shared_ptr<Connection> Acquired = acquire(Next.destination());
      m_Busy.insert(Acquired);
      Acquired->start(std::move(Next));
    }
  }

  std::shared_ptr<Connection> acquire(const Destination &To) {
    if (!m_Idle.empty() && m_Idle.back()->destination() == To) {
      auto Last = m_Idle.back();
      m_Idle.pop_back();
      return Last;
    }
    return std::make_shared<Connection>(
        m_Io, To,
        [Weak = weak_from_this()](const std::shared_ptr<Connection> &Done,
                                  bool Usable) {
          if (const auto Self = Weak.lock())
            Self->release(Done, Usable);
        });
  }

  void release(const std::shared_ptr<Connection> &Done, bool Usable) {
    m_Busy.erase(Done);
    if (Usable && Done->destination() == m_To)
      m_Idle.push_back(Done);
    if (!m_Queue.empty())
      boost::asio::post(m_Io,
                        [Self = shared_from_this()] { Self->startNext(); });
  }

  boost::asio::io_context &m_Io;
  const std::size_t m_MaxConnections;
  Destination m_To;
  std::vector<std::shared_ptr<Connection>> m_Idle;
  std::set<std::shared_ptr<Connection>> m_Busy;
  std::deque<PendingCall> m_Queue;
};

HttpConnectionPool::HttpConnectionPool(boost::asio::io_context &Io,
                                       std::size_t MaxConnections)
    : m_Impl(std::make_shared<Impl>(Io, MaxConnections)) {}

HttpConnectionPool::~HttpConnectionPool() { m_Impl->stop(); }

void HttpConnectionPool::call(HttpCall Call,
                              std::function<void(HttpOutcome)> Done,
                              std::shared_ptr<const PeerCheck> Expected) {
  m_Impl->call(std::move(Call), std::move(Done), std::move(Expected));
}

} // namespace cyclamencroft
