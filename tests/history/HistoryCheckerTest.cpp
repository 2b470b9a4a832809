#include <boost/test/unit_test.hpp>

#include "marjoramhaven/history/HistoryChecker.h"

using namespace marjoramhaven;

namespace {

// A history without violations: four requests, a run that has not ended, the announced removal of a worker, and a configuration patch.
History validHistory()
{
    const Resources half(8000, 1024, 0, 1, 0);
    History out;
    out.capacities = {{"w1", Resources(16'000, 32'768, 0, 8, 64)}, {"w2", Resources(16'000, 32'768, 0, 8, 64)}};
    out.runs = {{"a", "w1", half, 100, 200}, {"b", "w1", half, 150, 300}, {"c", "w1", half, 200, 400}, {"job/0", "w2", half, 100, -1}};
    out.calls = {{"a", true, "A", 90, 210, ObservedAnswer::Done, "A", "a"},
                 {"b", false, "B", 140, 310, ObservedAnswer::Done, "B", "b"},
                 {"c", true, "", 190, 410, ObservedAnswer::Unknown, "", "c"},
                 {"d", true, "D", 90, 110, ObservedAnswer::NotRun, "", "d"}};
    out.removalNotices = {{"w2", 1000}};
    out.versions = {{"e1", 1, 0, "x"}, {"e2", 2, 0, "x"}, {"e1", 3, 1, "y"}, {"e2", 4, 1, "y"}};
    return out;
}

bool findsOnlyViolationOf(const History &history, Invariant invariant)
{
    const auto violations = checkHistory(history, CheckerBounds());
    return violations.size() == 1 && violations[0].invariant == invariant;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Checker)

BOOST_AUTO_TEST_CASE(aValidHistoryHasNoViolations)
{
    BOOST_TEST(checkHistory(validHistory(), CheckerBounds()).empty());
}

BOOST_AUTO_TEST_CASE(overcommitmentIsFound)
{
    auto history = validHistory();
    history.runs.push_back({"x", "w1", Resources(1, 1, 0, 1, 0), 160, 170});
    BOOST_TEST(findsOnlyViolationOf(history, Invariant::NoOvercommitment));
}

BOOST_AUTO_TEST_CASE(concurrentRunsOfOneTaskAreFound)
{
    auto history = validHistory();
    history.runs.push_back({"job/0", "w1", Resources(1, 1, 0, 1, 0), 500, 600});
    BOOST_TEST(findsOnlyViolationOf(history, Invariant::OnePlaceAtOnce));
}

BOOST_AUTO_TEST_CASE(swappedTruncatedAndInventedAnswersAreFound)
{
    auto history = validHistory();
    history.calls[0].answerId = "b";
    BOOST_TEST(findsOnlyViolationOf(history, Invariant::WholeOwnAnswer));
    history = validHistory();
    history.calls[0].result = "";
    BOOST_TEST(findsOnlyViolationOf(history, Invariant::WholeOwnAnswer));
    history = validHistory();
    history.calls.push_back({"ghost", true, "", 1, 2, ObservedAnswer::Done, "", "ghost"});
    BOOST_TEST(findsOnlyViolationOf(history, Invariant::WholeOwnAnswer));
}

BOOST_AUTO_TEST_CASE(aRunAfterANotRunAnswerIsFound)
{
    auto history = validHistory();
    history.runs.push_back({"d", "w2", Resources(1, 1, 0, 1, 0), 500, 600});
    BOOST_TEST(findsOnlyViolationOf(history, Invariant::NotRunIsTrue));
    // A later request for the same task with another answer explains the run, so there is no violation.
    history.calls.push_back({"d", true, "D", 450, 700, ObservedAnswer::Done, "D", "d"});
    BOOST_TEST(checkHistory(history, CheckerBounds()).empty());
}

BOOST_AUTO_TEST_CASE(aSecondRunOfATaskThatIsNotRepeatableIsFound)
{
    auto history = validHistory();
    history.runs.push_back({"b", "w2", Resources(1, 1, 0, 1, 0), 300, 400});
    BOOST_TEST(findsOnlyViolationOf(history, Invariant::AtMostOnce));
}

BOOST_AUTO_TEST_CASE(aRunOnAWorkerAfterItsRemovalNoticeIsFound)
{
    auto history = validHistory();
    history.runs.push_back({"late", "w2", Resources(1, 1, 0, 1, 0), 4001, 4100});
    BOOST_TEST(findsOnlyViolationOf(history, Invariant::NoWorkForLeaving));
}

BOOST_AUTO_TEST_CASE(decreasingOrDifferingVersionsAreFound)
{
    auto history = validHistory();
    history.versions.push_back({"e1", 5, 0, "x"});
    BOOST_TEST(findsOnlyViolationOf(history, Invariant::VersionsOnlyRise));
    history = validHistory();
    history.versions.push_back({"e3", 5, 1, "z"});
    BOOST_TEST(findsOnlyViolationOf(history, Invariant::VersionsAgree));
}

BOOST_AUTO_TEST_SUITE_END()
