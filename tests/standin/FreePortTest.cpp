#include <boost/test/unit_test.hpp>

#include <QLockFile>

#include "marjoramhaven/standin/FreePort.h"

using namespace marjoramhaven;

BOOST_AUTO_TEST_SUITE(FreePorts)

// Guards against a process that can't start again, because another test program was given its port while it was down.
BOOST_AUTO_TEST_CASE(portThatAnotherProgramHasReservedIsNotReturned)
{
    const int port = freePort();
    BOOST_REQUIRE(port > 0);
    BOOST_TEST(!QLockFile(portLockPath(port)).tryLock());
    QLockFile other(portLockPath(port + 1));
    BOOST_REQUIRE(other.tryLock());
    BOOST_TEST(freePort() != port + 1);
}

BOOST_AUTO_TEST_SUITE_END()
