// Tests the bounds of the retry budget.
#include "entry/RetryBudget.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

int takeAllRetries(RetryBudget &Budget, TimePoint Now) {
  int Count = 0;
  while (Budget.tryRetry(Now))
    ++Count;
  return Count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgets)

// Guards against a retry storm after the loss of a failure domain: retries are
// at most a tenth of the requests.
BOOST_AUTO_TEST_CASE(RetriesAreAShareOfRequests) {
  RetryBudget Budget;
  takeAllRetries(Budget, Start);
  for (int I = 0; I < 1000; ++I)
    Budget.requestArrived(10, Start);
  BOOST_TEST(takeAllRetries(Budget, Start) == 100);
}

// Guards against a service with few requests that can never retry.
BOOST_AUTO_TEST_CASE(TimeAddsASmallMinimum) {
  RetryBudget Budget;
  takeAllRetries(Budget, Start);
  BOOST_TEST(!Budget.tryRetry(Start + 300ms));
  BOOST_TEST(Budget.tryRetry(Start + 334ms));
  BOOST_TEST(takeAllRetries(Budget, Start + 1h) == 10);
}

// Guards against a balance that grows without bound, for example over a day,
// and then allows a retry storm.
BOOST_AUTO_TEST_CASE(BalanceIsBounded) {
  RetryBudget Budget;
  for (int I = 0; I < 1000000; ++I)
    Budget.requestArrived(10, Start);
  BOOST_TEST(takeAllRetries(Budget, Start) == 1000);
}

// Guards against fractions of a retry that are lost when calls are more
// frequent than the minimum rate adds hundredths.
BOOST_AUTO_TEST_CASE(FrequentCallsDoNotLoseTheMinimum) {
  RetryBudget Budget;
  takeAllRetries(Budget, Start);
  int Count = 0;
  for (Duration At = 0s; At < 10s; At += 1ms)
    Count += Budget.tryRetry(Start + At) ? 1 : 0;
  BOOST_TEST(Count == 29);
}

BOOST_AUTO_TEST_SUITE_END()
