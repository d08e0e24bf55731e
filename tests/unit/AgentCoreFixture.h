// Test fixture that passes events to an agent's core and filters its commands.
#pragma once

#include "agent/AgentCore.h"

#include <boost/test/unit_test.hpp>

#include <utility>
#include <vector>

namespace cyclamencroft {

constexpr Duration Millisecond = std::chrono::milliseconds(1);
constexpr Duration Second = std::chrono::seconds(1);

inline std::ostream &operator<<(std::ostream &Out, RefusalReason Reason) {
  return Out << toString(Reason);
}

class AgentCoreFixture {
public:
  static AgentOptions options() {
    AgentOptions Options;
    Options.m_AgentId = "agent-a";
    Options.m_Incarnation = Incarnation{77};
    Options.m_FailureDomain = "quimper";
    Options.m_Entries = 2;
    return Options;
  }

  /// Handles one event and keeps only the commands of this event.
  void feed(const AgentEvent &Event) {
    m_Commands.clear();
    m_Core.handle(m_Now, Event, m_Commands);
  }

  template <class T> std::vector<T> commands() const {
    std::vector<T> Found;
    for (const AgentCommand &Command : m_Commands)
      if (const T *One = std::get_if<T>(&Command))
        Found.push_back(*One);
    return Found;
  }

  template <class T> std::vector<T> sent(LinkId Link) const {
    std::vector<T> Found;
    for (const SendMessage &Send : commands<SendMessage>())
      if (const T *One = std::get_if<T>(&Send.m_Message))
        if (Send.m_Link == Link)
          Found.push_back(*One);
    return Found;
  }
  template <class T> std::vector<T> sent() const { return sent<T>(m_Link); }

  void advance(Duration Step) { m_Now += Step; }
  /// Advances the time and renews the endpoint's announcement.
  void renewAfter(Duration Step) {
    advance(Step);
    announce();
  }

  void announce() {
    feed(EndpointAnnounced{m_Service, m_Address, m_Slots, m_Connections,
                           m_Size});
  }
  void receive(LinkMessage Message) {
    feed(MessageReceived{m_Link, std::move(Message)});
  }
  void openLink(LinkId Link, std::uint32_t Entry = 0) {
    m_Link = Link;
    feed(EntryLinkOpened{Entry, Link});
  }
  void receiveEntryHello(std::uint64_t EntryIncarnation) {
    EntryHello Hello;
    Hello.m_EntryId = "entry-a";
    Hello.m_Incarnation = Incarnation{EntryIncarnation};
    Hello.m_SentAt = m_Now + m_ClockOffset;
    receive(Hello);
  }
  /// Announces the endpoint and connects one entry.
  void connect() {
    announce();
    openLink(LinkId{1});
    receiveEntryHello(1);
  }
  /// Connects the entry on a new link, by default with the same incarnation.
  void reconnect(LinkId Link, std::uint64_t EntryIncarnation = 1) {
    openLink(Link);
    receiveEntryHello(EntryIncarnation);
  }

  Dispatch dispatchOf(Sequence Number, RequestId Request = {1, 1}) const {
    Dispatch Message;
    Message.m_Sequence = Number;
    Message.m_Floor = m_Floor;
    Message.m_Request = Request;
    Message.m_SentAt = m_Now + m_ClockOffset;
    Message.m_TimeLeft = m_TimeLeft;
    Message.m_Body = makePayload("body");
    return Message;
  }
  void dispatch(Sequence Number, RequestId Request = {1, 1}) {
    receive(dispatchOf(Number, Request));
  }
  /// Dispatches a task and returns its run; fails when none was started.
  RunId start(Sequence Number, RequestId Request = {1, 1}) {
    dispatch(Number, Request);
    const auto Started = commands<StartRun>();
    BOOST_REQUIRE_EQUAL(Started.size(), 1U);
    return Started[0].m_Run;
  }
  void end(RunId Run, Outcome RunOutcome = Outcome::Completed) {
    feed(RunEnded{Run, RunOutcome, 200, makePayload("answer")});
  }
  void allowQueue(std::uint32_t Length, ConfigVersion Version = 1) {
    receive(ConfigView{Version, "ordinary", Length, {}});
  }
  SequenceState reconcile(Sequence Number) {
    receive(Reconcile{{Number}});
    const auto Replies = sent<ReconcileReply>();
    BOOST_REQUIRE_EQUAL(Replies.size(), 1U);
    return Replies[0].m_Reports.at(0).m_State;
  }
  RefusalReason refusal() const {
    const auto Refused = sent<TaskRefused>();
    return Refused.empty() ? RefusalReason::None : Refused[0].m_Reason;
  }
  std::size_t starts() const { return commands<StartRun>().size(); }

  TimePoint m_Now{std::chrono::seconds(1000)};
  LinkId m_Link{};
  std::string m_Service = "permits";
  std::string m_Address = "127.0.0.1:7000";
  std::uint32_t m_Slots = 2;
  std::uint32_t m_Connections = 4;
  Size m_Size{4, 4096, 0};
  Sequence m_Floor = 1;
  Duration m_TimeLeft = 10 * Second;
  /// The entry's clock minus the agent's.
  Duration m_ClockOffset = -500 * Second;
  AgentCore m_Core{options()};

private:
  std::vector<AgentCommand> m_Commands;
};

} // namespace cyclamencroft
