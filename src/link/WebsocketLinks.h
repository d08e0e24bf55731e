// Code shared by link server and client: configuration of websocketpp, socket
// options, the table of open links, sending and closing.
// Private to src/link/; includes websocketpp.
#pragma once

#include "link/LinkCodec.h"
#include "link/LinkHandlers.h"
#include "link/LinkLimits.h"
#include "telemetry/EventLog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <websocketpp/close.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/logger/stub.hpp>

#include <cstdint>
#include <exception>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

namespace cyclamencroft {

/// Generates WebSocket masking keys (SplitMix64). The library's own generator
/// reads the random device for every frame.
class MaskingKeyGenerator {
public:
  std::uint32_t operator()() {
    m_State += 0x9e3779b97f4a7c15;
    std::uint64_t Mixed = m_State;
    Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9;
    Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111eb;
    return static_cast<std::uint32_t>(Mixed >> 32);
  }

private:
  std::uint64_t m_State = std::random_device()();
};

/// State that each websocketpp connection carries.
struct LinkConnectionBase {
  /// Zero until the handshake is complete, and after the link is closed.
  LinkId m_Link{};
  /// Keeps the owner of the websocketpp endpoint alive: pending operations hold
  /// raw pointers to the endpoint.
  std::shared_ptr<void> m_Owner;
};

/// One io_context thread runs all links of a websocketpp endpoint, so there are
/// no locks.
struct LinkWebsocketConfig : websocketpp::config::asio {
  using type = LinkWebsocketConfig;
  using base = websocketpp::config::asio;
  using concurrency_type = websocketpp::concurrency::none;
  using request_type = base::request_type;
  using response_type = base::response_type;
  using message_type = base::message_type;
  using con_msg_manager_type = base::con_msg_manager_type;
  using endpoint_msg_manager_type = base::endpoint_msg_manager_type;
  using alog_type = websocketpp::log::stub;
  using elog_type = websocketpp::log::stub;
  using rng_type = MaskingKeyGenerator;
  using connection_base = LinkConnectionBase;

  static bool const enable_multithreading = false;
  // 16,384 bytes, the library's default, take 3.7 KB more resident memory for
  // each idle link.
  static const std::size_t connection_read_buffer_size = 512;
  static const std::size_t max_message_size = MaxFrameBytes;
  static const std::size_t max_http_body_size = 4096;

