// websocketpp client of one link, which reconnects with a growing delay.
#include "link/LinkClient.h"

#include "core/RuntimeTimer.h"
#include "link/WebsocketLinks.h"

#include <websocketpp/client.hpp>

#include <algorithm>

namespace cyclamencroft {
namespace {

using Client = websocketpp::client<LinkWebsocketConfig>;

} // namespace

class LinkClient::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Io, std::string Address, LinkHandlers Handlers,
       Duration MaxDelay)
      : m_Links(Io, std::move(Handlers)), m_Address(std::move(Address)),
        m_MaxDelay(MaxDelay), m_ReconnectTimer(Io),
        m_Random(std::random_device()()) {
    m_Client.init_asio(&Io);
    installHandlers();
  }

  void start() {
    m_Started = true;
    openConnection();
  }

  void stop() {
    m_Started = false;
    m_ReconnectTimer.cancel();
    m_Links.stop();
    if (const auto Con = m_Current.lock())
      WebsocketLinks<Client>::abortConnection(Con);
  }

  /// Reconnects after the link is closed; the closing handshake of the old
  /// connection completes independently.
  void close(LinkId Link, std::string Reason) {
    if (!m_Links.find(Link))
      return;
    m_Links.close(Link, std::move(Reason));
    reconnectAfterLoss();
  }

  void send(LinkId Link, const std::vector<LinkMessage> &Messages) {
    const bool WasOpen = m_Links.size() != 0;
    m_Links.send(Link, Messages);
    reconnectIfLost(WasOpen);
  }

private:
  using Handle = websocketpp::connection_hdl;

  // Handlers refer to this object by a raw pointer: m_Owner of the connection
  // that they are called for keeps it alive.
  void installHandlers() {
    m_Client.set_tcp_post_init_handler([this](const Handle &H) {
      const auto Con = m_Client.get_con_from_hdl(H);
      setLinkSocketOptions(Con->get_raw_socket().native_handle());
    });
    m_Client.set_open_handler([this](const Handle &H) { opened(H); });
    m_Client.set_message_handler(
        [this](const Handle &H, const Client::message_ptr &Message) {
          const bool WasOpen = m_Links.size() != 0;
          m_Links.received(m_Client.get_con_from_hdl(H), Message);
          reconnectIfLost(WasOpen);
        });
    m_Client.set_close_handler([this](const Handle &H) {
      if (m_Links.closed(m_Client.get_con_from_hdl(H)))
        reconnectAfterLoss();
    });
    m_Client.set_fail_handler([this](const Handle &H) { failed(H); });
  }

  void openConnection() {
    websocketpp::lib::error_code Fault;
    const auto Con = m_Client.get_connection("ws://" + m_Address + "/", Fault);
    if (Fault) {
      logEvent(LogLevel::Error, "link-dial-failed",
               {{"peer", m_Address}, {"reason", Fault.message()}});
      return scheduleReconnect();
    }
    Con->m_Owner = shared_from_this();
    m_Current = Con;
    m_Client.connect(Con);
  }

  void opened(const Handle &H) {
    m_OpenedAt = RuntimeClock::now();
    m_LoggedFailure.clear();
    m_Links.opened(m_Client.get_con_from_hdl(H));
  }

  /// Logs a failure only when it differs from the last one, not at every
  /// connection attempt.
  void failed(const Handle &H) {
    if (!m_Started)
      return;
    const auto Con = m_Client.get_con_from_hdl(H);
    const std::string Reason = Con->get_ec().message();
    if (Reason != m_LoggedFailure)
      logEvent(LogLevel::Warning, "link-dial-failed",
               {{"peer", m_Address}, {"reason", Reason}});
    m_LoggedFailure = Reason;
    scheduleReconnect();
  }

  /// Called after an operation that may have closed the link, for example
  /// because the peer reads too slowly.
  void reconnectIfLost(bool WasOpen) {
    if (WasOpen && m_Links.size() == 0 && !m_ReconnectPending)
      reconnectAfterLoss();
  }

  /// The delay restarts from its minimum only after a link that was open for at
  /// least the longest delay, so not after one that was refused soon after it
  /// opened.
  void reconnectAfterLoss() {
    if (RuntimeClock::now() - m_OpenedAt >= m_MaxDelay)
      m_Attempts = 0;
    scheduleReconnect();
  }

  void scheduleReconnect() {
    if (!m_Started || m_ReconnectPending)
      return;
    m_ReconnectPending = true;
    constexpr unsigned MaxDoublings = 5;
    const Duration Bound =
        std::min(m_MaxDelay,
                 MinReconnectDelay * (1 << std::min(m_Attempts, MaxDoublings)));
    ++m_Attempts;
    std::uniform_int_distribution<Duration::rep> Jitter(0, Bound.count());
    m_ReconnectTimer.expires_after(Duration(Jitter(m_Random)));
    m_ReconnectTimer.async_wait(
        [this, Self = shared_from_this()](boost::system::error_code Fault) {
          m_ReconnectPending = false;
          if (!Fault && m_Started)
            openConnection();
        });
  }

  Client m_Client;
  WebsocketLinks<Client> m_Links;
  const std::string m_Address;
  const Duration m_MaxDelay;
  bool m_Started = false;
  /// Connection being opened or in use.
  std::weak_ptr<Client::connection_type> m_Current;
  TimePoint m_OpenedAt{};
  std::string m_LoggedFailure;

  RuntimeTimer m_ReconnectTimer;
  bool m_ReconnectPending = false;
  /// Connection attempts since the last reset of the delay; see
  /// reconnectAfterLoss().
  unsigned m_Attempts = 0;
  std::minstd_rand m_Random;

  friend class LinkClient;
};

LinkClient::LinkClient(boost::asio::io_context &Io, std::string Address,
                       Handlers H, Duration MaxDelay)
    : m_Impl(std::make_shared<Impl>(Io, std::move(Address), std::move(H),
                                    MaxDelay)) {}

LinkClient::~LinkClient() { stop(); }

void LinkClient::start() { m_Impl->start(); }

void LinkClient::send(LinkId Link, const std::vector<LinkMessage> &Messages) {
  m_Impl->send(Link, Messages);
}

void LinkClient::close(LinkId Link, std::string Reason) {
  m_Impl->close(Link, std::move(Reason));
}

void LinkClient::stop() { m_Impl->stop(); }

} // namespace cyclamencroft
