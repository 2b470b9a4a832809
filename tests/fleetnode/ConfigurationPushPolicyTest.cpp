#include <boost/test/unit_test.hpp>

#include "marjoramhaven/fleetnode/ConfigurationPushPolicy.h"

using namespace marjoramhaven;

BOOST_AUTO_TEST_SUITE(ConfigurationPush)

// A configuration of a thousand queues changes several times a second while 43 processes read it from the log themselves. Sending copies would only add load.
BOOST_AUTO_TEST_CASE(peerBehindForOneHeartbeatIsNotSentTheConfiguration)
{
    ConfigurationPushPolicy policy;
    for (std::int64_t version = 2; version < 40; ++version) {
        for (int peer = 0; peer < 43; ++peer) {
            const auto name = std::to_string(peer);
            BOOST_TEST(!policy.shouldSend(name, version - 1, version, peer == 0));
            BOOST_TEST(!policy.shouldSend(name, version, version, peer == 0));
        }
    }
}

// A process that can't read the log stays behind and needs the configuration from its peers.
BOOST_AUTO_TEST_CASE(peerThatStaysBehindIsSentTheConfigurationSoonerOnPlannerLinks)
{
    ConfigurationPushPolicy policy;
    BOOST_TEST(!policy.shouldSend("planner", 1, 2, true));
    BOOST_TEST(policy.shouldSend("planner", 1, 2, true));
    BOOST_TEST(!policy.shouldSend("planner", 1, 2, true));
    BOOST_TEST(!policy.shouldSend("other", 1, 2, false));
    BOOST_TEST(!policy.shouldSend("other", 1, 2, false));
    BOOST_TEST(policy.shouldSend("other", 1, 2, false));
    // The count of a peer starts again after its link was lost.
    BOOST_TEST(!policy.shouldSend("lost", 1, 2, true));
    policy.forget("lost");
    BOOST_TEST(!policy.shouldSend("lost", 1, 2, true));
}

BOOST_AUTO_TEST_SUITE_END()
