// Writes the responses of a connection and ends it after the last one.
#include "http/HttpSession.h"

#include <boost/asio/dispatch.hpp>
#include <boost/beast/http/write.hpp>

namespace cyclamencroft {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t DiscardBytes = 4096;
/// After the last response, input is discarded for this long, because closing
/// a socket with unread input resets the connection and may lose the response.
constexpr Duration LingerTime{std::chrono::seconds(1)};

// A status outside this range, which an endpoint may have sent, is replaced
// by 502.
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastStatus = 599;
constexpr unsigned InvalidStatusReplacement = 502;

} // namespace

void HttpSession::respond(std::uint64_t RequestNumber, HttpResponse Response) {
  boost::asio::dispatch(
      m_Socket.get_executor(), [Self = shared_from_this(), RequestNumber,
                                Response = std::move(Response)]() mutable {
        if (!Self->m_Handling || RequestNumber != Self->m_RequestNumber)
          return;
        Self->m_Handling = false;
        ErrorCode Ignored;
        Self->m_Socket.cancel(Ignored); // Ends watchForDisconnect().
        Self->write(std::move(Response),
                    Self->m_KeepAlive && !Self->m_Server->m_Draining);
      });
}

void HttpSession::write(HttpResponse Response, bool KeepAlive) {
  m_Response.emplace();
  const bool Valid =
      Response.m_Status >= FirstFinalStatus && Response.m_Status <= LastStatus;
  m_Response->result(Valid ? Response.m_Status : InvalidStatusReplacement);
  if (Response.m_Status == 204 || Response.m_Status == 304)
    Response.m_Body.clear(); // HTTP allows no body with these.
  for (const auto &[Name, Value] : Response.m_Headers)
    m_Response->set(Name, Value);
  m_Response->keep_alive(KeepAlive);
  m_Response->body() = std::move(Response.m_Body);
  m_Response->prepare_payload();
  armTimer(m_Server->m_Limits.m_ResponseTimeout);
  http::async_write(
      m_Socket, *m_Response,
      [Self = shared_from_this(), KeepAlive](ErrorCode Fault, std::size_t) {
        Self->stopTimer();
        if (Fault)
          return Self->closeSocket();
        Self->written(KeepAlive);
      });
}

void HttpSession::written(bool KeepAlive) {
  m_Response.reset();
  m_Parser.reset();
  releaseBudget();
  if (KeepAlive)
    return awaitRequest();
  ErrorCode Ignored;
  m_Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  armTimer(LingerTime);
  discardInput();
}

void HttpSession::discardInput() {
  m_Buffer.clear();
  m_Socket.async_read_some(
      m_Buffer.prepare(DiscardBytes),
      [Self = shared_from_this()](ErrorCode Fault, std::size_t) {
        if (Fault)
          return Self->closeSocket();
        Self->discardInput();
      });
}

} // namespace cyclamencroft
