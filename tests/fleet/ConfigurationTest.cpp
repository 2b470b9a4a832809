#include <boost/test/unit_test.hpp>

#include <random>

#include "marjoramhaven/fleet/FleetJob.h"

using namespace marjoramhaven;

namespace {

QueuePolicy queueAt(const std::string &host, const std::string &prefix)
{
    QueuePolicy out;
    out.name = host + prefix;
    out.host = host;
    out.prefix = prefix;
    return out;
}

// Finds the longest prefix by linear search, as the reference for FleetConfiguration::route().
std::string longestMatch(const std::vector<QueuePolicy> &queues, const std::string &host, const std::string &path)
{
    std::string name;
    std::size_t length = 0;
    for (const auto &it : queues) {
        if (it.host == host && path.starts_with(it.prefix) && it.prefix.size() >= length) {
            name = it.name;
            length = it.prefix.size();
        }
    }
    return name;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Configuration)

BOOST_AUTO_TEST_CASE(longestPrefixOfTheSameHostWins)
{
    FleetConfiguration configuration;
    configuration.add(queueAt("a", "/x/"));
    configuration.add(queueAt("a", "/x/y/"));
    configuration.add(queueAt("b", "/x/y/z/"));
    BOOST_TEST(configuration.route("a", "/x/y/z/1")->prefix == "/x/y/");
    BOOST_TEST(configuration.route("a", "/x/zz")->prefix == "/x/");
    BOOST_TEST((configuration.route("a", "/other") == nullptr));
    BOOST_TEST((configuration.route("c", "/x/") == nullptr));
    BOOST_TEST(configuration.find("a", "/x/")->name == "a/x/");
    BOOST_TEST((configuration.find("a", "/x") == nullptr));
}

BOOST_AUTO_TEST_CASE(addingAQueueAgainReplacesIt)
{
    FleetConfiguration configuration;
    auto queue = queueAt("a", "/x/");
    configuration.add(queue);
    queue.maxAttempts = 7;
    configuration.add(queue);
    BOOST_TEST(configuration.queueCount() == 1U);
    BOOST_TEST(configuration.find("a", "/x/")->maxAttempts == 7);
}

BOOST_AUTO_TEST_CASE(queueIsFoundAgainByItsName)
{
    FleetConfiguration configuration;
    auto moved = queueAt("a", "/x/");
    moved.name = "moved";
    auto other = queueAt("a", "/y/");
    other.name = "other";
    configuration.add(moved);
    configuration.add(other);
    auto earlier = queueAt("a", "/y/");
    earlier.name = "moved";
    BOOST_TEST(configuration.findAgain(earlier)->prefix == "/x/");
    earlier.name = "gone";
    BOOST_TEST((configuration.findAgain(earlier) == nullptr));
    // Of two queues of one name, the one at the same place is meant.
    other.name = "moved";
    other.prefix = "/z/";
    configuration.add(other);
    earlier.name = "moved";
    earlier.prefix = "/x/";
    BOOST_TEST(configuration.findAgain(earlier)->prefix == "/x/");
    // A queue that is replaced at its place is gone.
    earlier.name = "other";
    auto third = queueAt("a", "/y/");
    third.name = "third";
    configuration.add(third);
    BOOST_TEST((configuration.findAgain(earlier) == nullptr));
}

BOOST_AUTO_TEST_CASE(lookupsAgreeWithALinearSearch)
{
    std::mt19937 random(7);
    const auto word = [&random]() {
        std::string out;
        for (unsigned i = 0; i < 1 + random() % 4; ++i) {
            out += static_cast<char>('a' + random() % 3);
        }
        return out;
    };
    FleetConfiguration configuration;
    std::vector<QueuePolicy> plain;
    for (int i = 0; i < 300; ++i) {
        const auto queue = queueAt(random() % 2 == 0 ? "h" : "g", "/" + word() + (random() % 2 == 0 ? "/" + word() : ""));
        configuration.add(queue);
        plain.push_back(queue);
    }
    for (int i = 0; i < 3000; ++i) {
        const auto path = "/" + word() + "/" + word() + "/" + word();
        const auto *found = configuration.route("h", path);
        BOOST_TEST((found == nullptr ? "" : found->name) == longestMatch(plain, "h", path));
    }
}

BOOST_AUTO_TEST_SUITE_END()
