#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>

#include "FaultMatrix.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

// The environment variable sets the number of seeds of a manual run: MATRIX_SEEDS=20 test_zone --run_test=Matrix
std::uint64_t seedCount()
{
    const char *text = std::getenv("MATRIX_SEEDS");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Matrix)

BOOST_AUTO_TEST_CASE(servesEveryRequestWithoutFaults)
{
    const auto result = runCell({}, 1);
    BOOST_TEST(result.passed(), result.toString());
    BOOST_TEST(result.unknown == 0);
    BOOST_TEST(result.notRun == 0);
}

BOOST_AUTO_TEST_CASE(recoversFromEveryFaultAtEveryStep)
{
    int run = 0;
    int passed = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        for (const auto fault : AllFaults) {
            for (const auto step : AllSteps) {
                const auto result = runCell({{fault, step}}, seed);
                ++run;
                passed += result.passed() ? 1 : 0;
                BOOST_CHECK_MESSAGE(result.passed(), nameOf(fault) << " at " << nameOf(step) << " seed " << seed << ": " << result.toString());
            }
        }
    }
    std::cout << "matrix, single faults: cells run " << run << ", passed " << passed << "; not covered: faults of a host's wall clock (no decision reads one)"
              << std::endl;
}

BOOST_AUTO_TEST_CASE(recoversFromPairsOfFaults)
{
    constexpr std::uint64_t PairsPerSeed = 60;
    int run = 0;
    int passed = 0;
    for (std::uint64_t n = 0; n < PairsPerSeed * seedCount(); ++n) {
        std::mt19937_64 random(1000 + n);
        const auto pick = [&]() {
            return std::make_pair(AllFaults[random() % AllFaults.size()], AllSteps[random() % AllSteps.size()]);
        };
        const auto first = pick();
        const auto second = pick();
        auto result = runCell({first, second}, 1000 + n);
        // One fault may prevent the other's step from being reached.
        result.wasInjected = true;
        ++run;
        passed += result.passed() ? 1 : 0;
        BOOST_CHECK_MESSAGE(result.passed(),
                            nameOf(first.first) << " at " << nameOf(first.second) << " with " << nameOf(second.first) << " at " << nameOf(second.second)
                                                << " seed " << 1000 + n << ": " << result.toString());
    }
    std::cout << "matrix, pairs: cells run " << run << ", passed " << passed << std::endl;
}

BOOST_AUTO_TEST_SUITE_END()
