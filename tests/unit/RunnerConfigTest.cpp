// The copy of the configuration that a run agent keeps.
#include "RunnerHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;

namespace {

struct Fixture : RunnerHarness {
  void give(ConfigVersion Version) {
    feed(MessageReceived{Link, ConfigTransfer{Version, 3, "", "document"}});
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunnerConfig, Fixture)

// Guards against entries that don't learn of a change from an agent.
BOOST_AUTO_TEST_CASE(ANewerCopyIsKeptAndTold) {
  openLink();
  take();
  give(7);
  BOOST_REQUIRE(messages<ConfigHeld>().size() == 1U);
  BOOST_TEST(messages<ConfigHeld>()[0].m_Version == 7U);
  give(9);
  BOOST_TEST(messages<ConfigHeld>().back().m_Version == 9U);
}

// Guards against a copy that goes back to an older version.
BOOST_AUTO_TEST_CASE(AnOlderCopyIsNotKept) {
  openLink();
  give(9);
  give(7);
  feed(MessageReceived{Link, ConfigRequest{}});
  BOOST_REQUIRE(messages<ConfigTransfer>().size() == 1U);
  BOOST_TEST(messages<ConfigTransfer>()[0].m_Version == 9U);
}

// Guards against an entry that starts while the store is away and never hears
// that its agents know the configuration.
BOOST_AUTO_TEST_CASE(ARestartedEntryIsToldOfTheCopy) {
  openLink();
  give(7);
  take();
  openLink(LinkId{8}, Incarnation{71});
  BOOST_REQUIRE(messages<ConfigHeld>().size() == 1U);
  BOOST_TEST(messages<ConfigHeld>()[0].m_Version == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
