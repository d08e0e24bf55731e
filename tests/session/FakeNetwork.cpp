// Ordered delivery with latency, cuts, holds and duplicates.
#include "FakeNetwork.h"

#include "Transcript.h"

namespace cyclamencroft::session {
namespace {

// Enough for the dispatches that are outstanding at one agent in a session.
constexpr std::size_t RememberedMessages = 16;

} // namespace

void FakeNetwork::attach(const std::string &Name, NetworkNode &Node) {
  m_Nodes[Name] = &Node;
  ++m_Lives[Name];
}

void FakeNetwork::detach(const std::string &Name) {
  m_Nodes.erase(Name);
  std::vector<LinkId> Own;
  for (const auto &[Id, Side] : m_Ends)
    if (Side.m_Node == Name)
      Own.push_back(Id);
  for (const LinkId Id : Own)
    close(Id);
}

bool FakeNetwork::dial(const std::string &From, const std::string &To) {
  if (m_Cut.count({From, To}) || !m_Nodes.count(From) || !m_Nodes.count(To))
    return false;
  const LinkId Near{m_NextLink++};
  const LinkId Far{m_NextLink++};
  m_Ends[Near] = End{From, m_Lives[From], Far, {}, m_Events.now()};
  m_Ends[Far] = End{To, m_Lives[To], Near, {}, m_Events.now()};
  m_Nodes.at(To)->linkOpened(Far, From, false);
  m_Nodes.at(From)->linkOpened(Near, To, true);
  return true;
}

void FakeNetwork::send(LinkId From, const LinkMessage &Message) {
  const auto Side = m_Ends.find(From);
  if (Side == m_Ends.end() || Side->second.m_Closed)
    return;
  ++m_Sent;
  const Path Way{Side->second.m_Node, peerOf(From)};
  auto &Lately = m_SentLately[{Way, typeName(Message)}];
  const auto Other = m_Ends.find(Side->second.m_Other);
  const std::uint64_t ToLife = Other == m_Ends.end() ? 0 : Other->second.m_Life;
  Lately.push_front({Message, Side->second.m_Life, ToLife});
  if (Lately.size() > RememberedMessages)
    Lately.pop_back();
  push(From, Item{Message});
}

void FakeNetwork::close(LinkId Which) {
  const auto Side = m_Ends.find(Which);
  if (Side == m_Ends.end() || Side->second.m_Closed)
    return;
  push(Which, Item{});
  Side->second.m_Closed = true;
  const std::string Owner = Side->second.m_Node;
  m_Events.schedule(m_Events.now(), [this, Owner, Which] {
    const auto Node = m_Nodes.find(Owner);
    if (Node != m_Nodes.end())
      Node->second->linkClosed(Which);
  });
}

void FakeNetwork::push(LinkId From, Item What) {
  End &Side = m_Ends.at(From);
  Side.m_Queue.push_back(std::move(What));
  Side.m_LastArrival = std::max(Side.m_LastArrival, m_Events.now() + m_Latency);
  m_Events.schedule(Side.m_LastArrival, [this, From] { deliver(From); });
}

void FakeNetwork::deliver(LinkId From) {
  const auto Found = m_Ends.find(From);
  if (Found == m_Ends.end() || Found->second.m_Queue.empty())
    return;
  if (m_Held.count({Found->second.m_Node, peerOf(From)}))
    return;
  const Item What = std::move(Found->second.m_Queue.front());
  Found->second.m_Queue.pop_front();
  const LinkId To = Found->second.m_Other;
  const auto Receiver = m_Ends.find(To);
  const bool Listens = Receiver != m_Ends.end() && !Receiver->second.m_Closed;
  if (!What.m_Message) {
    dropEnd(From, false);
    dropEnd(To, Listens);
    return;
  }
  if (!Listens)
    return;
  const auto Node = m_Nodes.find(Receiver->second.m_Node);
  if (Node != m_Nodes.end())
    Node->second->messageArrived(To, *What.m_Message);
}

void FakeNetwork::drain(LinkId From) {
  for (;;) {
    const auto Found = m_Ends.find(From);
    if (Found == m_Ends.end() || Found->second.m_Queue.empty())
      return;
    deliver(From);
  }
}

void FakeNetwork::dropEnd(LinkId Which, bool Tell) {
  const auto Found = m_Ends.find(Which);
  if (Found == m_Ends.end())
    return;
  const std::string Name = Found->second.m_Node;
  Tell = Tell && !Found->second.m_Closed;
  m_Ends.erase(Found);
  const auto Node = m_Nodes.find(Name);
  if (Tell && Node != m_Nodes.end())
    Node->second->linkClosed(Which);
}

void FakeNetwork::cut(const std::string &A, const std::string &B) {
  m_Cut.insert({A, B});
  m_Cut.insert({B, A});
  for (const LinkId Near : endsBetween(A, B)) {
    const LinkId Far = m_Ends.at(Near).m_Other;
    dropEnd(Near, true);
    dropEnd(Far, true);
  }
}

void FakeNetwork::join(const std::string &A, const std::string &B) {
  m_Cut.erase({A, B});
  m_Cut.erase({B, A});
}

void FakeNetwork::joinAll() { m_Cut.clear(); }

void FakeNetwork::hold(const std::string &From, const std::string &To) {
  m_Held.insert({From, To});
}

void FakeNetwork::release(const std::string &From, const std::string &To) {
  m_Held.erase({From, To});
  for (const LinkId Id : endsBetween(From, To))
    drain(Id);
}

void FakeNetwork::releaseAll() {
  const std::set<Path> Held = m_Held;
  for (const auto &[From, To] : Held)
    release(From, To);
}

bool FakeNetwork::duplicate(const std::string &From, const std::string &To,
                            const std::string &Type, std::size_t Back) {
  const auto Found = m_SentLately.find({Path{From, To}, Type});
  if (Found == m_SentLately.end() || Found->second.size() <= Back)
    return false;
  const SentMessage &Sent = Found->second[Back];
  const auto Ends = endsBetween(From, To);
  if (Ends.empty() || Sent.m_FromLife != m_Lives[From] ||
      Sent.m_ToLife != m_Lives[To])
    return false;
  push(Ends.back(), Item{Sent.m_Message});
  return true;
}

std::string FakeNetwork::peerOf(LinkId Which) const {
  const auto Found = m_Ends.find(Which);
  if (Found == m_Ends.end())
    return {};
  const auto Other = m_Ends.find(Found->second.m_Other);
  return Other == m_Ends.end() ? std::string() : Other->second.m_Node;
}

std::vector<LinkId> FakeNetwork::endsBetween(const std::string &From,
                                             const std::string &To) const {
  std::vector<LinkId> Found;
  for (const auto &[Id, Side] : m_Ends)
    if (Side.m_Node == From && peerOf(Id) == To)
      Found.push_back(Id);
  return Found;
}

} // namespace cyclamencroft::session
