// Tests the copy of the configuration that a run agent keeps.
#include "RunnerHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;

namespace {

struct Fixture : RunnerHarness {
  void sendConfig(ConfigVersion Version) {
    feed(MessageReceived{Link, ConfigTransfer{Version, 3, "", "document"}});
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunnerConfig, Fixture)

// Guards against an agent that does not announce a newer configuration to its
// entries.
BOOST_AUTO_TEST_CASE(ANewerCopyIsKeptAndAnnounced) {
  openLink();
  clearCommands();
  sendConfig(7);
  BOOST_REQUIRE(messages<ConfigHeld>().size() == 1U);
  BOOST_TEST(messages<ConfigHeld>()[0].m_Version == 7U);
  sendConfig(9);
  BOOST_TEST(messages<ConfigHeld>().back().m_Version == 9U);
}

// Guards against replacing the copy by an older version.
BOOST_AUTO_TEST_CASE(AnOlderCopyIsNotKept) {
  openLink();
  sendConfig(9);
  sendConfig(7);
  feed(MessageReceived{Link, ConfigRequest{}});
  BOOST_REQUIRE(messages<ConfigTransfer>().size() == 1U);
  BOOST_TEST(messages<ConfigTransfer>()[0].m_Version == 9U);
}

// Guards against an entry that starts during a store outage and is never
// informed that its agents have a copy of the configuration.
BOOST_AUTO_TEST_CASE(ARestartedEntryIsInformedOfTheCopy) {
  openLink();
  sendConfig(7);
  clearCommands();
  openLink(LinkId{8}, Incarnation{71});
  BOOST_REQUIRE(messages<ConfigHeld>().size() == 1U);
  BOOST_TEST(messages<ConfigHeld>()[0].m_Version == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
