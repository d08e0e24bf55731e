// websocketpp server of links.
#include "link/LinkServer.h"

#include "core/RuntimeTimer.h"
#include "core/SocketAddress.h"
#include "link/WebsocketLinks.h"

#include <websocketpp/server.hpp>

#include <stdexcept>

namespace cyclamencroft {
namespace {

using Server = websocketpp::server<LinkWebsocketConfig>;

/// Delay after a failed accept.
constexpr Duration AcceptRetryDelay{std::chrono::milliseconds(100)};

} // namespace

class LinkServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Io, LinkHandlers Handlers)
      : m_Io(Io), m_Links(Io, std::move(Handlers)), m_RetryTimer(Io) {}

  void listen(const std::string &Listen) {
    m_Server.init_asio(&m_Io);
    m_Server.set_reuse_addr(true);
    installHandlers();
    const auto Address = parseSocketAddress(Listen);
    if (!Address)
      throw std::runtime_error("listen for links, " + Listen +
                               ": expected IP:port");
    websocketpp::lib::error_code Fault;
    m_Server.listen(*Address, Fault);
    if (Fault)
      throw std::runtime_error("listen for links, " + Listen + ": " +
                               Fault.message());
    websocketpp::lib::asio::error_code Ignored;
    m_Port = m_Server.get_local_endpoint(Ignored).port();
    accept();
  }

  void stopAccepting() {
    if (!m_Server.is_listening())
      return;
    websocketpp::lib::error_code Ignored;
    m_Server.stop_listening(Ignored);
    m_RetryTimer.cancel();
    // The aborted accept refers to this object. It completes before the posted
    // handler, which keeps the object alive until then.
    boost::asio::post(m_Io, [Self = shared_from_this()] {});
  }

  void stop() {
    stopAccepting();
    m_Links.stop();
  }

  boost::asio::io_context &m_Io;
  Server m_Server;
  WebsocketLinks<Server> m_Links;
  std::uint16_t m_Port = 0;

private:
  /// Replaces the library's own loop, which accepts again without a delay when
  /// accepting fails, for example because no file descriptor is left.
  void accept() {
    if (!m_Server.is_listening())
      return;
    const Server::connection_ptr Con = m_Server.get_connection();
    websocketpp::lib::error_code Fault;
    m_Server.async_accept(
        Con,
        [this, Con](const websocketpp::lib::error_code &Failed) {
          if (Failed)
            return acceptLater(Failed);
          Con->start();
          accept();
        },
        Fault);
    if (Fault)
      acceptLater(Fault);
  }

  void acceptLater(const websocketpp::lib::error_code &Fault) {
    if (!m_Server.is_listening())
      return;
    logEvent(LogLevel::Warning, "link-accept-failed",
             {{"reason", Fault.message()}});
    m_RetryTimer.expires_after(AcceptRetryDelay);
    m_RetryTimer.async_wait(
        [this, Self = shared_from_this()](boost::system::error_code Cancelled) {
          if (!Cancelled)
            accept();
        });
  }

  // Handlers refer to this object by a raw pointer: m_Owner of the connection
  // that they are called for keeps it alive.
  void installHandlers() {
    using Handle = websocketpp::connection_hdl;
    m_Server.set_tcp_post_init_handler([this](const Handle &H) {
      const auto Con = m_Server.get_con_from_hdl(H);
      Con->m_Owner = shared_from_this();
      setLinkSocketOptions(Con->get_raw_socket().native_handle());
    });
    m_Server.set_validate_handler([this](const Handle &H) {
      if (m_Links.size() < MaxServerLinks)
        return true;
      m_Server.get_con_from_hdl(H)->set_status(
          websocketpp::http::status_code::service_unavailable);
      return false;
    });
    m_Server.set_open_handler([this](const Handle &H) {
      m_Links.opened(m_Server.get_con_from_hdl(H));
    });
    m_Server.set_message_handler(
        [this](const Handle &H, const Server::message_ptr &Message) {
          m_Links.received(m_Server.get_con_from_hdl(H), Message);
        });
    m_Server.set_close_handler([this](const Handle &H) {
      m_Links.closed(m_Server.get_con_from_hdl(H));
    });
    m_Server.set_fail_handler([this](const Handle &H) { failed(H); });
  }

  void failed(const websocketpp::connection_hdl &H) {
    const auto Con = m_Server.get_con_from_hdl(H);
    logEvent(LogLevel::Warning, "link-refused",
             {{"peer", Con->get_remote_endpoint()},
              {"reason", "handshake failed: " + Con->get_ec().message()}});
  }

  RuntimeTimer m_RetryTimer;
};

LinkServer::LinkServer(boost::asio::io_context &Io, const std::string &Listen,
                       Handlers H)
    : m_Impl(std::make_shared<Impl>(Io, std::move(H))) {
  m_Impl->listen(Listen);
}

LinkServer::~LinkServer() { stop(); }

std::uint16_t LinkServer::port() const { return m_Impl->m_Port; }

void LinkServer::send(LinkId Link, const std::vector<LinkMessage> &Messages) {
  m_Impl->m_Links.send(Link, Messages);
}

void LinkServer::close(LinkId Link, std::string Reason) {
  m_Impl->m_Links.close(Link, std::move(Reason));
}

std::string LinkServer::peer(LinkId Link) const {
  const auto Con = m_Impl->m_Links.find(Link);
  return Con ? Con->get_remote_endpoint() : std::string();
}

void LinkServer::stopAccepting() { m_Impl->stopAccepting(); }

void LinkServer::stop() { m_Impl->stop(); }

} // namespace cyclamencroft
