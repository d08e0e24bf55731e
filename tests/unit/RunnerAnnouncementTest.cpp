// Tests which announcements of endpoints a run agent believes.
#include "ConnectedRunner.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t PresentStartMs = 1000;
constexpr std::uint64_t LaterStartMs = 9000;

struct AnnouncingRunner : ConnectedRunner {
  AnnouncingRunner() {
    startAndAnswer(runNamed(0));
    clearCommands();
    leaveProbesUnanswered();
  }

  /// Well-formed, started later than the present endpoint, and of no process of
  /// this host.
  EndpointHeartbeat heartbeatOfAnotherWriter() const {
    EndpointHeartbeat Beat = heartbeat(LaterStartMs, 1);
    Beat.m_EndpointIncarnation.m_Id = "endpoint-9";
    Beat.m_View.m_Id = "endpoint-9";
    Beat.m_View.m_Service = "archive";
    Beat.m_Address = "127.0.0.1:99";
    return Beat;
  }

  EndpointHeartbeat heartbeatFromOtherAddress() const {
    EndpointHeartbeat Beat = heartbeat(LaterStartMs, 1);
    Beat.m_Address = "127.0.0.1:99";
    return Beat;
  }

  bool keepsItsEndpoint() const {
    return messages<TaskEnded>().empty() && messages<EndpointReport>().empty();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunnerAnnouncements, AnnouncingRunner)

// Guards against runs that are reported as lost, and started elsewhere, while
// they go on: a later start time in a heartbeat of another writer shows nothing
// about the endpoint (review case 11).
BOOST_AUTO_TEST_CASE(AnAnnouncementThatNoProcessConfirmsEndsNoRuns) {
  for (const CallFault Fault :
       {CallFault::Refused, CallFault::OtherIncarnation, CallFault::Invalid,
        CallFault::NoAnswer, CallFault::NotSent, CallFault::Unhealthy,
        CallFault::None}) {
    BOOST_TEST_CONTEXT("fault " << static_cast<int>(Fault)) {
      AnnouncingRunner Runner;
      Runner.feed(Runner.heartbeatOfAnotherWriter());
      BOOST_REQUIRE(Runner.commands<CallProbe>().size() == 1);
      // Without a fault, another process answers at the address.
      Runner.answerProbe(Fault, LaterStartMs - 1);
      BOOST_TEST(Runner.keepsItsEndpoint());
      // The endpoint's own heartbeats count as before.
      Runner.feed(Runner.heartbeat(PresentStartMs, 2, EndpointState::Draining));
      BOOST_TEST(
          (Runner.core().status().m_Endpoint == EndpointState::Draining));
    }
  }
}

// Guards against an agent that ignores its endpoint for good after another
// writer has announced a later one before it.
BOOST_AUTO_TEST_CASE(AnUnconfirmedAnnouncementHidesNoEndpoint) {
  RunnerHarness Runner;
  Runner.leaveProbesUnanswered();
  Runner.feed(heartbeatOfAnotherWriter());
  Runner.answerProbe(CallFault::NoAnswer);
  Runner.feed(Runner.heartbeat(PresentStartMs, 1));
  Runner.runFor(60ms);
  Runner.answerProbe(CallFault::None, PresentStartMs);
  const auto Holds = Runner.commands<CallHold>();
  BOOST_REQUIRE(!Holds.empty());
  BOOST_TEST(Holds.back().m_Call.m_Endpoint.m_Id == "endpoint-1");
}

// Guards against waiting for leases or heartbeats when the endpoint has really
// started again: nothing of its earlier process is left at the address.
BOOST_AUTO_TEST_CASE(ANextProcessAtTheSameAddressIsTakenUpAtOnce) {
  feed(heartbeat(LaterStartMs, 1));
  BOOST_TEST(keepsItsEndpoint());
  answerProbe(CallFault::None, LaterStartMs);
  BOOST_TEST((onlyEnd().m_End == RunEnd::Lost));
  BOOST_TEST(messages<EndpointReport>().size() == 1U);
}

// Guards against two runs of a task while the earlier process goes on at its
// own address, and against a delay once it is known to be gone.
BOOST_AUTO_TEST_CASE(ANextProcessElsewhereIsTakenUpWhenTheEarlierOneIsGone) {
  feed(heartbeatFromOtherAddress());
  answerProbe(CallFault::None, LaterStartMs);
  BOOST_TEST(keepsItsEndpoint());
  failHold(CallFault::Refused);
  BOOST_TEST((onlyEnd().m_End == RunEnd::Lost));
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Clearing));
}

// Guards against giving up an endpoint that answers for one that has been
// announced beside it.
BOOST_AUTO_TEST_CASE(AnEndpointThatStillAnswersIsKept) {
  feed(heartbeatFromOtherAddress());
  answerProbe(CallFault::None, LaterStartMs);
  answerHold({runNamed(0)});
  BOOST_TEST(keepsItsEndpoint());
  failHold(CallFault::Refused);
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Absent));
}

// Guards against calls to an address where nothing listens, which would show
// the endpoint and its runs as lost, and against other work for its slots.
BOOST_AUTO_TEST_CASE(AHeartbeatWithTheNameOfTheEndpointChangesNoIdentity) {
  EndpointHeartbeat Elsewhere = heartbeat(PresentStartMs, 2);
  Elsewhere.m_Address = "127.0.0.1:99";
  EndpointHeartbeat OtherService = heartbeat(PresentStartMs, 2);
  OtherService.m_View.m_Service = "archive";
  for (const EndpointHeartbeat &Each : {Elsewhere, OtherService}) {
    feed(Each);
    BOOST_TEST(keepsItsEndpoint());
  }
  // Its sequence number was not taken over.
  feed(heartbeat(PresentStartMs, 2, EndpointState::Draining));
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Draining));
  answerHold({runNamed(0)});
  BOOST_TEST(commands<CallHold>().back().m_Call.m_Address == "127.0.0.1:9");
}

// Guards against probing an address without end, or without a pause.
BOOST_AUTO_TEST_CASE(AnUnansweredProbeIsRepeatedWhileTheAnnouncementIsFresh) {
  RunnerHarness Runner;
  Runner.leaveProbesUnanswered();
  Runner.feed(heartbeatOfAnotherWriter());
  const TimePoint AnnouncedAt = Runner.now();
  std::size_t Answered = 0;
  while (Runner.core().nextWakeup() != TimePoint::max()) {
    BOOST_REQUIRE(Runner.now() < AnnouncedAt + 10s);
    while (Answered < Runner.commands<CallProbe>().size()) {
      ++Answered;
      Runner.answerProbe(CallFault::NoAnswer);
    }
    Runner.runFor(10ms);
  }
  // 5 s, once each 50 ms.
  BOOST_TEST(Answered <= 101U);
  BOOST_TEST(Answered >= 70U);
}

BOOST_AUTO_TEST_SUITE_END()
