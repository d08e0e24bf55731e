// Links between the processes of a session. Like TCP, a link keeps the order of
// each direction and loses messages only when it breaks.
#pragma once

#include "EventQueue.h"
#include "core/Messages.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cyclamencroft::session {

/// A process as the network sees it.
class NetworkNode {
public:
  virtual ~NetworkNode() = default;
  virtual void linkOpened(LinkId Link, const std::string &Peer,
                          bool IsDialer) = 0;
  virtual void linkClosed(LinkId Link) = 0;
  virtual void messageArrived(LinkId Link, const LinkMessage &Message) = 0;
};

class FakeNetwork {
public:
  FakeNetwork(EventQueue &Events, Duration Latency)
      : m_Events(Events), m_Latency(Latency) {}

  void attach(const std::string &Name, NetworkNode &Node);
  /// The process ends: its links close at the far ends after the latency.
  void detach(const std::string &Name);

  /// Opens a link; false when the path is cut or the peer is not running.
  bool dial(const std::string &From, const std::string &To);
  void send(LinkId From, const LinkMessage &Message);
  /// The owner closes its end; the far end closes after all earlier messages
  /// have arrived.
  void close(LinkId EndId);

  /// Breaks the path: links between both close at both ends at once, messages
  /// under way are lost, and dialling fails until restore().
  void cut(const std::string &A, const std::string &B);
  void restore(const std::string &A, const std::string &B);
  void restoreAll();

  /// Keeps back messages of one direction until release(); late messages.
  void hold(const std::string &From, const std::string &To);
  void release(const std::string &From, const std::string &To);
  void releaseAll();

  /// Delivers a message of \p Type from one process to another again: the last
  /// one sent, or one that is \p SkipNewest messages older; it may have been
  /// lost in a cut. Also on a later link of the same two processes. TCP does
  /// not duplicate messages, but a faulty sender may, and the system must
  /// tolerate it.
  bool duplicate(const std::string &From, const std::string &To,
                 const std::string &Type, std::size_t SkipNewest = 0);

  /// Name of the process at the other end; empty for a closed link.
  std::string peerOf(LinkId LinkEnd) const;

  std::uint64_t messagesSent() const { return m_Sent; }

private:
  struct QueuedItem {
    /// Empty closes the link.
    std::optional<LinkMessage> m_Message;
  };
  /// One end; what it sends is queued here until it arrives at the other.
  struct LinkEnd {
    std::string m_Node;
    /// Start of the process that owns this end; see m_StartCounts.
    std::uint64_t m_Incarnation = 0;
    LinkId m_FarEnd{};
    std::deque<QueuedItem> m_Queue;
    /// Arrival time of the last item; later ones don't overtake it.
    Duration m_LastArrival{};
    /// Closed by its owner; sends and receives nothing more.
    bool m_Closed = false;
  };
  using Path = std::pair<std::string, std::string>;

  void push(LinkId From, QueuedItem Queued);
  void deliver(LinkId From);
  void deliverAll(LinkId From);
  void removeEnd(LinkId EndId, bool Notify);
  std::vector<LinkId> endsBetween(const std::string &From,
                                  const std::string &To) const;

  EventQueue &m_Events;
  Duration m_Latency;
  std::map<std::string, NetworkNode *> m_Nodes;
  std::map<LinkId, LinkEnd> m_Ends;
  std::set<Path> m_Cut;
  std::set<Path> m_Held;
  /// A message and the incarnations of the two processes of its link.
  struct SentMessage {
    LinkMessage m_Message;
    std::uint64_t m_FromIncarnation = 0;
    std::uint64_t m_ToIncarnation = 0;
  };
  /// The newest messages by path and type, newest first.
  std::map<std::pair<Path, std::string>, std::deque<SentMessage>>
      m_RecentMessages;
  /// Number of starts of each process.
  std::map<std::string, std::uint64_t> m_StartCounts;
  std::uint64_t m_NextLink = 1;
  std::uint64_t m_Sent = 0;
};

} // namespace cyclamencroft::session
