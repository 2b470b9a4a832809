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

/// How tasks are laid on workers.
enum class Packing {
    Tight,
    Spread,
};

template<>
struct EnumTable<Packing> {
    static constexpr EnumName<Packing> Rows[] = {{Packing::Tight, "tight"}, {Packing::Spread, "spread"}};
};

/// A class of urgency and the policy for it.
struct UrgencyClass {
    /// Order among waiting work; larger goes first.
    double weight = 1;
    /// A task that waited this long goes before work that has not.
    Millis longestWait {60000};
    /// How long a short request may wait for room before it is refused.
    Millis hold {100};
    /// The part of the zone kept free for this class while it uses less, from 0 to 1.
    double floor = 0;
    /// Waiting tasks beyond this number are refused on arrival.
    int maxQueued = 5000;
};

/// A team and its quota in each zone.
struct Team {
    /// Weight in the fair division among teams.
    double share = 1;
    /// The largest dominant share of a zone that the team may hold, from 0 to 1.
    double cap = 1;
};

/// The shared policy: a numbered document, changed only by patches.
class Configuration
{
public:
    /// Reads and validates a document; gives nothing when the findings are not empty.
    static std::shared_ptr<const Configuration> read(const QJsonObject &document, Findings &findings);
    /// The document that version 0 holds everywhere: three classes and no team.
    static QJsonObject initialDocument();

    /// The class with this name, or null.
    const UrgencyClass *urgencyClass(const std::string &name) const;
    /// The team with this name, or null.
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
