// One client per address; it reconnects when its link is lost.
#include "EntryDirectory.h"

#include "telemetry/EventLog.h"

#include <utility>

namespace cyclamencroft {
namespace {

/// Short, so that an entry that restarts is connected to all endpoints when the
/// load balancer sends it callers.
constexpr Duration MaxEntryRedialDelay = std::chrono::milliseconds(400);

} // namespace

EntryDirectory::EntryDirectory(boost::asio::io_context &Io, Handlers H)
    : m_Io(Io), m_Handlers(std::move(H)) {}

void EntryDirectory::addSeed(const std::string &Host, std::uint32_t LinkPort) {
  dial(Host.substr(0, Host.rfind(':') + 1) + std::to_string(LinkPort));
}

void EntryDirectory::updateEntry(const std::string &Id,
                                 const std::string &Address) {
  const std::string Previous = std::exchange(m_AddressById[Id], Address);
  if (Previous == Address)
    return;
  logEvent(LogLevel::Info, "entry-announced",
           {{"entry", Id}, {"address", Address}, {"before", Previous}});
  if (!Previous.empty())
    removeIfUnused(Previous);
  if (!Address.empty())
    dial(Address);
}

void EntryDirectory::dial(const std::string &Address) {
  if (m_Clients.count(Address) != 0)
    return;
  LinkHandlers Link;
  Link.m_OnOpen = [this, Address](LinkId Opened) {
    m_AddressByLink.emplace(Opened, Address);
    m_Handlers.m_OnOpen(Opened, Address);
  };
  Link.m_OnMessages = m_Handlers.m_OnMessages;
  Link.m_OnClose = [this](LinkId Closed, const std::string &) {
    m_AddressByLink.erase(Closed);
    m_Handlers.m_OnClose(Closed);
  };
  auto Client = std::make_unique<LinkClient>(m_Io, Address, std::move(Link),
                                             MaxEntryRedialDelay);
  Client->start();
  m_Clients.emplace(Address, std::move(Client));
}

void EntryDirectory::removeIfUnused(const std::string &Address) {
  // The address may have been reassigned to another entry in the meantime.
  for (const auto &[Id, InUse] : m_AddressById)
    if (InUse == Address)
      return;
  m_Clients.erase(Address);
  for (auto Next = m_AddressByLink.begin(); Next != m_AddressByLink.end();) {
    const auto Open = Next++;
    if (Open->second != Address)
      continue;
    const LinkId Closed = Open->first;
    m_AddressByLink.erase(Open);
    m_Handlers.m_OnClose(Closed);
  }
}

void EntryDirectory::send(LinkId Link,
                          const std::vector<LinkMessage> &Messages) {
  const auto Found = m_AddressByLink.find(Link);
  if (Found != m_AddressByLink.end())
    m_Clients.at(Found->second)->send(Link, Messages);
}

void EntryDirectory::close(LinkId Link, std::string Reason) {
  const auto Found = m_AddressByLink.find(Link);
  if (Found != m_AddressByLink.end())
    m_Clients.at(Found->second)->close(Link, std::move(Reason));
}

void EntryDirectory::stop() {
  for (const auto &[Address, Client] : m_Clients)
    Client->stop();
}

} // namespace cyclamencroft
