// Text record of a session: every message and decision, one line each.
#pragma once

#include "core/Messages.h"
#include "entry/EntryEvents.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cyclamencroft::session {

class Transcript {
public:
  /// Sets the name that stands for a request in later lines.
  void nameRequest(const RequestId &Request, std::string Name);

  /// Adds the line "TIME NODE TEXT".
  void add(Duration Now, const std::string &Node, const std::string &Text);

  void message(Duration Now, const std::string &From, const std::string &To,
               const LinkMessage &Message);
  void decision(Duration Now, const std::string &Node,
                const LogDecision &Decision);

  std::string nameOf(const RequestId &Request) const;
  const std::vector<std::string> &lines() const { return m_Lines; }
  std::string text() const;

private:
  std::string describe(const LinkMessage &Message) const;

  std::map<RequestId, std::string> m_Names;
  std::vector<std::string> m_Lines;
};

/// Milliseconds with three decimals, such as "1.500ms".
std::string formatTime(Duration Value);

/// Type name of a message, as in the "duplicate" command of scripts.
std::string messageTypeName(const LinkMessage &Message);

} // namespace cyclamencroft::session
