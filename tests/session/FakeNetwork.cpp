// Ordered delivery with latency, cuts, holds and duplicates.
#include "FakeNetwork.h"

#include "Transcript.h"

namespace cyclamencroft::session {
namespace {

// Enough for the dispatches that are outstanding at one agent in a session.
constexpr std::size_t MaxRecentMessages = 16;

} // namespace

void FakeNetwork::attach(const std::string &Name, NetworkNode &Node) {
  m_Nodes[Name] = &Node;
  ++m_StartCounts[Name];
}

void FakeNetwork::detach(const std::string &Name) {
  m_Nodes.erase(Name);
  std::vector<LinkId> Own;
  for (const auto &[Id, Found] : m_Ends)
    if (Found.m_Node == Name)
      Own.push_back(Id);
  for (const LinkId Id : Own)
    close(Id);
}

bool FakeNetwork::dial(const std::string &From, const std::string &To) {
  if (m_Cut.count({From, To}) || !m_Nodes.count(From) || !m_Nodes.count(To))
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
  ++m_Sent;
  const Path Direction{Found->second.m_Node, peerOf(From)};
  auto &Recent = m_RecentMessages[{Direction, messageTypeName(Message)}];
  const auto Other = m_Ends.find(Found->second.m_FarEnd);
  const std::uint64_t ToIncarnation =
      Other == m_Ends.end() ? 0 : Other->second.m_Incarnation;
  Recent.push_front({Message, Found->second.m_Incarnation, ToIncarnation});
  if (Recent.size() > MaxRecentMessages)
    Recent.pop_back();
  push(From, QueuedItem{Message});
}

void FakeNetwork::close(LinkId EndId) {
  const auto Found = m_Ends.find(EndId);
  if (Found == m_Ends.end() || Found->second.m_Closed)
    return;
  push(EndId, QueuedItem{});
  Found->second.m_Closed = true;
  const std::string Owner = Found->second.m_Node;
  m_Events.schedule(m_Events.now(), [this, Owner, EndId] {
    const auto Node = m_Nodes.find(Owner);
    if (Node != m_Nodes.end())
      Node->second->linkClosed(EndId);
  });
}

void FakeNetwork::push(LinkId From, QueuedItem Queued) {
  LinkEnd &Found = m_Ends.at(From);
  Found.m_Queue.push_back(std::move(Queued));
  Found.m_LastArrival =
      std::max(Found.m_LastArrival, m_Events.now() + m_Latency);
  m_Events.schedule(Found.m_LastArrival, [this, From] { deliver(From); });
}

void FakeNetwork::deliver(LinkId From) {
  const auto Found = m_Ends.find(From);
  if (Found == m_Ends.end() || Found->second.m_Queue.empty())
    return;
  if (m_Held.count({Found->second.m_Node, peerOf(From)}))
    return;
  const QueuedItem Queued = std::move(Found->second.m_Queue.front());
  Found->second.m_Queue.pop_front();
  const LinkId To = Found->second.m_FarEnd;
  const auto Receiver = m_Ends.find(To);
  const bool IsOpen = Receiver != m_Ends.end() && !Receiver->second.m_Closed;
  if (!Queued.m_Message) {
    removeEnd(From, false);
    removeEnd(To, IsOpen);
    return;
  }
  if (!IsOpen)
    return;
  const auto Node = m_Nodes.find(Receiver->second.m_Node);
  if (Node != m_Nodes.end())
    Node->second->messageArrived(To, *Queued.m_Message);
}

void FakeNetwork::deliverAll(LinkId From) {
  for (;;) {
    const auto Found = m_Ends.find(From);
    if (Found == m_Ends.end() || Found->second.m_Queue.empty())
      return;
    deliver(From);
  }
}

void FakeNetwork::removeEnd(LinkId EndId, bool Notify) {
  const auto Found = m_Ends.find(EndId);
  if (Found == m_Ends.end())
    return;
  const std::string Name = Found->second.m_Node;
  Notify = Notify && !Found->second.m_Closed;
  m_Ends.erase(Found);
  const auto Node = m_Nodes.find(Name);
  if (Notify && Node != m_Nodes.end())
    Node->second->linkClosed(EndId);
}

void FakeNetwork::cut(const std::string &A, const std::string &B) {
  m_Cut.insert({A, B});
  m_Cut.insert({B, A});
  for (const LinkId Near : endsBetween(A, B)) {
    const LinkId Far = m_Ends.at(Near).m_FarEnd;
    removeEnd(Near, true);
    removeEnd(Far, true);
  }
}

void FakeNetwork::restore(const std::string &A, const std::string &B) {
  m_Cut.erase({A, B});
  m_Cut.erase({B, A});
}

void FakeNetwork::restoreAll() { m_Cut.clear(); }

void FakeNetwork::hold(const std::string &From, const std::string &To) {
  m_Held.insert({From, To});
}

void FakeNetwork::release(const std::string &From, const std::string &To) {
  m_Held.erase({From, To});
  for (const LinkId Id : endsBetween(From, To))
    deliverAll(Id);
}

void FakeNetwork::releaseAll() {
  const std::set<Path> Held = m_Held;
  for (const auto &[From, To] : Held)
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
  push(Ends.back(), QueuedItem{Sent.m_Message});
  return true;
}

std::string FakeNetwork::peerOf(LinkId EndId) const {
  const auto Found = m_Ends.find(EndId);
  if (Found == m_Ends.end())
    return {};
  const auto Other = m_Ends.find(Found->second.m_FarEnd);
  return Other == m_Ends.end() ? std::string() : Other->second.m_Node;
}

std::vector<LinkId> FakeNetwork::endsBetween(const std::string &From,
                                             const std::string &To) const {
  std::vector<LinkId> Found;
  for (const auto &[Id, Near] : m_Ends)
    if (Near.m_Node == From && peerOf(Id) == To)
      Found.push_back(Id);
  return Found;
}

} // namespace cyclamencroft::session
