#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// Proofs that no other entry process of the zone renews leases.
///
/// A process that once led might still renew at a worker that this leader can't reach. So the leases there count as
/// lapsed only when every other entry process proved, after they must have ended, that it follows this leadership;
/// or when the platform no longer lists it.
class FollowerConfirmations
{
public:
    /// Names the entry processes of the zone that the platform lists, without this one.
    void setListedProcesses(const std::set<std::string> &names);
    /// A process followed this leadership at an instant.
    void confirm(const std::string &name, TimePoint at);
    /// True when every listed process followed at or after the instant.
    bool allConfirmedSince(TimePoint at) const;
    /// The instant since which every listed process has followed; nothing while one has not.
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
