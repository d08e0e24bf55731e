// Drives the decision core of an entry with a simulated clock and keeps the
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
  /// starts per second), and presets "ordinary", "hedged", "closed" and
  /// "drained".
  EntryHarness();

  /// An entry without a configuration.
  struct WithoutConfiguration {};
  explicit EntryHarness(WithoutConfiguration);

  void send(const EntryEvent &Event);

  /// Advances the clock and delivers every tick that becomes due.
  void advance(Duration Step);

  /// Advances the clock without ticks, as in a busy daemon.
  void advanceWithoutTicks(Duration Step) { m_Now += Step; }

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

  /// Builds a request for "desk"; the caller's id equals \p Number.
  RequestArrived request(std::uint64_t Number);
  void submit(std::uint64_t Number, bool NonIdempotent = false);
  JobSubmitted job(std::uint64_t Number, std::uint32_t Tasks);
  void submitJob(std::uint64_t Number, std::uint32_t Tasks);

  void finish(LinkId Link, Sequence Number,
              Outcome TaskOutcome = Outcome::Completed);
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

  /// True when a line with this event name is among the commands not taken
  /// yet.
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

/// Fixture for suites in which each case starts with a new entry.
struct EntryFixture {
  EntryHarness m_Entry;
};

} // namespace cyclamencroft
