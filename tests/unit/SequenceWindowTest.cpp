// Bounds of the state that an agent keeps for an entry's dispatches.
#include "agent/SequenceWindow.h"
#include "agent/DelayEstimate.h"
#include "agent/RetainedResults.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;

BOOST_AUTO_TEST_SUITE(SequenceWindows)

// Guards against a ring buffer that loses or confuses sequences when its index
// wraps around.
BOOST_AUTO_TEST_CASE(EverySequenceIsAdmittedOnceAcrossWraparounds) {
  SequenceWindow Window;
  for (Sequence Number = 1; Number <= 5000; ++Number) {
    Window.raiseFloor(Number > 700 ? Number - 700 : 1);
    BOOST_REQUIRE((Window.admit(Number) == Admission::Admitted));
    BOOST_REQUIRE((Window.admit(Number) == Admission::Repeated));
    if (Number > 700)
      BOOST_REQUIRE((Window.admit(Number - 700) == Admission::Repeated));
  }
}

// Guards against an admission outside the window, whose state would alias that
// of another sequence.
BOOST_AUTO_TEST_CASE(NothingIsAdmittedOutsideTheWindow) {
  SequenceWindow Window;
  BOOST_TEST((Window.admit(0) == Admission::BelowFloor));
  BOOST_TEST((Window.admit(1024) == Admission::Admitted));
  BOOST_TEST((Window.admit(1025) == Admission::BeyondWindow));
  Window.raiseFloor(1024);
  BOOST_TEST((Window.stateOf(1024) == DispatchState::Waiting));
  Window.raiseFloor(1000);
  BOOST_TEST((Window.admit(1023) == Admission::BelowFloor));
  Window.raiseFloor(10000);
  BOOST_TEST((Window.admit(11000) == Admission::Admitted));
}

// Guards against retained results that exceed the node's memory budget.
BOOST_AUTO_TEST_CASE(RetainedResultsAreBoundedInBytes) {
  RetainedResults Results;
  TaskResult Result;
  Result.m_Body = makePayload(std::string(std::size_t{256} * 1024, 'x'));
  for (Sequence Number = 1; Number <= 33; ++Number) {
    Result.m_Sequence = Number;
    Results.store(Result);
  }
  BOOST_TEST(!Results.find(1));
  BOOST_TEST(Results.find(2));
  Results.dropBelow(33);
  BOOST_TEST(!Results.find(32));
  BOOST_TEST(Results.find(33));
}

// Guards against clock drift that is counted as delay, and against a drift
// allowance that hides a freeze.
BOOST_AUTO_TEST_CASE(DelayIsExcessOverSmallestOffset) {
  using namespace std::chrono;
  const TimePoint Start{hours(5)};
  DelayEstimate Delay;
  BOOST_TEST(Delay.excessDelay(Start, TimePoint(seconds(9))).count() == 0);
  const Duration Frozen =
      Delay.excessDelay(Start + seconds(3), TimePoint(seconds(10)));
  BOOST_TEST(Frozen.count() == 1999700);
  const Duration Drifted = Delay.excessDelay(
      Start + seconds(1003), TimePoint(seconds(1012) - milliseconds(50)));
  BOOST_TEST(Drifted.count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
