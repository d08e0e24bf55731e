// Tests the text form of request ids and the paused clock.
#include "core/Ids.h"
#include "core/RuntimeClock.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;

BOOST_AUTO_TEST_SUITE(Core)

// Guards against ids without leading zeros, which don't match in logs.
BOOST_AUTO_TEST_CASE(RequestIdPrintsAllDigits) {
  const RequestId Id{1, 0xab};
  BOOST_TEST(Id.toHex() == "000000000000000100000000000000ab");
}

// Guards against timers that expire early because a paused clock advances.
BOOST_AUTO_TEST_CASE(PausedClockChangesOnlyWhenAdvanced) {
  RuntimeClock::pause();
  const TimePoint Before = RuntimeClock::now();
  RuntimeClock::advance(std::chrono::seconds(2));
  const Duration Elapsed = RuntimeClock::now() - Before;
  RuntimeClock::resume();
  BOOST_TEST(Elapsed.count() == 2000000);
}

BOOST_AUTO_TEST_SUITE_END()
