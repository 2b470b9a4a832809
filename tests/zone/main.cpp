#define BOOST_TEST_MODULE zone
#include <boost/test/unit_test.hpp>
