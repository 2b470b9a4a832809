#include "marjoramhaven/ledger/JobSpec.h"

#include <xxhash.h>

#include "marjoramhaven/base/Json.h"

namespace marjoramhaven {

namespace {

constexpr std::size_t MaxIdBytes = 200;
constexpr std::size_t MaxNameBytes = 64;
constexpr int MaxTasks = 10'000;
constexpr std::int64_t MaxDeadlineMs = 600'000;
constexpr qsizetype MaxWorkBytes = 65'536;

JobKind readKind(JsonReader &reader)
{
    const auto name = reader.text("kind", nameOf(JobKind::Batch));
    const auto kind = valueOf<JobKind>(name);
    if (!kind) {
        reader.report("kind", "must be one of service, batch, all-at-once and short");
    }
    return kind.value_or(JobKind::Batch);
}

void checkId(JsonReader &reader, const std::string &id)
{
    for (const char c : id) {
        if (static_cast<unsigned char>(c) <= ' ' || c == '/' || c == '?' || c == '#' || c == '%') {
            reader.report("id", "must not contain spaces, control characters or any of / ? # %");
            return;
        }
    }
}

} // namespace

QJsonObject JobSpec::toJson() const
{
    QJsonObject out;
    out.insert(QLatin1String("id"), toQt(id));
    out.insert(QLatin1String("team"), toQt(team));
    out.insert(QLatin1String("urgency"), toQt(urgency));
    out.insert(QLatin1String("kind"), toQt(nameOf(kind)));
    out.insert(QLatin1String("resources"), resources.toJson());
    out.insert(QLatin1String("tasks"), tasks);
    out.insert(QLatin1String("repeatable"), repeatable);
    out.insert(QLatin1String("zone"), toQt(zone));
    out.insert(QLatin1String("deadline_ms"), static_cast<qint64>(deadline.count()));
    out.insert(QLatin1String("work"), work);
    return out;
}

JobSpec JobSpec::fromJson(const QJsonObject &object, Findings &findings)
{
    JobSpec out;
    JsonReader reader(object, "", findings);
    out.id = reader.requiredText("id", MaxIdBytes);
    checkId(reader, out.id);
    out.team = reader.requiredText("team", MaxNameBytes);
    out.urgency = reader.text("urgency", "standard");
    out.kind = readKind(reader);
    out.resources = Resources::fromJson(reader.object("resources"), reader.pointerTo("resources"), findings);
    out.tasks = static_cast<int>(reader.integer("tasks", 1, 1, MaxTasks));
    out.repeatable = reader.boolean("repeatable", true);
    out.zone = reader.text("zone");
    out.deadline = Millis(reader.integer("deadline_ms", out.deadline.count(), 1, MaxDeadlineMs));
    out.work = reader.object("work");
    if (jsonBytes(out.work).size() > MaxWorkBytes) {
        reader.report("work", "must take at most 65536 bytes as JSON");
    }
    if (out.kind == JobKind::ShortRequest && out.tasks != 1) {
        reader.report("tasks", "must be 1 for a short request");
    }
    if (out.kind == JobKind::Service && !out.repeatable) {
        reader.report("repeatable", "must be true for a service, because its replicas are replaced when they end");
    }
    if (out.resources == Resources()) {
        reader.report("resources", "must reserve at least one resource");
    }
    reader.rejectUnknown();
    return out;
}

void JobSpec::checkAgainst(const Configuration &configuration, Findings &findings) const
{
    if (configuration.team(team) == nullptr) {
        findings.add("/team", "the configuration in force has no team " + team);
    }
    if (configuration.urgencyClass(urgency) == nullptr) {
        findings.add("/urgency", "the configuration in force has no urgency class " + urgency);
    }
}

std::uint64_t JobSpec::fingerprint() const
{
    auto object = toJson();
    // The entry process that receives a submission may fill in its own zone, so a retry through another process can differ in it.
    object.remove(QLatin1String("zone"));
    const QByteArray bytes = jsonBytes(object);
    return XXH64(bytes.constData(), static_cast<std::size_t>(bytes.size()), 0);
}

} // namespace marjoramhaven