  struct TransportConfig : base::transport_config {
    using concurrency_type = type::concurrency_type;
    using alog_type = type::alog_type;
    using elog_type = type::elog_type;
    using request_type = type::request_type;
    using response_type = type::response_type;
    using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
    static bool const enable_multithreading = false;
    static const long timeout_connect = LinkConnectTimeoutMs;
    static const long timeout_socket_post_init = LinkHandshakeTimeoutMs;
  };
  static const long timeout_open_handshake = LinkHandshakeTimeoutMs;
  using transport_type =
      websocketpp::transport::asio::endpoint<TransportConfig>;
};

/// Sets the options of a link's socket. Errors are ignored, because the peer
/// may have closed the connection already, which the next read reports.
void setLinkSocketOptions(int Socket);

/// Unique within the process, across servers and clients.
LinkId nextLinkId();

/// Truncates the reason of a close frame to the 123 bytes that the protocol
/// allows.
std::string closeReason(std::string Reason);

/// Decodes a frame; the second member is the error text, empty on success.
std::pair<std::vector<LinkMessage>, std::string>
readFrame(const std::string &Frame);

/// Open links of one websocketpp endpoint (server or client).
template <class Endpoint> class WebsocketLinks {
public:
  using ConnectionPtr = typename Endpoint::connection_ptr;
  using Connection = typename Endpoint::connection_type;
  using MessagePtr = typename Endpoint::message_ptr;

  WebsocketLinks(boost::asio::io_context &Io, LinkHandlers Handlers)
      : m_Io(Io), m_Handlers(std::move(Handlers)) {}

  /// Called by websocketpp through handlers that the owner of this object
  /// installs.
  void opened(const ConnectionPtr &Con) {
    if (m_Stopped)
      return abortConnection(Con);
    Con->m_Link = nextLinkId();
    m_Open.emplace(Con->m_Link, Con);
    m_Handlers.m_OnOpen(Con->m_Link);
  }

  void received(const ConnectionPtr &Con, const MessagePtr &Message) {
    const LinkId Link = Con->m_Link;
    if (Link == LinkId{})
      return;
    if (Message->get_opcode() != websocketpp::frame::opcode::binary)
      return refuse(Con, "text frame; links carry binary frames");
    auto [Messages, Fault] = readFrame(Message->get_payload());
    if (!Fault.empty())
      return refuse(Con, Fault);
    try {
      m_Handlers.m_OnMessages(Link, std::move(Messages));
    } catch (const std::exception &Failed) {
      refuse(Con, std::string("handling failed: ") + Failed.what());
    }
  }

  /// Called when the connection has ended; returns false when the link was
  /// removed before.
  bool closed(const ConnectionPtr &Con) {
    const LinkId Link = std::exchange(Con->m_Link, LinkId{});
    if (m_Open.erase(Link) == 0)
      return false;
    std::string Reason = Con->get_remote_close_reason();
    if (Reason.empty())
      Reason = Con->get_local_close_reason();
    if (Reason.empty())
      Reason = "closed by peer";
    m_Handlers.m_OnClose(Link, std::move(Reason));
    return true;
  }

  void send(LinkId Link, boost::span<const LinkMessage> Messages) {
    const auto Found = m_Open.find(Link);
    if (Found == m_Open.end() || Messages.empty())
      return;
    // A copy, because sending may remove the link from the table.
    const ConnectionPtr Con = Found->second;
    std::string Frame = encodeFrame(Messages);
    if (Frame.size() <= MaxFrameBytes)
      return sendFrame(Con, std::move(Frame));
    if (Messages.size() == 1) {
      const std::string Name(messageName(Messages[0]));
      return close(Link, Name + " of " + std::to_string(Frame.size()) +
                             " bytes exceeds the frame limit");
    }
    const std::size_t Half = Messages.size() / 2;
    send(Link, Messages.first(Half));
    send(Link, Messages.subspan(Half));
  }

  void close(LinkId Link, std::string Reason) {
    const auto Found = m_Open.find(Link);
    if (Found == m_Open.end())
      return;
    const ConnectionPtr Con = Found->second;
    removeLink(Con, Reason);
    websocketpp::lib::error_code Ignored;
    Con->close(websocketpp::close::status::normal,
               closeReason(std::move(Reason)), Ignored);
  }

  /// Closes every link immediately, without calling handlers.
  void stop() {
    m_Stopped = true;
    for (auto &[Link, Con] : std::exchange(m_Open, {})) {
      Con->m_Link = LinkId{};
      abortConnection(Con);
    }
  }

  std::size_t size() const { return m_Open.size(); }

  ConnectionPtr find(LinkId Link) const {
    const auto Found = m_Open.find(Link);
    return Found == m_Open.end() ? ConnectionPtr() : Found->second;
  }

  /// Shuts down the TCP connection without a closing handshake.
  static void abortConnection(const ConnectionPtr &Con) {
    boost::system::error_code Ignored;
    Con->get_raw_socket().shutdown(boost::asio::socket_base::shutdown_both,
                                   Ignored);
  }

private:
  void sendFrame(const ConnectionPtr &Con, std::string Frame) {
    if (Con->get_buffered_amount() + Frame.size() > MaxQueuedBytes) {
      logEvent(LogLevel::Warning, "link-too-slow",
               {{"peer", Con->get_remote_endpoint()},
                {"queued", std::to_string(Con->get_buffered_amount())}});
      removeLink(Con, "peer reads too slowly");
      return abortConnection(Con);
    }
    // Setting the payload of a message avoids the copy that send(string) makes.
    const MessagePtr Message =
        Con->get_message(websocketpp::frame::opcode::binary, 0);
    Message->get_raw_payload().swap(Frame);
    // An error means that the link is closing; its close handler is called
    // later.
    (void)Con->send(Message);
  }

  void refuse(const ConnectionPtr &Con, const std::string &Fault) {
    logEvent(LogLevel::Warning, "link-refused",
             {{"peer", Con->get_remote_endpoint()}, {"reason", Fault}});
    removeLink(Con, Fault);
    websocketpp::lib::error_code Ignored;
    Con->close(websocketpp::close::status::invalid_payload, closeReason(Fault),
               Ignored);
  }

  /// Removes the link immediately and calls m_OnClose from the event loop, so
  /// that no handler runs inside a call of the owner.
  void removeLink(const ConnectionPtr &Con, std::string Reason) {
    const LinkId Link = std::exchange(Con->m_Link, LinkId{});
    m_Open.erase(Link);
    boost::asio::post(m_Io, [this, Link, Reason = std::move(Reason),
                             Owner = Con->m_Owner]() mutable {
      if (!m_Stopped)
        m_Handlers.m_OnClose(Link, std::move(Reason));
    });
  }

  boost::asio::io_context &m_Io;
  LinkHandlers m_Handlers;
  bool m_Stopped = false;
  /// Invariant: each connection's m_Link is its key.
  std::unordered_map<LinkId, ConnectionPtr> m_Open;
};

} // namespace cyclamencroft
