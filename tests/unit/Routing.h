// Fixture of the routing tests: a router with a manual clock.
#pragma once

#include "entry/Router.h"

#include <chrono>
#include <string>
#include <vector>

namespace cyclamencroft {

using namespace std::chrono_literals;

constexpr TimePoint RoutingStart{1h};

inline AgentHello hello(const std::string &Id, std::uint32_t Slots = 8) {
  AgentHello Hello;
  Hello.m_AgentId = Id;
  Hello.m_Service = "permits";
  Hello.m_EndpointAddress = Id + ":80";
  Hello.m_Slots = Slots;
  Hello.m_Connections = 64;
  Hello.m_Size = Size{64, 131072, 0};
  return Hello;
}

/// Fixture: a router, its clock, and the calls that the entry makes.
struct Routing {
  Router m_Router{7};
  RoutingPolicy m_Policy = SharePolicy{};
  TimePoint m_Now = RoutingStart;
  NoRoute m_NoRouteReason = NoRoute::AllBusy;

  AgentIndex add(const std::string &Id, std::uint32_t Slots = 8) {
    return m_Router.addAgent(hello(Id, Slots), m_Now);
  }
  std::vector<AgentIndex> addMany(std::size_t Count) {
    std::vector<AgentIndex> Agents(Count);
    for (std::size_t I = 0; I < Count; ++I)
      Agents[I] = add("w" + std::to_string(I));
    return Agents;
  }
  std::optional<AgentIndex> choose(RouteQuery Query = {"permits", {}, {}}) {
    return m_Router.choose(Query, m_Policy, m_Now, m_NoRouteReason);
  }
  std::optional<AgentIndex> dispatch() {
    const auto Agent = choose();
    if (Agent)
      m_Router.dispatched(*Agent, m_Now);
    return Agent;
  }
  void finish(AgentIndex Agent, Outcome End = Outcome::Completed,
              Duration RunTime = 100ms, std::uint32_t Running = 0) {
    TaskResult Result;
    Result.m_Outcome = End;
    Result.m_HttpStatus = 200;
    Result.m_RunTime = RunTime;
    Result.m_Running = Running;
    m_Router.finished(Agent, Result, m_Now);
  }
  void refuse(AgentIndex Agent, std::uint32_t Running) {
    TaskRefused Refusal;
    Refusal.m_Reason = RefusalReason::NoSlot;
    Refusal.m_Running = Running;
    m_Router.refused(Agent, Refusal, m_Now);
  }
  void failTimes(AgentIndex Agent, int Times) {
    for (int I = 0; I < Times; ++I) {
      m_Router.dispatched(Agent, m_Now);
      finish(Agent, Outcome::Failed);
    }
  }
  std::uint32_t dispatchAll() {
    std::uint32_t Count = 0;
    while (dispatch())
      ++Count;
    return Count;
  }
};

} // namespace cyclamencroft
