// Tests that an exception in a handler does not end the daemons.
#include "EventLoop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <stdexcept>

using namespace cyclamencroft;

BOOST_AUTO_TEST_SUITE(EventLoops)

// Guards against one unexpected message that takes down the process and all
// jobs that it holds.
BOOST_AUTO_TEST_CASE(HandlersAfterOneThatThrowsAreCalled) {
  boost::asio::io_context Io{1};
  int Called = 0;
  boost::asio::post(Io, [] { throw std::runtime_error("unexpected"); });
  boost::asio::post(Io, [&] { ++Called; });
  runEventLoop(Io, "test");
  BOOST_TEST(Called == 1);
}

BOOST_AUTO_TEST_SUITE_END()
