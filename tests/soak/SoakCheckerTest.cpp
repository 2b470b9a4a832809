#include <boost/test/unit_test.hpp>

#include "SoakChecker.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

// A checker that observes a task of one job on the workers of a platform.
struct Observation {
    Observation() { checker.job(task.job).steps = {1}; }

    void start(const std::string &worker, std::int64_t attempt) { checker.handleRunEvent({RunEvent::Kind::Started, worker, task, attempt, RunEnd::Done, now}); }
    void end(const std::string &worker, std::int64_t attempt, RunEnd end) { checker.handleRunEvent({RunEvent::Kind::Ended, worker, task, attempt, end, now}); }
    void acknowledge(const std::string &worker, std::int64_t attempt, bool hasLeaseExpired)
    {
        checker.handleAcknowledgement({worker, task, attempt, RunEnd::Done, now, hasLeaseExpired});
    }
    std::size_t violationCount() const { return checker.violations().size(); }

    const FleetTaskId task {"0000000000000001", 0, 0, 0};
    const TimePoint now = monotonicNow();
    WireStandIn platform {2};
    SoakChecker checker {platform};
};

} // namespace

BOOST_AUTO_TEST_SUITE(Checker)

// Guards against a second run that passes because its task's worker restarted after the end of the first was acknowledged.
BOOST_AUTO_TEST_CASE(startAfterAnAcknowledgedEndIsAViolationWhateverHappensToItsWorkerLater)
{
    Observation it;
    it.start("i-0", 1);
    it.end("i-0", 1, RunEnd::Done);
    it.acknowledge("i-0", 1, false);
    it.checker.workerRestarted("i-0", it.now);
    BOOST_TEST(it.violationCount() == 0);
    it.start("i-1", 2);
    BOOST_TEST(it.violationCount() == 1);
}

// Guards against a second run that passes because the first end is acknowledged only after it.
BOOST_AUTO_TEST_CASE(startBeforeTheAcknowledgementOfAnEarlierEndIsAViolation)
{
    Observation it;
    it.start("i-0", 1);
    it.end("i-0", 1, RunEnd::Done);
    it.checker.workerRestarted("i-0", it.now);
    it.start("i-1", 2);
    BOOST_TEST(it.violationCount() == 0);
    it.acknowledge("i-0", 1, false);
    BOOST_TEST(it.violationCount() == 1);
}

BOOST_AUTO_TEST_CASE(endThatIsAcknowledgedAfterALapseOfTheLeaseAllowsAnotherRun)
{
    Observation it;
    it.start("i-0", 1);
    it.end("i-0", 1, RunEnd::Done);
    it.checker.workerRestarted("i-0", it.now);
    it.acknowledge("i-0", 1, true);
    it.start("i-1", 2);
    BOOST_TEST(it.violationCount() == 0);
}

// Guards against an overlap that passes because another run on the same worker has ended.
BOOST_AUTO_TEST_CASE(eachRunOnOneWorkerCountsUntilItsOwnEnd)
{
    Observation it;
    it.start("i-0", 1);
    it.start("i-0", 2);
    BOOST_TEST(it.violationCount() == 1);
    it.end("i-0", 1, RunEnd::Stopped);
    it.start("i-1", 3);
    BOOST_TEST(it.violationCount() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
