#include <boost/test/unit_test.hpp>

#include <cstdlib>

#include "Soak.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

// A number from the environment, or a fallback.
std::int64_t numberFrom(const char *name, std::int64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoll(text, nullptr, 10);
}

// Seeds that failed once.
constexpr std::uint64_t FailedOnce[] = {
    // Four processes could not start while a build replaced the program; the soak runs a copy of it since.
    130,
};

void play(std::uint64_t seed, Millis faultsFor)
{
    SoakSetting setting;
    setting.seed = seed;
    setting.faultsFor = faultsFor;
    Soak soak(setting);
    const auto broken = soak.run();
    BOOST_TEST_MESSAGE("seed " << seed << ": " << soak.accepted() << " jobs accepted, " << soak.begins() << " runs, " << soak.injected().size() << " faults");
    BOOST_TEST(broken.empty());
    BOOST_TEST(soak.accepted() > 0);
    if (broken.empty()) {
        return;
    }
    soak.keepLogs();
    BOOST_TEST_MESSAGE("seed " << seed << " broke promises; logs in " << soak.folder().toStdString());
    for (const auto &it : broken) {
        BOOST_TEST_MESSAGE("  " << it);
    }
    for (const auto &it : soak.injected()) {
        BOOST_TEST_MESSAGE("  " << it);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Soaks)

// SOAK_FIRST, SOAK_COUNT and SOAK_SECONDS choose other seeds and longer runs; each run's faults come in the same order for the same seed.
BOOST_AUTO_TEST_CASE(everyPromiseHoldsUnderOverlappingFaults)
{
    const auto first = numberFrom("SOAK_FIRST", 1);
    const auto count = numberFrom("SOAK_COUNT", 2);
    const Millis faultsFor(numberFrom("SOAK_SECONDS", 8) * 1000);
    for (std::int64_t i = 0; i < count; ++i) {
        play(static_cast<std::uint64_t>(first + i), faultsFor);
    }
}

BOOST_AUTO_TEST_CASE(seedsThatFailedOnceHold)
{
    for (const auto seed : FailedOnce) {
        play(seed, Millis(8000));
    }
}

BOOST_AUTO_TEST_SUITE_END()
