#define BOOST_TEST_MODULE soak
#define BOOST_TEST_NO_MAIN
#include <QCoreApplication>
#include <boost/test/unit_test.hpp>

#include "marjoramhaven/telemetry/Log.h"

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    marjoramhaven::setUpLogging("off");
    return boost::unit_test::unit_test_main(init_unit_test, argc, argv);
}
