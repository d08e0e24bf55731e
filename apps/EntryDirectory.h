// Keeps a link to every known entry. Entries are found through the seed hosts
// of the settings and through the announcements in the platform's store.
#pragma once

#include "link/LinkClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace cyclamencroft {

class EntryDirectory {
public:
  struct Handlers {
    std::function<void(LinkId, const std::string &Address)> m_OnOpen;
    std::function<void(LinkId, std::vector<LinkMessage>)> m_OnMessages;
    std::function<void(LinkId)> m_OnClose;
  };

  /// \p Io must be run by one thread. Every method must be called on that
  /// thread or while \p Io is not running.
  EntryDirectory(boost::asio::io_context &Io, Handlers H);

  /// Connects to \p LinkPort on \p Host ("IP:port"; the port is replaced).
  void addSeed(const std::string &Host, std::uint32_t LinkPort);

  /// Sets the address at which the entry \p Id listens; an empty address
  /// removes the entry.
  void updateEntry(const std::string &Id, const std::string &Address);

  void send(LinkId Link, const std::vector<LinkMessage> &Messages);
  void close(LinkId Link, std::string Reason);
  void stop();

private:
  void dial(const std::string &Address);
  /// Closes the link to \p Address unless another entry listens there.
  void removeIfUnused(const std::string &Address);

  boost::asio::io_context &m_Io;
  const Handlers m_Handlers;
  std::map<std::string, std::unique_ptr<LinkClient>> m_Clients;
  std::map<std::string, std::string> m_AddressById;
  std::map<LinkId, std::string> m_AddressByLink;
};

} // namespace cyclamencroft
