#include <boost/test/unit_test.hpp>

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/base/Resources.h"

using namespace marjoramhaven;

BOOST_AUTO_TEST_SUITE(Base)

BOOST_AUTO_TEST_CASE(resourcesFitOnlyWhenEveryDimensionFits)
{
    const Resources worker(16'000, 32'768, 0, 8, 64);
    BOOST_TEST(Resources(16'000, 32'768, 0, 8, 64).fitsIn(worker));
    BOOST_TEST(!Resources(1, 1, 1, 1, 1).fitsIn(worker));
    BOOST_TEST(Resources(8000, 1024, 0, 1, 0).dominantShareOf(worker) == 0.5);
}

BOOST_AUTO_TEST_CASE(everyInvalidMemberOfResourcesIsReported)
{
    Findings findings;
    Resources::fromJson(*parseJsonObject(R"({"cpu_milli": -1, "memory_mib": 1.5, "gpus": 1})"), "/resources", findings);
    BOOST_REQUIRE_EQUAL(findings.items().size(), 3U);
    BOOST_TEST(findings.items()[0].location.pointer == "/resources/cpu_milli");
    BOOST_TEST(findings.items()[2].message == "is not a known key");
}

BOOST_AUTO_TEST_CASE(resourcesRoundTripThroughJson)
{
    Findings findings;
    const Resources before(1500, 512, 2, 1, 3);
    BOOST_TEST((Resources::fromJson(before.toJson(), "", findings) == before));
    BOOST_TEST(findings.isEmpty());
}

BOOST_AUTO_TEST_CASE(invalidJsonSetsTheLastReason)
{
    BOOST_TEST(!parseJsonObject("[1]").has_value());
    BOOST_TEST(lastReason() == "expected a JSON object, but the document holds another JSON type");
    BOOST_TEST(!parseJsonObject("{\"a\":").has_value());
    BOOST_TEST(lastReason().find("not JSON") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
