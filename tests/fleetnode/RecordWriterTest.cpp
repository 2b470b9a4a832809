#include <boost/test/unit_test.hpp>

#include "MemoryLog.h"
#include "marjoramhaven/fleetnode/RecordWriter.h"
#include "support/Events.h"

using namespace marjoramhaven;
using namespace marjoramhaven::test;

namespace {

constexpr Millis Budget {3000};

struct StoreRequest {
    std::optional<SubmitResult> answer;
    TimePoint submittedAt = monotonicNow();
    TimePoint answeredAt {};

    void store(RecordWriter &writer, const std::string &key)
    {
        writer.store({key, std::string("v"), 0}, submittedAt + Budget, [this](const SubmitResult &it) {
            answer = it;
            answeredAt = monotonicNow();
        });
    }
    bool waitForAnswer()
    {
        return waitFor(
            [this]() {
                return answer.has_value();
            },
            static_cast<int>(Budget.count()) + 500);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Writer)

// Clients submit jobs while the log is down. A record that was never sent must not be reported as unknown, since clients can't retry it then.
BOOST_AUTO_TEST_CASE(recordThatWasNeverSentIsRefusedSoonAndNotStored)
{
    MemoryLog log;
    RecordWriter writer(log, StateTopic::Jobs);
    writer.setLogReachable(false, monotonicNow());
    log.isUnresponsive = true;
    StoreRequest first;
    first.store(writer, "job/1");
    BOOST_REQUIRE(first.waitForAnswer());
    BOOST_TEST((first.answer->outcome == SubmitOutcome::Refused));
    BOOST_TEST((first.answeredAt - first.submittedAt).count() < 600);
    BOOST_TEST(first.answer->retryAfter.count() > 0);
    log.isUnresponsive = false;
    writer.setLogReachable(true, monotonicNow());
    StoreRequest second;
    second.store(writer, "job/2");
    BOOST_REQUIRE(second.waitForAnswer());
    BOOST_TEST((second.answer->outcome == SubmitOutcome::Accepted));
    BOOST_TEST(log.end(StateTopic::Jobs) == 1);
}

// One connection breaks, and the log answers again at once.
BOOST_AUTO_TEST_CASE(shortOutageRefusesNoRecord)
{
    MemoryLog log;
    RecordWriter writer(log, StateTopic::Jobs);
    writer.setLogReachable(false, monotonicNow());
    StoreRequest request;
    request.store(writer, "job/1");
    QTimer::singleShot(100, &writer, [&writer]() {
        writer.setLogReachable(true, monotonicNow());
    });
    BOOST_REQUIRE(request.waitForAnswer());
    BOOST_TEST((request.answer->outcome == SubmitOutcome::Accepted));
}

// The log stops answering while an append is in flight, so that the append may be stored or not.
BOOST_AUTO_TEST_CASE(recordThatMayBeStoredIsNeverRefused)
{
    MemoryLog log;
    log.isUnresponsive = true;
    RecordWriter writer(log, StateTopic::Jobs);
    StoreRequest request;
    request.store(writer, "job/1");
    waitFor(
        []() {
            return false;
        },
        200);
    writer.setLogReachable(false, monotonicNow());
    StoreRequest late;
    late.store(writer, "job/2");
    BOOST_REQUIRE(request.waitForAnswer());
    BOOST_TEST((request.answer->outcome == SubmitOutcome::Unknown));
    BOOST_TEST((late.answer->outcome == SubmitOutcome::Refused));
}

// The log resets connections: some appends can't be sent, others may be stored. One that could not be sent does not show that the log answers again.
BOOST_AUTO_TEST_CASE(nothingNewIsSentToALogThatIsKnownToBeUnreachable)
{
    MemoryLog log;
    RecordWriter writer(log, StateTopic::Jobs);
    log.isUnreachable = true;
    StoreRequest first;
    first.store(writer, "job/1");
    writer.setLogReachable(false, monotonicNow());
    waitFor(
        []() {
            return false;
        },
        100);
    log.isUnreachable = false;
    log.isUnresponsive = true;
    StoreRequest second;
    second.store(writer, "job/2");
    BOOST_REQUIRE(first.waitForAnswer());
    BOOST_REQUIRE(second.waitForAnswer());
    BOOST_TEST((first.answer->outcome == SubmitOutcome::Refused));
    BOOST_TEST((second.answer->outcome == SubmitOutcome::Refused));
    BOOST_TEST((second.answeredAt - second.submittedAt).count() < 600);
}

// One topic gets no answers while the log answers reads of others, which this process reports all the time.
BOOST_AUTO_TEST_CASE(answersAboutOtherTopicsDoNotCloseTheBreaker)
{
    MemoryLog log;
    log.isUnresponsive = true;
    RecordWriter writer(log, StateTopic::Jobs);
    StoreRequest first;
    first.store(writer, "job/1");
    BOOST_REQUIRE(first.waitForAnswer());
    BOOST_TEST((first.answer->outcome == SubmitOutcome::Unknown));
    writer.setLogReachable(true, monotonicNow());
    StoreRequest second;
    second.store(writer, "job/2");
    BOOST_REQUIRE(second.waitForAnswer());
    BOOST_TEST((second.answer->outcome == SubmitOutcome::Refused));
    log.isUnresponsive = false;
    waitFor(
        []() {
            return false;
        },
        1400);
    StoreRequest third;
    third.store(writer, "job/3");
    BOOST_REQUIRE(third.waitForAnswer());
    BOOST_TEST((third.answer->outcome == SubmitOutcome::Accepted));
}

// Another process reports that its appends get no answers.
BOOST_AUTO_TEST_CASE(recordsWaitForAProbeAfterAnotherProcessFoundTheLogUnresponsive)
{
    MemoryLog log;
    RecordWriter writer(log, StateTopic::Jobs);
    writer.suspectLog(monotonicNow());
    StoreRequest answered;
    answered.store(writer, "job/1");
    BOOST_REQUIRE(answered.waitForAnswer());
    BOOST_TEST((answered.answer->outcome == SubmitOutcome::Accepted));
    MemoryLog down;
    down.isUnresponsive = true;
    RecordWriter other(down, StateTopic::Jobs);
    other.suspectLog(monotonicNow());
    StoreRequest refused;
    refused.store(other, "job/1");
    BOOST_REQUIRE(refused.waitForAnswer());
    BOOST_TEST((refused.answer->outcome == SubmitOutcome::Refused));
    BOOST_TEST((refused.answeredAt - refused.submittedAt).count() < 600);
}

// The log rejects appends and reads. Clients are refused soon instead of waiting until their deadlines.
BOOST_AUTO_TEST_CASE(recordIsRefusedSoonWhenTheLogRejectsAppends)
{
    MemoryLog log;
    log.isRefusing = true;
    RecordWriter writer(log, StateTopic::Jobs);
    StoreRequest request;
    request.store(writer, "job/1");
    waitFor(
        []() {
            return false;
        },
        50);
    writer.setLogReachable(false, monotonicNow());
    BOOST_REQUIRE(request.waitForAnswer());
    BOOST_TEST((request.answer->outcome == SubmitOutcome::Refused));
    BOOST_TEST((request.answeredAt - request.submittedAt).count() < 900);
}

// Guards against valid records that are refused because the log can't take another record of the same append.
BOOST_AUTO_TEST_CASE(invalidRecordIsRefusedAndTheOthersOfItsAppendAreStored)
{
    MemoryLog log;
    log.invalidKey = "job/bad";
    RecordWriter writer(log, StateTopic::Jobs);
    // The first two appends hold one record each; the records that come meanwhile share the third.
    std::vector<StoreRequest> requests(6);
    const std::vector<std::string> keys {"job/1", "job/2", "job/3", "job/bad", "job/4", "job/5"};
    for (std::size_t i = 0; i < keys.size(); ++i) {
        requests[i].store(writer, keys[i]);
    }
    for (std::size_t i = 0; i < keys.size(); ++i) {
        BOOST_REQUIRE(requests[i].waitForAnswer());
        const auto expected = keys[i] == log.invalidKey ? SubmitOutcome::Refused : SubmitOutcome::Accepted;
        BOOST_TEST((requests[i].answer->outcome == expected), keys[i]);
    }
    BOOST_TEST(log.end(StateTopic::Jobs) == 5);
}

BOOST_AUTO_TEST_SUITE_END()
