// Copies of the configuration that agents keep for entries.
#include "JobHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t FirstAgent = 1;
constexpr std::uint64_t SecondAgent = 2;
constexpr std::uint64_t ThirdAgent = 3;

struct Fixture : JobHarness {
  void adopt(ConfigVersion Version) {
    feed(ConfigInForce{Version, Version, "document"});
  }
  void sendFromAgent(std::uint64_t Agent, LinkMessage Message) {
    feed(MessageReceived{LinkId{Agent}, std::move(Message)});
  }
  /// Runs until the wanted number of copies has been sent.
  void runUntilCopiesSent() {
    for (int Step = 0; Step < 5; ++Step) {
      runFor(500ms);
      for (const std::uint64_t Agent : {FirstAgent, SecondAgent, ThirdAgent})
        reportLoad(Agent);
    }
  }
  std::size_t copiesSentTo(std::uint64_t Agent) const {
    return messagesTo<ConfigTransfer>(Agent).size();
  }
  std::size_t requestsTo(std::uint64_t Agent) const {
    return messagesTo<ConfigRequest>(Agent).size();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(JobConfigCopies, Fixture)

// Guards against a configuration that is lost with the only host that held it.
BOOST_AUTO_TEST_CASE(TwoAgentsOfTheOwnFailureDomainGetACopy) {
  connectAgent(FirstAgent);
  connectAgent(SecondAgent);
  connectAgent(ThirdAgent);
  adopt(7);
  runUntilCopiesSent();
  BOOST_TEST(copiesSentTo(FirstAgent) == 1U);
  BOOST_TEST(copiesSentTo(SecondAgent) == 1U);
  BOOST_TEST(copiesSentTo(ThirdAgent) == 0U);
}

// Guards against traffic between failure domains for each change.
BOOST_AUTO_TEST_CASE(AgentsOfOtherFailureDomainsGetNone) {
  m_FailureDomain = "brest";
  connectAgent(FirstAgent);
  adopt(7);
  runUntilCopiesSent();
  BOOST_TEST(copiesSentTo(FirstAgent) == 0U);
}

// Guards against a large document that each entry of a domain sends to the same
// agents over slow links.
BOOST_AUTO_TEST_CASE(NoCopyIsSentThatAnotherEntryHasSent) {
  connectAgent(FirstAgent);
  connectAgent(SecondAgent);
  adopt(7);
  sendFromAgent(FirstAgent, ConfigHeld{7});
  sendFromAgent(SecondAgent, ConfigHeld{7});
  runUntilCopiesSent();
  BOOST_TEST(copiesSentTo(FirstAgent) == 0U);
  BOOST_TEST(copiesSentTo(SecondAgent) == 0U);
}

// Guards against a number of copies that shrinks with each lost agent.
BOOST_AUTO_TEST_CASE(AnotherAgentGetsACopyWhenOneIsLost) {
  connectAgent(FirstAgent);
  connectAgent(SecondAgent);
  connectAgent(ThirdAgent);
  adopt(7);
  runUntilCopiesSent();
  feed(LinkClosed{LinkId{FirstAgent}});
  runUntilCopiesSent();
  BOOST_TEST(copiesSentTo(ThirdAgent) == 1U);
}

// Guards against an entry that refuses all jobs until the store is back,
// although its agents hold the configuration, and against queues that were
// withdrawn and are in use again after a restart, because the first agent to
// connect has missed the change.
BOOST_AUTO_TEST_CASE(AnEntryWithoutConfigurationTakesTheNewestCopy) {
  connectAgent(FirstAgent);
  sendFromAgent(FirstAgent, ConfigHeld{7});
  advance(150ms);
  connectAgent(SecondAgent);
  sendFromAgent(SecondAgent, ConfigHeld{9});
  runFor(150ms);
  BOOST_TEST(requestsTo(FirstAgent) == 0U);
  BOOST_TEST(requestsTo(SecondAgent) == 1U);
  sendFromAgent(SecondAgent, ConfigTransfer{9, 4, "", "nine"});
  const auto Received = commands<ConfigReceived>();
  BOOST_REQUIRE(Received.size() == 1U);
  BOOST_TEST(Received[0].m_Document == "nine");
}

// Guards against an entry that keeps an older copy when the newest one is
// reported later.
BOOST_AUTO_TEST_CASE(ANewerCopyReplacesOneThatWasTaken) {
  connectAgent(FirstAgent);
  connectAgent(SecondAgent);
  sendFromAgent(FirstAgent, ConfigHeld{7});
  runFor(300ms);
  BOOST_TEST(requestsTo(FirstAgent) == 1U);
  sendFromAgent(FirstAgent, ConfigTransfer{7, 3, "", "seven"});
  adopt(7);
  sendFromAgent(SecondAgent, ConfigHeld{9});
  runFor(300ms);
  BOOST_TEST(requestsTo(SecondAgent) == 1U);
  sendFromAgent(SecondAgent, ConfigTransfer{9, 4, "", "nine"});
  BOOST_TEST(commands<ConfigReceived>().size() == 2U);
}

// Guards against a change that never reaches an entry whose requests the store
// refuses, and against a return to an older version.
BOOST_AUTO_TEST_CASE(OnlyNewerCopiesAreRequestedAndApplied) {
  connectAgent(FirstAgent);
  adopt(7);
  sendFromAgent(FirstAgent, ConfigHeld{7});
  BOOST_TEST(requestsTo(FirstAgent) == 0U);
  sendFromAgent(FirstAgent, ConfigHeld{8});
  // The entry first waits for the store to deliver the change.
  BOOST_TEST(requestsTo(FirstAgent) == 0U);
  runFor(300ms);
  BOOST_TEST(requestsTo(FirstAgent) == 1U);
  adopt(9);
  sendFromAgent(FirstAgent, ConfigTransfer{8, 3, "", "eight"});
  BOOST_TEST(commands<ConfigReceived>().empty());
}

// Guards against a copy that is lost in transit and never requested again.
BOOST_AUTO_TEST_CASE(ACopyRequestIsRepeatedAfterATimeout) {
  connectAgent(FirstAgent);
  sendFromAgent(FirstAgent, ConfigHeld{7});
  runFor(600ms);
  BOOST_TEST(requestsTo(FirstAgent) == 2U);
}

// Guards against endless requests for a copy that can't be read.
BOOST_AUTO_TEST_CASE(ACopyIsRequestedOnceFromOneAgent) {
  connectAgent(FirstAgent);
  sendFromAgent(FirstAgent, ConfigHeld{7});
  runFor(300ms);
  sendFromAgent(FirstAgent, ConfigTransfer{7, 3, "", "can't be read"});
  runFor(1s);
  BOOST_TEST(requestsTo(FirstAgent) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
