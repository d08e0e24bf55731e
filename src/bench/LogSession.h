// HTTP connection of the stand-in log. Unlike the HTTP server of the daemons,
// it can reset the connection instead of responding.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cyclamencroft {

/// One connection. Reads a request, passes it to the handler and, after the
/// response, reads the next one.
class LogSession : public std::enable_shared_from_this<LogSession> {
public:
  using Socket = boost::asio::ip::tcp::socket;
  using Message = boost::beast::http::request<boost::beast::http::string_body>;
  using Handler = std::function<void(const std::shared_ptr<LogSession> &)>;

  LogSession(Socket Peer, Handler Handle)
      : m_Stream(std::move(Peer)), m_Handle(std::move(Handle)) {}

  void read() {
    namespace http = boost::beast::http;
    m_Parser.emplace();
    m_Parser->header_limit(MaxHeaderBytes);
    m_Parser->body_limit(MaxBodyBytes);
    m_Stream.expires_after(IdleTimeout);
    http::async_read_header(m_Stream, m_Buffer, *m_Parser,
                            [Self = shared_from_this()](auto Fault, auto) {
                              if (!Fault)
                                Self->readBody();
                            });
  }

  const Message &request() const { return m_Parser->get(); }
  std::string target() const { return std::string(request().target()); }

  void respond(unsigned Status, const nlohmann::json &Object) {
    namespace http = boost::beast::http;
    m_Response = {};
    m_Response.result(Status);
    m_Response.set(http::field::content_type, "application/json");
    // Records may contain invalid UTF-8, on which dump() throws by default.
    m_Response.body() =
        Object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    m_Response.keep_alive(request().keep_alive());
    m_Response.prepare_payload();
    m_Stream.expires_after(TransferTimeout);
    http::async_write(m_Stream, m_Response,
                      [Self = shared_from_this()](auto Fault, auto) {
                        if (!Fault && Self->m_Response.keep_alive())
                          Self->read();
                      });
  }

  /// Closes the connection with a TCP reset.
  void reset() {
    boost::system::error_code Ignored;
    m_Stream.socket().set_option(boost::asio::socket_base::linger(true, 0),
                                 Ignored);
    m_Stream.socket().close(Ignored);
  }

private:
  static constexpr std::size_t MaxHeaderBytes = std::size_t{8} * 1024;
  static constexpr std::size_t MaxBodyBytes = std::size_t{1024} * 1024;
  static constexpr std::chrono::seconds TransferTimeout{5};
  static constexpr std::chrono::minutes IdleTimeout{5};
  using Body = boost::beast::http::string_body;
  using Parser = boost::beast::http::request_parser<Body>;
  using Response = boost::beast::http::response<Body>;

  void readBody() {
    namespace http = boost::beast::http;
    m_Stream.expires_after(TransferTimeout);
    http::async_read(m_Stream, m_Buffer, *m_Parser,
                     [Self = shared_from_this()](auto Fault, auto) {
                       if (Fault)
                         return;
                       Self->m_Stream.expires_never();
                       Self->m_Handle(Self);
                     });
  }

  boost::beast::tcp_stream m_Stream;
  Handler m_Handle;
  boost::beast::flat_buffer m_Buffer;
  std::optional<Parser> m_Parser;
  Response m_Response;
};

} // namespace cyclamencroft
