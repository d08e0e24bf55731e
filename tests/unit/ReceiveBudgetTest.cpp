// Choice of the requests that are refused when the memory for all of them runs
// short.
#include "http/ReceiveBudget.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

struct Fixture : ReceiveBudget {
  Fixture() : ReceiveBudget(1000) {}

  /// Bytes that each connection holds; their numbers serve as addresses.
  std::vector<Connection> receive(std::uintptr_t Number, std::size_t Bytes,
                                  bool Complete = false) {
    return ReceiveBudget::receive(idOf(Number), m_Now += 1ms, Bytes, Complete);
  }
  static Connection idOf(std::uintptr_t Number) {
    return reinterpret_cast<Connection>(Number); // NOLINT
  }

  TimePoint m_Now{1h};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReceiveBudgets, Fixture)

// Guards against a large request that is refused although nothing else arrives,
// and against memory that stays counted.
BOOST_AUTO_TEST_CASE(ASingleRequestMayTakeTheWholeBudget) {
  BOOST_TEST(receive(1, 400).empty());
  BOOST_TEST(receive(1, 1000).empty());
  release(idOf(1));
  BOOST_TEST(bytes() == 0U);
}

// Guards against ordinary callers who pay for those that hold much and make no
// progress.
BOOST_AUTO_TEST_CASE(TheLargestAndOldestRequestsAreRefusedFirst) {
  BOOST_TEST(receive(1, 300).empty());
  BOOST_TEST(receive(2, 300).empty());
  m_Now += 1s;
  BOOST_TEST(receive(3, 300).empty());
  const auto Refused = receive(4, 150);
  BOOST_TEST((Refused == std::vector<Connection>{idOf(1)}));
  BOOST_TEST(bytes() == 750U);
}

// Guards against a request that is answered twice: one that is being handled
// can't be refused, and still counts.
BOOST_AUTO_TEST_CASE(CompleteRequestsAreNotRefused) {
  BOOST_TEST(receive(1, 900, true).empty());
  const auto Refused = receive(2, 200);
  BOOST_TEST((Refused == std::vector<Connection>{idOf(2)}));
  BOOST_TEST(receive(3, 150, true).empty());
  BOOST_TEST(bytes() == 1050U);
}

BOOST_AUTO_TEST_SUITE_END()
