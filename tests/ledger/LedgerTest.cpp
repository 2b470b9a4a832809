#include <boost/test/unit_test.hpp>

#include "marjoramhaven/ledger/LogAppender.h"
#include "marjoramhaven/ledger/LogRefresher.h"
#include "marjoramhaven/ledger/ReplicatedState.h"
#include "marjoramhaven/standin/LogModel.h"

using namespace marjoramhaven;

namespace {

JobSpec jobSpec(const std::string &id, int tasks)
{
    JobSpec out;
    out.id = id;
    out.team = "a";
    out.urgency = "standard";
    out.tasks = tasks;
    out.resources = Resources(1000, 64, 0, 1, 0);
    return out;
}

// An in-memory log. Appends can be made to have no effect, or to be reported as failed although they took effect.
class FakeLog : public LogService
{
public:
    void append(const std::vector<QJsonObject> &records, AppendDone done) override
    {
        if (takesEffect) {
            model.append(records);
        }
        done(confirmsAppends, atMillis(clock));
    }
    void read(std::int64_t from, Millis /*wait*/, ReadDone done) override { done(model.read(from, 100), atMillis(clock)); }

    LogModel model;
    bool takesEffect = true;
    bool confirmsAppends = true;
    std::int64_t clock = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Ledger)

BOOST_AUTO_TEST_CASE(recordsRoundTripThroughJson)
{
    const std::vector<LogRecord> records {ConfigurationPatch {"p", 3, "op", {}},
                                          JobAccepted {jobSpec("j", 2), "north"},
                                          JobCancelled {"j"},
                                          TaskEnded {"j", 1, TaskOutcome::Failed, "why"},
                                          ClaimMade {"k", "n", "h", 0xfedcba9876543210ULL},
                                          ClaimReleased {"k", "n"},
                                          ClaimSettled {"k", TaskOutcome::Done, "r"}};
    for (const auto &it : records) {
        const auto back = logRecordFromJson(toJson(it));
        BOOST_REQUIRE(back.has_value());
        BOOST_TEST((toJson(*back) == toJson(it)));
    }
    BOOST_TEST(!logRecordFromJson({}).has_value());
}

BOOST_AUTO_TEST_CASE(firstRecordOfAJobAndOfATaskEndTakesEffect)
{
    ReplicatedState state;
    state.apply({0,
                 0,
                 {toJson(JobAccepted {jobSpec("j", 2), "north"}),
                  toJson(JobAccepted {jobSpec("j", 5), "south"}),
                  toJson(TaskEnded {"j", 0, TaskOutcome::Done, "x"}),
                  toJson(TaskEnded {"j", 0, TaskOutcome::Failed, "y"}),
                  toJson(TaskEnded {"j", 7, TaskOutcome::Done, "z"})}});
    const auto job = state.jobs().job("j");
    BOOST_REQUIRE(job.has_value());
    BOOST_TEST(job->spec.tasks == 2);
    BOOST_TEST(job->homeZone == "north");
    BOOST_TEST(job->ended.at(0).result == "x");
    BOOST_TEST(!job->isFinished());
}

BOOST_AUTO_TEST_CASE(batchReadTwiceChangesNothingAndLostRecordsAreCounted)
{
    ReplicatedState state;
    int applied = 0;
    state.setListener([&](const LogRecord &) {
        ++applied;
    });
    const LogBatch batch {0, 0, {toJson(JobCancelled {"j"}), {}, toJson(JobCancelled {"k"})}};
    state.apply(batch);
    state.apply(batch);
    BOOST_TEST(applied == 2);
    BOOST_TEST(state.nextOffset() == 3);
    state.apply({10, 10, {toJson(JobCancelled {"l"})}});
    BOOST_TEST(state.lostRecords() == 7);
    BOOST_TEST(state.nextOffset() == 11);
}

BOOST_AUTO_TEST_CASE(firstClaimStaysInEffectUntilItsHolderReleasesIt)
{
    ClaimTable claims;
    claims.apply(ClaimMade {"k", "a", "e1", 1});
    claims.apply(ClaimMade {"k", "b", "e2", 1});
    claims.apply(ClaimReleased {"k", "b"});
    BOOST_TEST(claims.claim("k")->nonce == "a");
    claims.apply(ClaimReleased {"k", "a"});
    BOOST_TEST(claims.claim("k")->nonce.empty());
    // Duplicates of released claims that appear later in the log have no effect.
    claims.apply(ClaimMade {"k", "a", "e1", 1});
    claims.apply(ClaimMade {"k", "b", "e2", 1});
    BOOST_TEST(claims.claim("k")->nonce.empty());
    claims.apply(ClaimMade {"k", "c", "e1", 1});
    claims.apply(ClaimSettled {"k", TaskOutcome::Done, "r"});
    claims.apply(ClaimReleased {"k", "c"});
    BOOST_TEST(claims.claim("k")->nonce == "c");
}

BOOST_AUTO_TEST_CASE(appendWithLostAnswerIsRetriedWithoutEffectOnTheState)
{
    FakeLog log;
    LogAppender appender(log);
    log.confirmsAppends = false;
    appender.add(JobAccepted {jobSpec("j", 1), "north"});
    appender.tick(atMillis(100));
    BOOST_TEST(appender.isFailing());
    BOOST_TEST(appender.pending() == 1U);
    log.confirmsAppends = true;
    appender.tick(atMillis(120));
    BOOST_TEST(appender.pending() == 1U);
    appender.tick(atMillis(1000));
    BOOST_TEST(appender.pending() == 0U);
    BOOST_TEST(!appender.isFailing());
    ReplicatedState state;
    state.apply(log.model.read(0, 100));
    BOOST_TEST(log.model.next() == 2);
    BOOST_TEST(state.jobs().size() == 1U);
}

BOOST_AUTO_TEST_CASE(readerThatStartsAfterTruncationRebuildsTheLiveState)
{
    FakeLog log;
    LogAppender appender(log);
    ReplicatedState longRunning;
    appender.add(ConfigurationPatch {"p1", 0, "op", {{QLatin1String("packing"), QLatin1String("spread")}}});
    appender.add(ConfigurationPatch {"p2", 1, "op", {{QLatin1String("packing"), QLatin1String("tight")}}});
    appender.add(JobAccepted {jobSpec("open", 2), "north"});
    appender.add(TaskEnded {"open", 1, TaskOutcome::Done, "x"});
    appender.add(JobAccepted {jobSpec("finished", 1), "north"});
    appender.add(TaskEnded {"finished", 0, TaskOutcome::Done, "y"});
    appender.tick(atMillis(100));
    longRunning.apply(log.model.read(0, 100));
    LogRefresher refresher(Millis(1000), atMillis(0));
    BOOST_TEST(!refresher.isDue(atMillis(999)));
    refresher.refresh(longRunning, "north", appender, atMillis(1000));
    // Patch p3 reaches the log before the snapshot, whose writer has not read p3, and retention removes every record before p3.
    log.model.append({toJson(ConfigurationPatch {"p3", 2, "op", {{QLatin1String("packing"), QLatin1String("spread")}}})});
    log.model.truncate(1);
    appender.tick(atMillis(1000));
    ReplicatedState restarted;
    restarted.apply(log.model.read(0, 100));
    longRunning.apply(log.model.read(longRunning.nextOffset(), 100));
    BOOST_TEST(longRunning.configuration().number() == 3);
    // The snapshot lacks p3, yet the new reader ends at the same version as a reader that saw every record, because it applies p3 after the snapshot.
    BOOST_TEST(restarted.configuration().number() == 3);
    BOOST_TEST(restarted.configuration().current().hash == longRunning.configuration().current().hash);
    // A reader that starts at the snapshot can't know of p3, so it must not apply later patches to the snapshot's older version.
    ReplicatedState startedAfterGap;
    log.model.append({toJson(ConfigurationPatch {"p4", 3, "op", {}})});
    auto rest = log.model.read(7, 100);
    startedAfterGap.apply(rest);
    BOOST_TEST(!startedAfterGap.configuration().verdict("p4").has_value());
    longRunning.apply(log.model.read(longRunning.nextOffset(), 100));
    refresher.refresh(longRunning, "north", appender, atMillis(2000));
    appender.tick(atMillis(2000));
    restarted.apply(log.model.read(restarted.nextOffset(), 100));
    BOOST_TEST(restarted.configuration().current().hash == longRunning.configuration().current().hash);
    BOOST_TEST(restarted.jobs().job("open")->ended.at(1).result == "x");
    BOOST_TEST(!restarted.jobs().job("finished").has_value());
    longRunning.apply(log.model.read(longRunning.nextOffset(), 100));
    BOOST_TEST(!longRunning.jobs().job("finished").has_value());
}

BOOST_AUTO_TEST_CASE(queuedRecordsAreSentInOneAppend)
{
    FakeLog log;
    LogAppender appender(log);
    for (int i = 0; i < 300; ++i) {
        appender.add(JobCancelled {std::to_string(i)});
    }
    appender.tick(atMillis(100));
    BOOST_TEST(appender.appendsSent() == 1);
    BOOST_TEST(appender.recordsConfirmed() == 300);
}

BOOST_AUTO_TEST_CASE(invalidSubmissionsAreReportedAsFindings)
{
    const auto findingsFor = [](QJsonObject change) {
        auto object = jobSpec("j", 1).toJson();
        for (auto it = change.begin(); it != change.end(); ++it) {
            object.insert(it.key(), *it);
        }
        Findings findings;
        JobSpec::fromJson(object, findings);
        return findings.toString();
    };
    BOOST_TEST(findingsFor({}) == "");
    BOOST_TEST(findingsFor({{QLatin1String("tasks"), 0}}) != "");
    BOOST_TEST(findingsFor({{QLatin1String("id"), QString(10'000, QLatin1Char('x'))}}) != "");
    BOOST_TEST(findingsFor({{QLatin1String("id"), QLatin1String("a/b")}}) != "");
    BOOST_TEST(findingsFor({{QLatin1String("kind"), QLatin1String("song")}, {QLatin1String("extra"), 1}}).find("/extra") != std::string::npos);
    BOOST_TEST(findingsFor({{QLatin1String("resources"), QJsonObject()}}) == "/resources: must reserve at least one resource");
}

BOOST_AUTO_TEST_SUITE_END()
