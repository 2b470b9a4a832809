#include "marjoramhaven/config/Configuration.h"

#include "marjoramhaven/base/Json.h"

namespace marjoramhaven {

namespace {

constexpr std::int64_t MaxLongestWaitMs = 7LL * 24 * 3600 * 1000;
constexpr std::int64_t MaxHoldMs = 60'000;
constexpr std::int64_t MaxQueuedLimit = 1'000'000;
constexpr double MaxWeight = 1'000'000;
constexpr double MaxFloorSum = 0.9;
constexpr int MaxTeams = 1000;

UrgencyClass readClass(const QJsonObject &object, const std::string &pointer, Findings &findings)
{
    JsonReader reader(object, pointer, findings);
    UrgencyClass out;
    out.weight = reader.number("weight", out.weight, 0, MaxWeight);
    out.longestWait = Millis(reader.integer("longest_wait_ms", out.longestWait.count(), 0, MaxLongestWaitMs));
    out.hold = Millis(reader.integer("hold_ms", out.hold.count(), 0, MaxHoldMs));
    out.floor = reader.number("floor", out.floor, 0, MaxFloorSum);
    out.maxQueued = static_cast<int>(reader.integer("max_queued", out.maxQueued, 0, MaxQueuedLimit));
    reader.rejectUnknown();
    return out;
}

Team readTeam(const QJsonObject &object, const std::string &pointer, Findings &findings)
{
    JsonReader reader(object, pointer, findings);
    Team out;
    out.share = reader.number("share", out.share, 0.001, MaxWeight);
    out.cap = reader.number("cap", out.cap, 0, 1);
    reader.rejectUnknown();
    return out;
}

template<typename T, typename Read>
std::map<std::string, T> readNamed(const QJsonObject &object, const std::string &pointer, Findings &findings, Read read)
{
    std::map<std::string, T> out;
    for (auto it = object.begin(); it != object.end(); ++it) {
        const auto name = it.key().toStdString();
        auto memberPointer = pointer;
        memberPointer.append("/").append(name);
        if (!it->isObject()) {
            findings.add(memberPointer, "must be a mapping");
            continue;
        }
        out.emplace(name, read(it->toObject(), memberPointer, findings));
    }
    return out;
}

} // namespace

std::shared_ptr<const Configuration> Configuration::read(const QJsonObject &document, Findings &findings)
{
    Findings local;
    auto out = std::make_shared<Configuration>();
    JsonReader reader(document, "", local);
    out->m_classes = readNamed<UrgencyClass>(reader.object("classes"), "/classes", local, readClass);
    out->m_teams = readNamed<Team>(reader.object("teams"), "/teams", local, readTeam);
    const auto packing = reader.text("packing", nameOf(Packing::Tight));
    if (const auto value = valueOf<Packing>(packing)) {
        out->m_packing = *value;
    } else {
        reader.report("packing", "must be tight or spread");
    }
    reader.rejectUnknown();
    double floors = 0;
    for (const auto &[name, it] : out->m_classes) {
        floors += it.floor;
    }
    if (floors > MaxFloorSum) {
        local.add("/classes", "the floors of all classes add up to more than the allowed 0.9 of a zone");
    }
    if (out->m_classes.empty()) {
        local.add("/classes", "must contain at least one class");
    }
    if (out->m_teams.size() > MaxTeams) {
        local.add("/teams", "contains more than the allowed 1000 teams");
    }
    findings.append(local);
    return local.isEmpty() ? out : nullptr;
}

QJsonObject Configuration::initialDocument()
{
    static const char *const text = R"({
        "classes": {
            "urgent": {"weight": 100, "longest_wait_ms": 1000, "hold_ms": 80, "floor": 0.2, "max_queued": 2000},
            "standard": {"weight": 10, "longest_wait_ms": 60000, "hold_ms": 200, "floor": 0.1, "max_queued": 20000},
            "background": {"weight": 1, "longest_wait_ms": 600000, "hold_ms": 200, "floor": 0.05, "max_queued": 50000}
        },
        "teams": {},
        "packing": "tight"
    })";
    return parseJsonObject(QByteArray(text)).value_or(QJsonObject());
}

const UrgencyClass *Configuration::urgencyClass(const std::string &name) const
{
    const auto it = m_classes.find(name);
    return it == m_classes.end() ? nullptr : &it->second;
}

const Team *Configuration::team(const std::string &name) const
{
    const auto it = m_teams.find(name);
    return it == m_teams.end() ? nullptr : &it->second;
}

} // namespace marjoramhaven
