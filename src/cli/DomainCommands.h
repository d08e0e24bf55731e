// Commands that evacuate and restore failure domains.
#pragma once

#include "store/TopicStore.h"

#include <functional>
#include <optional>
#include <string>

namespace CLI {
class App;
}

namespace cyclamencroft {

struct CommandSink;

/// How a platform's store holds the operators' requests.
struct OperatorStore {
  std::function<TopicStore(const std::string &Address)> m_Open;
  std::string m_Topic;
  std::function<std::string(const std::string &Domain)> m_EncodeKey;
  /// Domain whose evacuation a record with this key requests; nothing for other
  /// keys.
  std::function<std::optional<std::string>(const std::string &Key)> m_DomainOf;
};

/// Adds domain evacuate, restore and show.
void addDomainCommands(CLI::App &App, CommandSink &Sink,
                       const OperatorStore &Store);

} // namespace cyclamencroft
