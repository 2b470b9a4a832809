#include <boost/test/unit_test.hpp>

#include "marjoramhaven/standin/WorkerModel.h"

using namespace marjoramhaven;

namespace {

StartRequest startRequestFor(const std::string &task, std::int64_t session, std::int64_t clock, int cpu = 1000)
{
    StartRequest out;
    out.session = session;
    out.attempt = {task, 1};
    out.reservation = Resources(cpu, 1, 0, 1, 0);
    out.notAfter = clock + 100;
    out.leaseUntil = clock + 1000;
    out.work = {{QLatin1String("run_ms"), 500}};
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Worker)

BOOST_AUTO_TEST_CASE(onlyNewestSessionStartsAndRenews)
{
    WorkerModel worker("w", Resources(2000, 10, 0, 8, 8));
    const auto first = worker.open("e1", 0).session;
    const auto second = worker.open("e2", 0).session;
    BOOST_TEST((worker.start(startRequestFor("a", first, 0), 0).report.state == AttemptState::Closed));
    BOOST_TEST(!worker.renew({first, 5000, {}, Millis(0)}, 0));
    BOOST_TEST((worker.start(startRequestFor("b", second, 0), 0).report.state == AttemptState::Running));
    // A refused attempt stays closed in later sessions too.
    BOOST_TEST((worker.start(startRequestFor("a", second, 0), 0).report.state == AttemptState::Closed));
}

BOOST_AUTO_TEST_CASE(lateAndOversizedStartsAreRefusedAndRepeatedStartsRunOnce)
{
    WorkerModel worker("w", Resources(2000, 10, 0, 8, 8));
    const auto session = worker.open("e1", 0).session;
    BOOST_TEST(worker.start(startRequestFor("late", session, 0), 101).reason == "too late");
    BOOST_TEST(worker.start(startRequestFor("large", session, 200, 2001), 200).reason == "no room");
    worker.start(startRequestFor("a", session, 200), 200);
    BOOST_TEST((worker.start(startRequestFor("a", session, 200), 210).report.state == AttemptState::Running));
    BOOST_TEST(worker.runningCount() == 1);
}

BOOST_AUTO_TEST_CASE(lapsedLeaseEndsAttemptAndEndIsReportedOncePerSession)
{
    WorkerModel worker("w", Resources(2000, 10, 0, 8, 8));
    auto session = worker.open("e1", 0).session;
    auto request = startRequestFor("a", session, 0);
    request.leaseUntil = 300;
    worker.start(request, 0);
    worker.advance(301);
    BOOST_TEST(worker.runningCount() == 0);
    auto response = worker.takeUnreportedEnds(session, 310);
    BOOST_REQUIRE_EQUAL(response.ended.size(), 1U);
    BOOST_TEST((response.ended[0].outcome == TaskOutcome::Stopped));
    BOOST_TEST(worker.takeUnreportedEnds(session, 320).ended.empty());
    const auto reopened = worker.open("e2", 330);
    BOOST_TEST(reopened.attempts.size() == 1U);
    worker.renew({reopened.session, 9000, {{"a", 1}}, Millis(0)}, 340);
    BOOST_TEST(worker.open("e3", 350).attempts.empty());
}

BOOST_AUTO_TEST_CASE(closedAttemptNeverStarts)
{
    WorkerModel worker("w", Resources(2000, 10, 0, 8, 8));
    const auto session = worker.open("e1", 0).session;
    BOOST_TEST((worker.close({"a", 1}, 0).state == AttemptState::Closed));
    BOOST_TEST((worker.start(startRequestFor("a", session, 0), 0).report.state == AttemptState::Closed));
    BOOST_TEST(worker.runningCount() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
