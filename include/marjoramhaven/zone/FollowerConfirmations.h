#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// Records when the other entry processes of the zone confirmed that they follow this leader.
///
/// A former leader may still renew leases at a worker that this leader can't reach. Leases at such a worker therefore
/// count as expired only when, after they must have ended, every other entry process has either confirmed that it
/// follows this leader or disappeared from the platform's list of VMs.
class FollowerConfirmations
{
public:
    /// Sets the entry processes of the zone that the platform lists, without this one.
    void setListedProcesses(const std::set<std::string> &names);
    /// Records that a process followed this leader at the given instant.
    void confirm(const std::string &name, TimePoint at);
    /// Returns true when every listed process has confirmed at or after the instant.
    bool allConfirmedSince(TimePoint at) const;
    /// Returns the instant by which every listed process had confirmed for the first time; std::nullopt while one is missing.
    std::optional<TimePoint> firstConfirmedByAll() const;

private:
    struct Confirmation {
        std::optional<TimePoint> first;
        TimePoint last {};
    };

    std::map<std::string, Confirmation> m_confirmations;
    std::set<std::string> m_listed;
};

} // namespace marjoramhaven
