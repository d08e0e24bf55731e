// Delivers messages in order and with latency; injects link faults.
#include "FakeNetwork.h"

#include "Transcript.h"

namespace cyclamencroft::session {
namespace {

// Covers the outstanding dispatches of one agent in a session.
constexpr std::size_t MaxRecentMessages = 16;

} // namespace

void FakeNetwork::attach(const std::string &Name, NetworkNode &Node) {
  m_Nodes[Name] = &Node;
  ++m_StartCounts[Name];
}

void FakeNetwork::detach(const std::string &Name) {
  m_Nodes.erase(Name);
  std::vector<LinkId> OwnEnds;
  for (const auto &[Id, End] : m_Ends)
    if (End.m_NodeName == Name)
      OwnEnds.push_back(Id);
  for (const LinkId Id : OwnEnds)
    close(Id);
}

bool FakeNetwork::dial(const std::string &From, const std::string &To) {
  if (m_CutPaths.count({From, To}) || !m_Nodes.count(From) ||
      !m_Nodes.count(To))
    return false;
  const LinkId Near{m_NextLink++};
  const LinkId Far{m_NextLink++};
  m_Ends[Near] = LinkEnd{From, m_StartCounts[From], Far, {}, m_Events.now()};
  m_Ends[Far] = LinkEnd{To, m_StartCounts[To], Near, {}, m_Events.now()};
  m_Nodes.at(To)->linkOpened(Far, From, false);
  m_Nodes.at(From)->linkOpened(Near, To, true);
  return true;
}

void FakeNetwork::send(LinkId From, const LinkMessage &Message) {
  const auto Found = m_Ends.find(From);
  if (Found == m_Ends.end() || Found->second.m_Closed)
    return;
  ++m_MessagesSent;
  const Path FromTo{Found->second.m_NodeName, peerOf(From)};
  auto &RecentOfType = m_RecentMessages[{FromTo, messageTypeName(Message)}];
  const auto FarEnd = m_Ends.find(Found->second.m_FarEnd);
  const std::uint64_t ToIncarnation =
      FarEnd == m_Ends.end() ? 0 : FarEnd->second.m_Incarnation;
  RecentOfType.push_front(
      {Message, Found->second.m_Incarnation, ToIncarnation});
  if (RecentOfType.size() > MaxRecentMessages)
    RecentOfType.pop_back();
  enqueue(From, QueuedItem{Message});
}

void FakeNetwork::close(LinkId EndId) {
  const auto Found = m_Ends.find(EndId);
  if (Found == m_Ends.end() || Found->second.m_Closed)
    return;
  enqueue(EndId, QueuedItem{});
  Found->second.m_Closed = true;
  const std::string Owner = Found->second.m_NodeName;
  m_Events.schedule(m_Events.now(), [this, Owner, EndId] {
    const auto Node = m_Nodes.find(Owner);
    if (Node != m_Nodes.end())
      Node->second->linkClosed(EndId);
  });
}

void FakeNetwork::enqueue(LinkId From, QueuedItem Item) {
  LinkEnd &Sender = m_Ends.at(From);
  Sender.m_Queue.push_back(std::move(Item));
  Sender.m_LastArrivalAt =
      std::max(Sender.m_LastArrivalAt, m_Events.now() + m_Latency);
  m_Events.schedule(Sender.m_LastArrivalAt, [this, From] { deliver(From); });
}

void FakeNetwork::deliver(LinkId From) {
  const auto Found = m_Ends.find(From);
  if (Found == m_Ends.end() || Found->second.m_Queue.empty())
    return;
  if (m_HeldPaths.count({Found->second.m_NodeName, peerOf(From)}))
    return;
  const QueuedItem Item = std::move(Found->second.m_Queue.front());
  Found->second.m_Queue.pop_front();
  const LinkId To = Found->second.m_FarEnd;
  const auto Receiver = m_Ends.find(To);
  const bool IsOpen = Receiver != m_Ends.end() && !Receiver->second.m_Closed;
  if (!Item.m_Message) {
    removeEnd(From, false);
    removeEnd(To, IsOpen);
    return;
  }
  if (!IsOpen)
    return;
  const auto Node = m_Nodes.find(Receiver->second.m_NodeName);
  if (Node != m_Nodes.end())
    Node->second->messageArrived(To, *Item.m_Message);
}

void FakeNetwork::deliverAll(LinkId From) {
  for (;;) {
    const auto Found = m_Ends.find(From);
    if (Found == m_Ends.end() || Found->second.m_Queue.empty())
      return;
    deliver(From);
  }
}

void FakeNetwork::removeEnd(LinkId EndId, bool NotifyOwner) {
  const auto Found = m_Ends.find(EndId);
  if (Found == m_Ends.end())
    return;
  const std::string Owner = Found->second.m_NodeName;
  NotifyOwner = NotifyOwner && !Found->second.m_Closed;
  m_Ends.erase(Found);
  const auto Node = m_Nodes.find(Owner);
  if (NotifyOwner && Node != m_Nodes.end())
    Node->second->linkClosed(EndId);
}

void FakeNetwork::cut(const std::string &A, const std::string &B) {
  m_CutPaths.insert({A, B});
  m_CutPaths.insert({B, A});
  for (const LinkId Near : endsBetween(A, B)) {
    const LinkId Far = m_Ends.at(Near).m_FarEnd;
    removeEnd(Near, true);
    removeEnd(Far, true);
  }
}

void FakeNetwork::restore(const std::string &A, const std::string &B) {
  m_CutPaths.erase({A, B});
  m_CutPaths.erase({B, A});
}

void FakeNetwork::restoreAll() { m_CutPaths.clear(); }

void FakeNetwork::hold(const std::string &From, const std::string &To) {
  m_HeldPaths.insert({From, To});
}

void FakeNetwork::release(const std::string &From, const std::string &To) {
  m_HeldPaths.erase({From, To});
  for (const LinkId Id : endsBetween(From, To))
    deliverAll(Id);
}

void FakeNetwork::releaseAll() {
  const std::set<Path> HeldPaths = m_HeldPaths;
  for (const auto &[From, To] : HeldPaths)
    release(From, To);
}

bool FakeNetwork::duplicate(const std::string &From, const std::string &To,
                            const std::string &Type, std::size_t SkipNewest) {
  const auto Found = m_RecentMessages.find({Path{From, To}, Type});
  if (Found == m_RecentMessages.end() || Found->second.size() <= SkipNewest)
    return false;
  const SentMessage &Sent = Found->second[SkipNewest];
  const auto Ends = endsBetween(From, To);
  if (Ends.empty() || Sent.m_FromIncarnation != m_StartCounts[From] ||
      Sent.m_ToIncarnation != m_StartCounts[To])
    return false;
  enqueue(Ends.back(), QueuedItem{Sent.m_Message});
  return true;
}

std::string FakeNetwork::peerOf(LinkId EndId) const {
  const auto Found = m_Ends.find(EndId);
  if (Found == m_Ends.end())
    return {};
  const auto FarEnd = m_Ends.find(Found->second.m_FarEnd);
  return FarEnd == m_Ends.end() ? std::string() : FarEnd->second.m_NodeName;
}

std::vector<LinkId> FakeNetwork::endsBetween(const std::string &From,
                                             const std::string &To) const {
  std::vector<LinkId> Ends;
  for (const auto &[Id, End] : m_Ends)
    if (End.m_NodeName == From && peerOf(Id) == To)
      Ends.push_back(Id);
  return Ends;
}

} // namespace cyclamencroft::session
