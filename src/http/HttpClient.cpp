// One Beast connection for each call; the stream's timer bounds the whole call.
// A strand serialises the handlers of a call with its cancellation, which may
// come from any thread.
#include "http/HttpClient.h"

#include "core/SocketAddress.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <atomic>
#include <optional>

namespace cyclamencroft {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

class PendingCall : public std::enable_shared_from_this<PendingCall> {
public:
  PendingCall(boost::asio::io_context &Io, HttpCall Call,
              std::function<void(HttpOutcome)> Done)
      : m_Stream(boost::asio::make_strand(Io)), m_Call(std::move(Call)),
        m_Done(std::move(Done)) {}

  void start() {
    const auto Address = parseSocketAddress(m_Call.m_Address);
    if (!Address) {
      // Posted, because httpCallAsync() must not call Done before it returns.
      boost::asio::post(m_Stream.get_executor(), [Self = shared_from_this()] {
        Self->fail(std::string(ConnectStep), "the address is not IP:port");
      });
      return;
    }
    prepareRequest();
    m_Stream.expires_after(m_Call.m_Timeout);
    m_Stream.async_connect(*Address,
                           [Self = shared_from_this()](error_code Fault) {
                             Self->connected(Fault);
                           });
  }

  /// On a thread of the io_context the call is closed at once unless a handler
  /// of the call runs on another thread.
  static void cancel(std::shared_ptr<PendingCall> Call) {
    Call->m_Cancelled = true;
    const auto Strand = Call->m_Stream.get_executor();
    boost::asio::dispatch(Strand, [Self = std::move(Call)] {
      Self->m_Done = nullptr;
      Self->m_Stream.close();
    });
  }

private:
  void prepareRequest() {
    m_Request.method_string(m_Call.m_Method);
    m_Request.target(m_Call.m_Target);
    m_Request.set(http::field::host, m_Call.m_Address);
    m_Request.set(http::field::connection, "close");
    for (const auto &[Name, Value] : m_Call.m_Headers)
      m_Request.set(Name, Value);
    m_Request.body() = std::move(m_Call.m_Body);
    m_Request.prepare_payload();
  }

  void connected(error_code Fault) {
    if (Fault)
      return fail(std::string(ConnectStep), Fault.message());
    http::async_write(
        m_Stream, m_Request,
        [Self = shared_from_this()](error_code Failed, std::size_t) {
          Self->written(Failed);
        });
  }

  /// A server that refuses a large body may answer and close before it has read
  /// everything, so a failed write does not preclude a response.
  void written(error_code Fault) {
    if (Fault == boost::beast::error::timeout)
      return fail("send request", Fault.message());
    m_WriteFault = Fault;
    m_Parser.body_limit(m_Call.m_MaxResponseBytes);
    http::async_read(
        m_Stream, m_Buffer, m_Parser,
        [Self = shared_from_this()](error_code Failed, std::size_t) {
          Self->received(Failed);
        });
  }

  void received(error_code Fault) {
    if (Fault && m_WriteFault)
      return fail("send request", m_WriteFault.message());
    if (Fault)
      return fail("read response", Fault.message());
    HttpResponse Response;
    auto Message = m_Parser.release();
    Response.m_Status = Message.result_int();
    for (const auto &Field : Message)
      Response.m_Headers.emplace_back(Field.name_string(), Field.value());
    Response.m_Body = std::move(Message.body());
    finish(std::move(Response));
  }

  void fail(std::string Step, std::string Reason) {
    finish(Error{std::move(Step), m_Call.m_Address, std::move(Reason)});
  }

  void finish(HttpOutcome Outcome) {
    m_Stream.close();
    const auto Done = std::exchange(m_Done, nullptr);
    if (Done && !m_Cancelled)
      Done(std::move(Outcome));
  }

  boost::beast::tcp_stream m_Stream;
  HttpCall m_Call;
  /// Set by any thread; m_Done is not called afterwards.
  std::atomic<bool> m_Cancelled{false};
  /// Null once the call has ended or was closed by cancel().
  std::function<void(HttpOutcome)> m_Done;
  http::request<http::string_body> m_Request;
  error_code m_WriteFault;
  boost::beast::flat_buffer m_Buffer;
  http::response_parser<http::string_body> m_Parser;
};

} // namespace

std::function<void()> httpCallAsync(boost::asio::io_context &Io, HttpCall Call,
                                    std::function<void(HttpOutcome)> Done) {
  const auto Pending =
      std::make_shared<PendingCall>(Io, std::move(Call), std::move(Done));
  Pending->start();
  return [Weak = std::weak_ptr<PendingCall>(Pending)] {
    if (auto Alive = Weak.lock())
      PendingCall::cancel(std::move(Alive));
  };
}

Result<HttpResponse> httpCall(HttpCall Call) {
  boost::asio::io_context Io;
  std::optional<HttpOutcome> Outcome;
  httpCallAsync(Io, std::move(Call),
                [&](HttpOutcome Ended) { Outcome = std::move(Ended); });
  Io.run();
  if (auto *Fault = std::get_if<Error>(&*Outcome))
    return boost::leaf::new_error(std::move(*Fault));
  return std::move(std::get<HttpResponse>(*Outcome));
}

HttpOutcome httpCallOutcome(const HttpCall &Call) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<HttpOutcome> {
        BOOST_LEAF_AUTO(Response, httpCall(Call));
        return HttpOutcome(std::move(Response));
      },
      [](const Error &Fault) { return HttpOutcome(Fault); },
      [&Call] {
        return HttpOutcome(Error{"call", Call.m_Address, "unexpected error"});
      });
}

} // namespace cyclamencroft
