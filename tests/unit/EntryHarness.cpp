// Events and configuration shared by the tests of the entry.
#include "EntryHarness.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

EntryOptions options() {
  EntryOptions Options;
  Options.m_EntryId = "entry-quimper-1";
  Options.m_Incarnation = Incarnation{77};
  Options.m_FailureDomain = "quimper";
  return Options;
}

} // namespace

EntryHarness::EntryHarness() : m_Core(options()) { adopt(1); }

EntryHarness::EntryHarness(WithoutConfiguration) : m_Core(options()) {}

void EntryHarness::send(const EntryEvent &Event) {
  m_Core.handle(m_Now, Event, m_Commands);
}

void EntryHarness::advance(Duration Step) {
  const TimePoint End = m_Now + Step;
  while (m_Core.nextWakeup() <= End) {
    m_Now = std::max(m_Now, m_Core.nextWakeup());
    send(Tick{});
  }
  m_Now = End;
}

void EntryHarness::adopt(ConfigVersion Version, const std::string &Preset) {
  send(ConfigAdopted{makeConfig(Version, Preset)});
}

ConfigStatePtr EntryHarness::makeConfig(ConfigVersion Version,
                                        const std::string &PresetName) {
  ConfigState State;
  State.m_Version = Version;
  State.m_PresetName = PresetName;
  State.m_Document = "document " + std::to_string(Version);
  Configuration &Config = State.m_Configuration;
  Config.m_Services["desk"] = ServiceConfig();
  Config.m_Teams["quay"] = TeamConfig();
  Config.m_Teams["depot"].m_StartsPerSecond = 10;
  Config.m_Presets["ordinary"].m_QueueLimit = 1000;
  Config.m_Presets["hedged"].m_Hedging = true;
  Config.m_Presets["closed"].m_AdmitsWork = false;
  Config.m_Presets["drained"].m_DrainedFailureDomains = {"brest"};
  return std::make_shared<const ConfigState>(std::move(State));
}

AgentHello EntryHarness::hello(const std::string &AgentId,
                               std::uint32_t Slots) {
  AgentHello Hello;
  Hello.m_AgentId = AgentId;
  Hello.m_Incarnation = Incarnation{5};
  Hello.m_WindowId = 1;
  Hello.m_Service = "desk";
  Hello.m_FailureDomain = "brest";
  Hello.m_EndpointAddress = "127.0.0.1:" + AgentId;
  Hello.m_Slots = Slots;
  Hello.m_Connections = Slots;
  Hello.m_Size = Size{wholeCores(16), 32768, 0};
  return Hello;
}

LinkId EntryHarness::connect(const std::string &AgentId, std::uint32_t Slots) {
  return connect(hello(AgentId, Slots));
}

LinkId EntryHarness::connect(const AgentHello &Hello) {
  const LinkId Link{m_NextLink++};
  send(AgentConnected{Link, Hello});
  return Link;
}

LinkId EntryHarness::connectPeer(const std::string &EntryId,
                                 ConfigVersion Version) {
  const LinkId Link{m_NextLink++};
  EntryHello Hello;
  Hello.m_EntryId = EntryId;
  Hello.m_ConfigVersion = Version;
  send(PeerConnected{Link, Hello});
  return Link;
}

void EntryHarness::receive(LinkId Link, LinkMessage Message) {
  send(MessageReceived{Link, std::move(Message)});
}

RequestArrived EntryHarness::request(std::uint64_t Number) {
  RequestArrived Event;
  Event.m_Caller = CallerId{Number};
  Event.m_Request = RequestId{1, Number};
  Event.m_Service = "desk";
  Event.m_Body = makePayload("request " + std::to_string(Number));
  return Event;
}

void EntryHarness::submit(std::uint64_t Number, bool NonIdempotent) {
  RequestArrived Event = request(Number);
  Event.m_NonIdempotent = NonIdempotent;
  send(Event);
}

JobSubmitted EntryHarness::job(std::uint64_t Number, std::uint32_t Tasks) {
  JobSubmitted Event;
  Event.m_Caller = CallerId{Number};
  Event.m_Request = RequestId{1, Number};
  Event.m_Service = "desk";
  for (std::uint32_t Index = 0; Index < Tasks; ++Index)
    Event.m_Tasks.push_back(makePayload("task " + std::to_string(Index)));
  return Event;
}

void EntryHarness::submitJob(std::uint64_t Number, std::uint32_t Tasks) {
  send(job(Number, Tasks));
}

void EntryHarness::finish(LinkId Link, Sequence Number, Outcome TaskOutcome) {
  TaskResult Result;
  Result.m_Sequence = Number;
  Result.m_Outcome = TaskOutcome;
  Result.m_HttpStatus = TaskOutcome == Outcome::Completed ? 200 : 500;
  Result.m_RunTime = std::chrono::milliseconds(100);
  Result.m_Body = makePayload("answer " + std::to_string(Number));
  receive(Link, Result);
}

void EntryHarness::refuse(LinkId Link, Sequence Number, RefusalReason Reason) {
  receive(Link, TaskRefused{Number, Reason, 0});
}

bool EntryHarness::logged(std::string_view Event) const {
  return std::any_of(m_Commands.begin(), m_Commands.end(),
                     [&](const EntryCommand &Each) {
                       const auto *Line = std::get_if<LogDecision>(&Each);
                       return Line && Line->m_Event == Event;
                     });
}

} // namespace cyclamencroft
