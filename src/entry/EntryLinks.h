// Links of an entry: a server for agents and peers, a client for each peer in
// the settings, and the hello exchange that starts every link.
#pragma once

#include "core/RuntimeTimer.h"
#include "entry/EntryEvents.h"
#include "link/LinkClient.h"
#include "link/LinkServer.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamencroft {

/// All methods and callbacks run on the thread of the io_context.
class EntryLinks {
public:
  struct Sink {
    std::function<void(EntryEvent)> m_Post;
    std::function<void(const ConfigTransfer &)> m_Transfer;
    /// Hello of this entry, for links that it opens.
    std::function<EntryHello()> m_MakeHello;
  };

  EntryLinks(boost::asio::io_context &Io, const std::string &Listen,
             const std::vector<std::string> &Peers, Sink Target);

  void start();
  std::uint16_t port() const { return m_Server.port(); }

  /// Queues a message; flush() sends all queued messages of a link in one
  /// frame. Does nothing when the link is not open.
  void queue(LinkId Link, LinkMessage Message);
  void flush();

  /// Sends the messages queued for the link, then closes it.
  void close(LinkId Link, std::string Reason);

  std::size_t size() const { return m_Open.size(); }
  void stop();

private:
  enum class Stage { AwaitsHello, HelloReceived };
  struct OpenLink {
    /// Null for links that the server accepted.
    LinkClient *m_Client = nullptr;
    Stage m_Stage = Stage::AwaitsHello;
    std::vector<LinkMessage> m_Queued;
  };

  LinkHandlers handlers(std::size_t Peer);
  void opened(LinkId Link, LinkClient *Client);
  void received(LinkId Link, std::vector<LinkMessage> Messages);
  void closed(LinkId Link, const std::string &Reason);
  /// Reports the link to the core. Closes it and returns false when \p First is
  /// not a valid hello.
  bool acceptHello(LinkId Link, OpenLink &Open, const LinkMessage &First);
  void sendQueued(LinkId Link, OpenLink &Open);
  void armHelloTimer();
  void closeLinksWithoutHello();

  const Sink m_Sink;
  LinkServer m_Server;
  std::vector<std::unique_ptr<LinkClient>> m_Clients;
  std::unordered_map<LinkId, OpenLink> m_Open;
  /// Links for which messages may have been queued since the last flush.
  std::vector<LinkId> m_LinksToFlush;
  /// Deadline by which each link must have sent its hello, in the order in
  /// which the links were opened.
  std::deque<std::pair<TimePoint, LinkId>> m_HelloDeadlines;
  RuntimeTimer m_HelloTimer;
};

} // namespace cyclamencroft
