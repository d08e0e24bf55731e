// Text forms that logs and answers rely on.
#include "core/Ids.h"
#include "core/RuntimeClock.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;

BOOST_AUTO_TEST_SUITE(Core)

// Guards against ids that lose leading zeros and then fail to match in logs.
BOOST_AUTO_TEST_CASE(RequestIdPrintsAllDigits) {
  const RequestId Id{1, 0xab};
  BOOST_TEST(Id.toHex() == "000000000000000100000000000000ab");
}

// Guards against timers that fire early because a paused clock moves.
BOOST_AUTO_TEST_CASE(PausedClockMovesOnlyWhenAdvanced) {
  RuntimeClock::pause();
  const TimePoint Before = RuntimeClock::now();
  RuntimeClock::advance(std::chrono::seconds(2));
  const Duration Moved = RuntimeClock::now() - Before;
  RuntimeClock::resume();
  BOOST_TEST(Moved.count() == 2000000);
}

BOOST_AUTO_TEST_SUITE_END()
