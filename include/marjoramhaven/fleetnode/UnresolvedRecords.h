#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "marjoramhaven/fleet/JobService.h"

namespace marjoramhaven {

/// Remembers the records of which it is unknown whether they are stored, so that a later attempt to store one of them is not reported as refused.
///
/// A refusal tells a caller that its request will never have an effect. That is false while another attempt with the same key is under way, or may have stored
/// the record without an answer. Knows only the attempts of this process.
class UnresolvedRecords
{
public:
    /// Notes that an attempt to store a record begins.
    void begin(const std::string &key);
    /// Notes the outcome of an attempt, and returns the one to report: that of the attempt, but unknown in place of refused while the record may be stored by
    /// another one.
    SubmitOutcome end(const std::string &key, SubmitOutcome outcome, TimePoint now);
    /// Returns true while an attempt for the key is under way, or an earlier one may have stored the record.
    bool mayBeStored(const std::string &key, TimePoint now) const;

private:
    void remember(const std::string &key, TimePoint now);
    void forgetOldest();

    std::map<std::string, int> m_attemptsUnderWay;
    /// Keys of records that may be stored, with the time until which each is remembered.
    std::map<std::string, TimePoint> m_unknownUntil;
    /// The same in the order of time. A key that was remembered again is in it once for each time.
    std::deque<std::pair<TimePoint, std::string>> m_byTime;
    /// Until this time any record may be stored, since some had to be forgotten early to limit their number.
    TimePoint m_anyUnknownUntil {};
};

} // namespace marjoramhaven
