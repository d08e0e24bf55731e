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

/// Receives the link events of one process.
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
  /// Ends the process. The far ends of its links close after the latency.
  void detach(const std::string &Name);

  /// Opens a link; false when the path is cut or the peer is not running.
  bool dial(const std::string &From, const std::string &To);
  void send(LinkId From, const LinkMessage &Message);
  /// Closes the end \p EndId for its owner. The far end closes after all
  /// earlier messages have arrived.
  void close(LinkId EndId);

  /// Closes all links between two processes at both ends at once. Messages in
  /// transit are lost, and dialling fails until restore().
  void cut(const std::string &A, const std::string &B);
  void restore(const std::string &A, const std::string &B);
  void restoreAll();

  /// Delays all messages of one direction until release().
  void hold(const std::string &From, const std::string &To);
  void release(const std::string &From, const std::string &To);
  void releaseAll();

  /// Delivers an earlier message of \p Type again: the last one sent, or the
  /// one sent \p SkipNewest messages before it. It may be one that a cut lost,
  /// and may arrive on a later link of the same two processes. TCP does not
  /// duplicate messages, but a faulty sender may, and the system must tolerate
  /// it. False when there is no such message or link, or one of the processes
  /// has restarted since.
  bool duplicate(const std::string &From, const std::string &To,
                 const std::string &Type, std::size_t SkipNewest = 0);

  /// Name of the process at the other end; empty for a closed link.
  std::string peerOf(LinkId EndId) const;

  std::uint64_t messagesSent() const { return m_MessagesSent; }

private:
  struct QueuedItem {
    /// Without a message the item closes the link.
    std::optional<LinkMessage> m_Message;
  };
  /// One end of a link; queues what it sends until the far end receives it.
  struct LinkEnd {
    std::string m_NodeName;
    /// Value of m_StartCounts for the owning process when the link opened.
    std::uint64_t m_Incarnation = 0;
    LinkId m_FarEnd{};
    std::deque<QueuedItem> m_Queue;
    /// Arrival time of the last queued item; later items arrive no earlier.
    Duration m_LastArrivalAt{};
    /// Closed by its owner; sends and receives nothing more.
    bool m_Closed = false;
  };
  using Path = std::pair<std::string, std::string>;

  void enqueue(LinkId From, QueuedItem Item);
  void deliver(LinkId From);
  void deliverAll(LinkId From);
  void removeEnd(LinkId EndId, bool NotifyOwner);
  std::vector<LinkId> endsBetween(const std::string &From,
                                  const std::string &To) const;

  EventQueue &m_Events;
  Duration m_Latency;
  std::map<std::string, NetworkNode *> m_Nodes;
  std::map<LinkId, LinkEnd> m_Ends;
  std::set<Path> m_CutPaths;
  std::set<Path> m_HeldPaths;
  /// A message and the start counts of its sender and receiver.
  struct SentMessage {
    LinkMessage m_Message;
    std::uint64_t m_FromIncarnation = 0;
    std::uint64_t m_ToIncarnation = 0;
  };
  /// The last MaxRecentMessages by path and type, newest first.
  std::map<std::pair<Path, std::string>, std::deque<SentMessage>>
      m_RecentMessages;
  /// Number of starts of each process.
  std::map<std::string, std::uint64_t> m_StartCounts;
  std::uint64_t m_NextLink = 1;
  std::uint64_t m_MessagesSent = 0;
};

} // namespace cyclamencroft::session
