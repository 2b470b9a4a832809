#include <boost/test/unit_test.hpp>

#include "marjoramhaven/fleetnode/ConfigurationCopyPolicy.h"

using namespace marjoramhaven;

namespace {

constexpr Millis HeartbeatInterval {200};
constexpr int PeerCount = 43;

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationCopy)

// A configuration of a thousand queues changes several times a second while 43 processes read it from the log themselves. Copies would only add load.
BOOST_AUTO_TEST_CASE(processBehindForOneHeartbeatAsksForNoCopy)
{
    ConfigurationCopyPolicy policy;
    auto now = atMillis(1000);
    for (std::int64_t version = 2; version < 40; ++version) {
        for (int peer = 0; peer < PeerCount; ++peer) {
            const auto name = std::to_string(peer);
            BOOST_TEST(!policy.shouldAsk(name, version, version - 1, now));
            BOOST_TEST(!policy.shouldAsk(name, version, version, now));
        }
        now += HeartbeatInterval;
    }
}

// Guards against copies from many peers that fill the link of a process which is behind because its link is slow.
BOOST_AUTO_TEST_CASE(processThatStaysBehindAsksOnePeerAtATime)
{
    ConfigurationCopyPolicy policy;
    constexpr Millis Period {10'000};
    int asked = 0;
    for (auto now = atMillis(0); now < atMillis(Period.count()); now += HeartbeatInterval) {
        for (int peer = 0; peer < PeerCount; ++peer) {
            asked += policy.shouldAsk(std::to_string(peer), 2, 1, now) ? 1 : 0;
        }
    }
    BOOST_TEST(asked >= 2);
    BOOST_TEST(asked <= 4);
}

// A process that can't read the log stays behind and needs the configuration from its peers soon, and from another one when the first does not answer.
BOOST_AUTO_TEST_CASE(processThatStaysBehindAsksWithinASecondAndThenAnotherPeer)
{
    ConfigurationCopyPolicy policy;
    BOOST_TEST(!policy.shouldAsk("a", 2, 1, atMillis(0)));
    BOOST_TEST(policy.shouldAsk("a", 2, 1, atMillis(1000)));
    BOOST_TEST(!policy.shouldAsk("b", 2, 1, atMillis(1200)));
    BOOST_TEST(!policy.shouldAsk("a", 2, 1, atMillis(4100)));
    BOOST_TEST(policy.shouldAsk("b", 2, 1, atMillis(4200)));
    // A copy from a peer whose link was lost will not arrive.
    policy.forget("b");
    BOOST_TEST(policy.shouldAsk("c", 2, 1, atMillis(4400)));
    // A version that arrived ends the wait, and the time behind counts from there.
    BOOST_TEST(!policy.shouldAsk("c", 3, 2, atMillis(4600)));
    BOOST_TEST(policy.shouldAsk("c", 3, 2, atMillis(5500)));
}

BOOST_AUTO_TEST_SUITE_END()
