// Tests the order, cancellation and reuse of timers.
#include "entry/TimerQueue.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;

namespace {

TimePoint at(std::int64_t Microseconds) {
  return TimePoint(Duration(Microseconds));
}

} // namespace

BOOST_AUTO_TEST_SUITE(TimerQueues)

// Guards against timers that fire early, late, twice or after cancellation.
BOOST_AUTO_TEST_CASE(TimersFireInOrderAndNotAfterCancellation) {
  cyclamencroft::TimerQueue Queue;
  std::vector<TimerId> Ids;
  for (std::uint32_t Target = 0; Target < 200; ++Target)
    Ids.push_back(Queue.add(at((Target * 37) % 200), TimerKind::Grace, Target));
  for (std::uint32_t Target = 0; Target < 200; Target += 3)
    Queue.cancel(Ids[Target]);
  std::int64_t Last = -1;
  std::size_t Fired = 0;
  while (const auto Due = Queue.takeDue(at(150))) {
    BOOST_TEST(Due->m_Due.time_since_epoch().count() > Last);
    BOOST_TEST(Due->m_Target % 3 != 0U);
    Last = Due->m_Due.time_since_epoch().count();
    ++Fired;
  }
  BOOST_TEST(Last <= 150);
  BOOST_TEST((Queue.nextDue() > at(150)));
  BOOST_TEST(Queue.size() + Fired == 133U);
}

// Guards against an order of timers with equal due times that differs between
// replays.
BOOST_AUTO_TEST_CASE(EqualTimesFireInOrderOfAddition) {
  cyclamencroft::TimerQueue Queue;
  for (std::uint32_t Target = 0; Target < 20; ++Target)
    Queue.add(at(5), TimerKind::Grace, Target);
  for (std::uint32_t Target = 0; Target < 20; ++Target)
    BOOST_TEST(Queue.takeDue(at(5))->m_Target == Target);
}

BOOST_AUTO_TEST_SUITE_END()
