// Tests the links of a run agent to entries from seeds and announcements.
#include "EntryDirectory.h"

#include "link/LinkServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  boost::asio::io_context m_Io{1};
  LinkServer m_Server{m_Io,
                      "127.0.0.1:0",
                      {[](LinkId) {},
                       [](LinkId, const std::vector<LinkMessage> &) {},
                       [](LinkId, const std::string &) {}}};
  int m_Opened = 0;
  int m_Closed = 0;
  EntryDirectory m_Directory{
      m_Io,
      {[this](LinkId, const std::string &) { ++m_Opened; },
       [](LinkId, const std::vector<LinkMessage> &) {},
       [this](LinkId) { ++m_Closed; }}};

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_Server.port());
  }
  void runUntilOpened(int Links) {
    const TimePoint Limit = RuntimeClock::now() + 5s;
    while (m_Opened < Links && RuntimeClock::now() < Limit)
      m_Io.run_one_for(50ms);
    BOOST_REQUIRE(m_Opened == Links);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryDirectories, Fixture)

// Guards against a second link to an entry that is both a seed and announced.
BOOST_AUTO_TEST_CASE(AnAddressHasOneLink) {
  m_Directory.addSeed("127.0.0.1:1", m_Server.port());
  m_Directory.updateEntry("entry-1", address());
  runUntilOpened(1);
  m_Io.run_for(100ms);
  BOOST_TEST(m_Opened == 1);
}

// Guards against a link that remains open to the old address of a replaced
// host.
BOOST_AUTO_TEST_CASE(ALinkIsClosedWhenItsEntryChangesAddress) {
  m_Directory.updateEntry("entry-1", address());
  runUntilOpened(1);
  m_Directory.updateEntry("entry-1", "127.0.0.1:1");
  BOOST_TEST(m_Closed == 1);
}

// Guards against closing a link when the address of a replaced host has been
// reassigned to another entry.
BOOST_AUTO_TEST_CASE(AnAddressInUseByAnotherEntryIsKept) {
  m_Directory.updateEntry("entry-1", address());
  runUntilOpened(1);
  m_Directory.updateEntry("entry-2", address());
  m_Directory.updateEntry("entry-1", "127.0.0.1:1");
  BOOST_TEST(m_Closed == 0);
}

BOOST_AUTO_TEST_SUITE_END()
