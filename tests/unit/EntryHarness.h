// Drives the decision core of an entry with a clock of its own and keeps the
// commands until a test takes them.
#pragma once

#include "entry/EntryCore.h"

#include <string>
#include <utility>
#include <vector>

namespace cyclamencroft {

class EntryHarness {
public:
  /// An entry with service "desk", teams "quay" (no quota) and "depot" (10
  /// starts a second), and presets "ordinary", "hedged" and "closed".
  EntryHarness();

  /// An entry without a configuration.
  struct Bare {};
  explicit EntryHarness(Bare);

  void send(const EntryEvent &Event);

  /// Moves time forward and delivers every tick that falls due.
  void advance(Duration Step);

  /// Moves time forward without ticks, as a busy daemon does.
  void skip(Duration Step) { m_Now += Step; }

  /// Adopts a version of the test configuration with \p Preset in effect.
  void adopt(ConfigVersion Version, const std::string &Preset = "ordinary");
  static ConfigStatePtr makeConfig(ConfigVersion Version,
                                   const std::string &PresetName);

  /// Connects an agent of service "desk" over a new link.
  LinkId connect(const std::string &AgentId, std::uint32_t Slots = 1);
  LinkId connect(const AgentHello &Hello);
  static AgentHello hello(const std::string &AgentId, std::uint32_t Slots = 1);
  LinkId connectPeer(const std::string &EntryId, ConfigVersion Version);
  void close(LinkId Link) { send(LinkClosed{Link}); }
  void receive(LinkId Link, LinkMessage Message);

  /// Sends a request to "desk"; its caller's id is the same number.
  RequestArrived request(std::uint64_t Number);
  void submit(std::uint64_t Number, bool NonIdempotent = false);
  JobSubmitted job(std::uint64_t Number, std::uint32_t Tasks);
  void submitJob(std::uint64_t Number, std::uint32_t Tasks);

  void finish(LinkId Link, Sequence Number, Outcome How = Outcome::Completed);
  void refuse(LinkId Link, Sequence Number,
              RefusalReason Reason = RefusalReason::NoSlot);

  /// Commands of a kind since the last call, in order.
  template <class T> std::vector<T> take() {
    std::vector<T> Taken;
    std::vector<EntryCommand> Rest;
    for (EntryCommand &Each : m_Commands)
      if (T *Match = std::get_if<T>(&Each))
        Taken.push_back(std::move(*Match));
      else
        Rest.push_back(std::move(Each));
    m_Commands = std::move(Rest);
    return Taken;
  }

  /// Messages of a kind sent on a link since the last call, in order.
  template <class T> std::vector<T> sent(LinkId Link) {
    std::vector<T> Taken;
    std::vector<EntryCommand> Rest;
    for (EntryCommand &Each : m_Commands) {
      SendMessage *Sent = std::get_if<SendMessage>(&Each);
      T *Match = Sent && Sent->m_Link == Link ? std::get_if<T>(&Sent->m_Message)
                                              : nullptr;
      if (Match)
        Taken.push_back(std::move(*Match));
      else
        Rest.push_back(std::move(Each));
    }
    m_Commands = std::move(Rest);
    return Taken;
  }

  std::vector<Dispatch> dispatches(LinkId Link) { return sent<Dispatch>(Link); }

  /// True when a line with this event name was logged since the last take.
  bool logged(std::string_view Event) const;

  EntryStatus status() const { return m_Core.status(); }
  std::vector<AgentReport> agents() const { return m_Core.agents(); }
  TimePoint now() const { return m_Now; }

private:
  EntryCore m_Core;
  TimePoint m_Now{std::chrono::seconds(1000)};
  std::vector<EntryCommand> m_Commands;
  std::uint64_t m_NextLink = 1;
};

/// Fixture of suites that start with a fresh entry.
struct EntryCase {
  EntryHarness m_Entry;
};

} // namespace cyclamencroft
