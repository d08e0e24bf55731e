// The core is notified of a link when its hello arrives; a link without a hello
// never reaches the core.
#include "entry/EntryLinks.h"

#include "link/LinkCodec.h"
#include "telemetry/EventLog.h"

#include <boost/asio/io_context.hpp>

namespace cyclamencroft {
namespace {

/// A link on which no hello arrives within this time is closed.
constexpr Duration HelloTimeout{std::chrono::seconds(5)};
/// Peer index of links that the server accepted.
constexpr std::size_t NoPeer = static_cast<std::size_t>(-1);

} // namespace

EntryLinks::EntryLinks(boost::asio::io_context &Io, const std::string &Listen,
                       const std::vector<std::string> &Peers, Sink Target)
    : m_Sink(std::move(Target)), m_Server(Io, Listen, handlers(NoPeer)),
      m_HelloTimer(Io) {
  for (std::size_t I = 0; I < Peers.size(); ++I)
    m_Clients.push_back(
        std::make_unique<LinkClient>(Io, Peers[I], handlers(I)));
}

void EntryLinks::start() {
  for (const auto &Client : m_Clients)
    Client->start();
}

LinkHandlers EntryLinks::handlers(std::size_t Peer) {
  return {
      [this, Peer](LinkId Link) {
        opened(Link, Peer == NoPeer ? nullptr : m_Clients[Peer].get());
      },
      [this](LinkId Link, std::vector<LinkMessage> Messages) {
        received(Link, std::move(Messages));
      },
      [this](LinkId Link, const std::string &Reason) { closed(Link, Reason); }};
}

void EntryLinks::opened(LinkId Link, LinkClient *Client) {
  m_Open[Link].m_Client = Client;
  m_HelloDeadlines.emplace_back(RuntimeClock::now() + HelloTimeout, Link);
  if (m_HelloDeadlines.size() == 1)
    armHelloTimer();
  if (Client == nullptr)
    return;
  queue(Link, m_Sink.m_MakeHello());
  flush();
}

void EntryLinks::received(LinkId Link, std::vector<LinkMessage> Messages) {
  for (LinkMessage &Message : Messages) {
    // Handling an earlier message may have closed the link.
    const auto Found = m_Open.find(Link);
    if (Found == m_Open.end())
      return;
    OpenLink &Open = Found->second;
    if (Open.m_Stage == Stage::AwaitsHello) {
      if (!acceptHello(Link, Open, Message))
        return;
      continue;
    }
    if (const auto *Transfer = std::get_if<ConfigTransfer>(&Message))
      m_Sink.m_Transfer(*Transfer);
    m_Sink.m_Post(MessageReceived{Link, std::move(Message)});
  }
}

bool EntryLinks::acceptHello(LinkId Link, OpenLink &Open,
                             const LinkMessage &First) {
  if (const auto *Agent = std::get_if<AgentHello>(&First);
      Agent != nullptr && Open.m_Client == nullptr) {
    m_Sink.m_Post(AgentConnected{Link, *Agent});
  } else if (const auto *Entry = std::get_if<EntryHello>(&First)) {
    m_Sink.m_Post(PeerConnected{Link, *Entry});
  } else {
    const std::string Reason =
        "expected a hello, found " + std::string(messageName(First));
    logEvent(LogLevel::Warning, "link-refused",
             {{"peer", m_Server.peer(Link)}, {"reason", Reason}});
    close(Link, Reason);
    return false;
  }
  Open.m_Stage = Stage::HelloReceived;
  return true;
}

void EntryLinks::closed(LinkId Link, const std::string &Reason) {
  const auto Found = m_Open.find(Link);
  if (Found == m_Open.end())
    return;
  const bool HelloReceived = Found->second.m_Stage == Stage::HelloReceived;
  m_Open.erase(Found);
  if (!HelloReceived)
    return;
  logEvent(LogLevel::Info, "link-closed", {{"reason", Reason}});
  m_Sink.m_Post(LinkClosed{Link});
}

void EntryLinks::queue(LinkId Link, LinkMessage Message) {
  const auto Found = m_Open.find(Link);
  if (Found == m_Open.end())
    return;
  if (Found->second.m_Queued.empty())
    m_LinksToFlush.push_back(Link);
  Found->second.m_Queued.push_back(std::move(Message));
}

void EntryLinks::flush() {
  for (const LinkId Link : m_LinksToFlush) {
    const auto Found = m_Open.find(Link);
    if (Found != m_Open.end())
      sendQueued(Link, Found->second);
  }
  m_LinksToFlush.clear();
}

void EntryLinks::sendQueued(LinkId Link, OpenLink &Open) {
  // The vector's capacity is released, because thousands of idle links would
  // otherwise retain it.
  const std::vector<LinkMessage> Messages = std::exchange(Open.m_Queued, {});
  if (Messages.empty())
    return;
  if (Open.m_Client != nullptr)
    Open.m_Client->send(Link, Messages);
  else
    m_Server.send(Link, Messages);
}

void EntryLinks::close(LinkId Link, std::string Reason) {
  const auto Found = m_Open.find(Link);
  if (Found == m_Open.end())
    return;
  sendQueued(Link, Found->second);
  LinkClient *Client = Found->second.m_Client;
  m_Open.erase(Found);
  if (Client != nullptr)
    Client->close(Link, std::move(Reason));
  else
    m_Server.close(Link, std::move(Reason));
}

void EntryLinks::armHelloTimer() {
  m_HelloTimer.expires_at(m_HelloDeadlines.front().first);
  m_HelloTimer.async_wait([this](boost::system::error_code Fault) {
    if (!Fault)
      closeLinksWithoutHello();
  });
}

void EntryLinks::closeLinksWithoutHello() {
  const TimePoint Now = RuntimeClock::now();
  while (!m_HelloDeadlines.empty() && m_HelloDeadlines.front().first <= Now) {
    const LinkId Link = m_HelloDeadlines.front().second;
    m_HelloDeadlines.pop_front();
    const auto Found = m_Open.find(Link);
    if (Found == m_Open.end() || Found->second.m_Stage == Stage::HelloReceived)
      continue;
    logEvent(LogLevel::Warning, "link-refused",
             {{"peer", m_Server.peer(Link)}, {"reason", "no hello in 5 s"}});
    close(Link, "no hello in 5 s");
  }
  if (!m_HelloDeadlines.empty())
    armHelloTimer();
}

void EntryLinks::stop() {
  m_HelloTimer.cancel();
  for (const auto &Client : m_Clients)
    Client->stop();
  m_Server.stop();
  m_Open.clear();
}

} // namespace cyclamencroft
