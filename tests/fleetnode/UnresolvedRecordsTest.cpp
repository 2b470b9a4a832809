#include <boost/test/unit_test.hpp>

#include "marjoramhaven/fleetnode/UnresolvedRecords.h"

using namespace marjoramhaven;

namespace {

constexpr Millis RetryTime {60'000};
constexpr Millis LongAfter {600'000};

SubmitOutcome attempt(UnresolvedRecords &records, const std::string &key, SubmitOutcome outcome, TimePoint now)
{
    records.begin(key);
    return records.end(key, outcome, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Unresolved)

// Guards against a refusal that hides what an earlier attempt left unknown, also after a further refusal.
BOOST_AUTO_TEST_CASE(refusalIsReportedAsUnknownAfterAnUnknownAttempt)
{
    UnresolvedRecords records;
    const auto now = atMillis(1000);
    BOOST_TEST((attempt(records, "a", SubmitOutcome::Refused, now) == SubmitOutcome::Refused));
    BOOST_TEST((attempt(records, "a", SubmitOutcome::Unknown, now) == SubmitOutcome::Unknown));
    BOOST_TEST((attempt(records, "a", SubmitOutcome::Refused, now) == SubmitOutcome::Unknown));
    BOOST_TEST((attempt(records, "a", SubmitOutcome::Refused, now + RetryTime) == SubmitOutcome::Unknown));
    BOOST_TEST((attempt(records, "b", SubmitOutcome::Refused, now) == SubmitOutcome::Refused));
    BOOST_TEST((attempt(records, "a", SubmitOutcome::Accepted, now) == SubmitOutcome::Accepted));
}

// Guards against a refusal while another attempt for the same record may still store it.
BOOST_AUTO_TEST_CASE(refusalIsReportedAsUnknownWhileAnotherAttemptIsUnderWay)
{
    UnresolvedRecords records;
    const auto now = atMillis(1000);
    records.begin("a");
    records.begin("a");
    BOOST_TEST((records.end("a", SubmitOutcome::Refused, now) == SubmitOutcome::Unknown));
    BOOST_TEST((records.end("a", SubmitOutcome::Refused, now) == SubmitOutcome::Refused));
    BOOST_TEST(!records.mayBeStored("a", now));
}

// Guards against memory that grows in a long outage, and against a process that never refuses again after one.
BOOST_AUTO_TEST_CASE(unknownRecordsAreForgottenAfterAWhile)
{
    UnresolvedRecords records;
    const auto now = atMillis(1000);
    attempt(records, "a", SubmitOutcome::Unknown, now);
    attempt(records, "a", SubmitOutcome::Unknown, now + RetryTime);
    // The later attempt counts.
    BOOST_TEST(records.mayBeStored("a", now + RetryTime * 2 + Millis(1000)));
    BOOST_TEST(!records.mayBeStored("a", now + LongAfter));
    BOOST_TEST((attempt(records, "a", SubmitOutcome::Refused, now + LongAfter) == SubmitOutcome::Refused));
}

// Guards against a refusal of a record that had to be forgotten because there were too many.
BOOST_AUTO_TEST_CASE(nothingIsRefusedAfterRecordsWereForgottenEarly)
{
    constexpr int Count = 50'000;
    UnresolvedRecords records;
    const auto now = atMillis(1000);
    for (int i = 0; i < Count; ++i) {
        attempt(records, std::to_string(i), SubmitOutcome::Unknown, now);
    }
    BOOST_TEST((attempt(records, "0", SubmitOutcome::Refused, now) == SubmitOutcome::Unknown));
    BOOST_TEST((attempt(records, "0", SubmitOutcome::Refused, now + LongAfter) == SubmitOutcome::Refused));
}

BOOST_AUTO_TEST_SUITE_END()
