#include <boost/test/unit_test.hpp>

#include "marjoramhaven/fleetnode/ConfigurationState.h"

using namespace marjoramhaven;

namespace {

constexpr Millis ApplyWithin {4000};

FleetConfiguration configurationOf(std::int64_t version)
{
    FleetConfiguration out;
    out.version = version;
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationStates)

// Guards against an older version that comes back into force, from a slow peer or a late read.
BOOST_AUTO_TEST_CASE(olderVersionIsNotApplied)
{
    ConfigurationState state(ApplyWithin);
    BOOST_TEST(state.apply(configurationOf(5), "five", "log"));
    BOOST_TEST(!state.apply(configurationOf(4), "four", "peer"));
    BOOST_TEST(!state.apply(configurationOf(5), "other five", "peer"));
    BOOST_TEST(state.version() == 5);
    BOOST_TEST(state.text() == "five");
    BOOST_TEST(state.source() == "log");
}

// Guards against answers that rely on a configuration of which nobody knows whether it is still the newest.
BOOST_AUTO_TEST_CASE(proofExpiresAfterTheTimeToComeIntoForce)
{
    ConfigurationState state(ApplyWithin);
    BOOST_TEST(!state.isProven(atMillis(0)));
    state.noteProof(atMillis(1000));
    BOOST_TEST(!state.isProven(atMillis(1000)));
    state.apply(configurationOf(5), {}, "log");
    BOOST_TEST(state.isProven(atMillis(5000)));
    BOOST_TEST(!state.isProven(atMillis(5001)));
    // A proof that arrives late does not replace a newer one.
    state.noteProof(atMillis(3000));
    state.noteProof(atMillis(2000));
    BOOST_TEST(state.proofAge(atMillis(5000))->count() == 2000);
    BOOST_TEST(!state.isOutdated(atMillis(60'000)));
}

// Guards against submissions under a configuration that is known to have been replaced.
BOOST_AUTO_TEST_CASE(newerVersionOfAPeerMakesTheOneInForceUnprovenAndThenOutdated)
{
    ConfigurationState state(ApplyWithin);
    state.apply(configurationOf(5), {}, "log");
    state.noteProof(atMillis(1000));
    state.noteVersionOfPeer(5, atMillis(1000));
    BOOST_TEST(state.isProven(atMillis(1000)));
    state.noteVersionOfPeer(7, atMillis(1000));
    state.noteVersionOfPeer(7, atMillis(2000));
    BOOST_TEST(!state.isProven(atMillis(1000)));
    BOOST_TEST(!state.isOutdated(atMillis(5000)));
    BOOST_TEST(state.isOutdated(atMillis(5001)));
    // Quick changes: the time counts for each version, however long one has followed another.
    state.noteVersionOfPeer(8, atMillis(4900));
    state.apply(configurationOf(7), {}, "log");
    BOOST_TEST(!state.isOutdated(atMillis(8900)));
    BOOST_TEST(state.isOutdated(atMillis(8901)));
    state.apply(configurationOf(8), {}, "log");
    BOOST_TEST(!state.isOutdated(atMillis(9000)));
    BOOST_TEST(state.isProven(atMillis(2000)));
}

BOOST_AUTO_TEST_SUITE_END()
