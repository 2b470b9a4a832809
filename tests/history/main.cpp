#define BOOST_TEST_MODULE history
#include <boost/test/unit_test.hpp>
