// Entry point of every test executable.
#define BOOST_TEST_MODULE cyclamencroft
#include <boost/test/unit_test.hpp>
