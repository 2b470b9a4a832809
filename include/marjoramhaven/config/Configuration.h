#pragma once

#include <QJsonObject>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "marjoramhaven/base/EnumNames.h"
#include "marjoramhaven/base/Findings.h"
#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// How the scheduler distributes tasks over workers.
enum class Packing {
    /// Prefers the worker that has the least capacity left afterwards (bin packing).
    Tight,
    /// Prefers racks and workers with the fewest tasks of the same job, then the worker with the most capacity left.
    Spread,
};

template<>
struct EnumTable<Packing> {
    static constexpr EnumName<Packing> Rows[] = {{Packing::Tight, "tight"}, {Packing::Spread, "spread"}};
};

/// The scheduling policy for one urgency class.
struct UrgencyClass {
    /// Priority among waiting tasks; a larger weight is scheduled first.
    double weight = 1;
    /// A task that has waited longer than this is scheduled before every task that has not, whatever their weights (prevents starvation).
    Millis longestWait {60000};
    /// How long a short request may wait for free capacity before it is refused.
    Millis hold {100};
    /// The share of the zone's capacity, from 0 to 1, that stays reserved for this class while the class uses less than that.
    double floor = 0;
    /// The largest number of waiting tasks; a task that arrives when the queue is full is refused.
    int maxQueued = 5000;
};

/// A team and its quota in each zone.
struct Team {
    /// Weight in fair sharing among teams.
    double share = 1;
    /// The quota: the largest dominant share of a zone that the team may use, from 0 to 1.
    double cap = 1;
};

/// The scheduling policy that all processes share: a versioned document, changed only by patches.
class Configuration
{
public:
    /// Reads and validates a document. Returns null and appends to `findings` when the document is invalid.
    static std::shared_ptr<const Configuration> read(const QJsonObject &document, Findings &findings);
    /// Returns the document of version 0, which is the same in every process: three classes and no team.
    static QJsonObject initialDocument();

    /// Returns the class with this name, or null when there is none.
    const UrgencyClass *urgencyClass(const std::string &name) const;
    /// Returns the team with this name, or null when there is none.
    const Team *team(const std::string &name) const;
    const std::map<std::string, UrgencyClass> &classes() const { return m_classes; }
    const std::map<std::string, Team> &teams() const { return m_teams; }
    Packing packing() const { return m_packing; }

private:
    std::map<std::string, UrgencyClass> m_classes;
    std::map<std::string, Team> m_teams;
    Packing m_packing = Packing::Tight;
};

} // namespace marjoramhaven
