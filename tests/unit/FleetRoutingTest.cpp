// Checks on the cores of entries and agents together that a run is executed by
// the endpoint that its entry has chosen, whatever becomes of it meanwhile.
#include "FleetModel.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Priority = 0;

/// Messages that take longer than an agent needs to adopt an endpoint.
constexpr Duration SlowMessage = 40ms;

} // namespace

BOOST_AUTO_TEST_SUITE(FleetRouting)

// Guards against a start that was on its way while its endpoint was replaced,
// and that the new endpoint executes although it lacks the required label.
BOOST_AUTO_TEST_CASE(AStartIsNotExecutedByTheEndpointThatReplacedItsOwn) {
  FleetModel Fleet(2, 2, 8);
  Fleet.replaceEndpoint(0, {"small"});
  Fleet.replaceEndpoint(1, {"small"});
  Fleet.runFor(50ms);
  Fleet.setMessageDelay(SlowMessage);
  for (std::size_t Entry = 0; Entry < 2; ++Entry)
    Fleet.offer(Entry, {4, 1, 60ms, Priority, "small"});
  Fleet.replaceEndpoint(0, {"large"});
  Fleet.runFor(1s);
  BOOST_TEST(Fleet.misroutedStarts() == 0U);
  // Nothing is lost: the other endpoint runs the refused tasks.
  const FleetModel::Outcomes &Jobs = Fleet.outcomes(Priority);
  BOOST_TEST(Jobs.m_OnTime + Jobs.m_Late == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
