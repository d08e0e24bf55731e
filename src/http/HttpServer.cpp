// Listener of the HTTP server; HttpSession serves each connection.
#include "http/HttpServer.h"

#include "core/SocketAddress.h"
#include "http/HttpSession.h"

#include <boost/asio/post.hpp>

#include <stdexcept>
#include <vector>

namespace cyclamencroft {
namespace {

using boost::asio::ip::tcp;

/// Delay after a failed accept, for example when the process has no file
/// descriptor left.
constexpr Duration AcceptRetryDelay{std::chrono::milliseconds(50)};

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Io, Handler Handle, Limits Limit)
      : m_Io(Io), m_Strand(boost::asio::make_strand(Io)), m_Acceptor(m_Strand),
        m_RetryTimer(m_Strand), m_State(std::make_shared<HttpServerState>(
                                    std::move(Handle), std::move(Limit))) {}

  void listen(const std::string &Listen) {
    const auto Address = parseSocketAddress(Listen);
    if (!Address)
      throw std::runtime_error("listen for HTTP, " + Listen +
                               ": expected IP:port");
    try {
      m_Acceptor.open(Address->protocol());
      m_Acceptor.set_option(tcp::acceptor::reuse_address(true));
      m_Acceptor.bind(*Address);
      m_Acceptor.listen();
      m_Port = m_Acceptor.local_endpoint().port();
    } catch (const boost::system::system_error &Fault) {
      throw std::runtime_error("listen for HTTP, " + Listen + ": " +
                               Fault.code().message());
    }
    accept();
  }

  void closeAfterResponses() { m_State->m_Draining = true; }

  void stopAccepting() {
    closeAfterResponses();
    boost::asio::post(m_Strand, [Self = shared_from_this()] {
      boost::system::error_code Ignored;
      Self->m_Acceptor.close(Ignored);
      Self->m_RetryTimer.cancel();
      for (const auto &Session : Self->sessions())
        Session->closeIfIdle();
    });
  }

  const HttpRefusals &refusals() const { return m_State->m_Refusals; }

  std::size_t connections() const {
    const std::lock_guard<std::mutex> Lock(m_State->m_Mutex);
    return m_State->m_Sessions.size();
  }

  void stop() {
    stopAccepting();
    // Runs after the acceptor is closed, so that no session is missed.
    boost::asio::post(m_Strand, [Self = shared_from_this()] {
      for (const auto &Session : Self->sessions())
        Session->close();
    });
  }

  std::uint16_t m_Port = 0;

private:
  std::vector<std::shared_ptr<HttpSession>> sessions() {
    std::vector<std::shared_ptr<HttpSession>> Sessions;
    const std::lock_guard<std::mutex> Lock(m_State->m_Mutex);
    for (const auto &[Address, Weak] : m_State->m_Sessions)
      if (auto Session = Weak.lock())
        Sessions.push_back(std::move(Session));
    return Sessions;
  }

  void accept() {
    m_Acceptor.async_accept(
        boost::asio::make_strand(m_Io),
        [Self = shared_from_this()](boost::system::error_code Fault,
                                    HttpSession::Socket Connection) {
          Self->accepted(Fault, std::move(Connection));
        });
  }

  void accepted(boost::system::error_code Fault,
                HttpSession::Socket Connection) {
    if (!m_Acceptor.is_open())
      return;
    if (Fault)
      return scheduleAccept();
    const auto Session =
        std::make_shared<HttpSession>(std::move(Connection), m_State);
    bool Refused = false;
    {
      const std::lock_guard<std::mutex> Lock(m_State->m_Mutex);
      Refused =
          m_State->m_Sessions.size() >= m_State->m_Limits.m_MaxConnections;
      m_State->m_Sessions.emplace(Session.get(), Session);
    }
    Session->start(Refused);
    accept();
  }

  void scheduleAccept() {
    m_RetryTimer.expires_after(AcceptRetryDelay);
    m_RetryTimer.async_wait(
        [Self = shared_from_this()](boost::system::error_code Fault) {
          if (!Fault && Self->m_Acceptor.is_open())
            Self->accept();
        });
  }

  boost::asio::io_context &m_Io;
  HttpSession::Strand m_Strand;
  boost::asio::basic_socket_acceptor<tcp, HttpSession::Strand> m_Acceptor;
  boost::asio::basic_waitable_timer<RuntimeClock, RuntimeWaitTraits,
                                    HttpSession::Strand>
      m_RetryTimer;
  std::shared_ptr<HttpServerState> m_State;
};

HttpServer::Limits HttpServer::operatorLimits() {
  Limits Reduced;
  Reduced.m_BodyBytes = std::size_t(16) * 1024;
  Reduced.m_ReceiveBytes = std::size_t(1024) * 1024;
  Reduced.m_MaxConnections = 256;
  return Reduced;
}

HttpServer::HttpServer(boost::asio::io_context &Io, const std::string &Listen,
                       Handler Handle, Limits Limit)
    : m_Impl(std::make_shared<Impl>(Io, std::move(Handle), std::move(Limit))) {
  m_Impl->listen(Listen);
}

HttpServer::~HttpServer() { stop(); }

std::uint16_t HttpServer::port() const { return m_Impl->m_Port; }

void HttpServer::closeAfterResponses() { m_Impl->closeAfterResponses(); }

void HttpServer::stopAccepting() { m_Impl->stopAccepting(); }

const HttpRefusals &HttpServer::refusals() const { return m_Impl->refusals(); }

std::size_t HttpServer::connections() const { return m_Impl->connections(); }

void HttpServer::stop() { m_Impl->stop(); }

} // namespace cyclamencroft
