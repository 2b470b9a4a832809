#include "marjoramhaven/ledger/LogRecord.h"

#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

namespace {

std::string textOf(const QJsonObject &object, const char *key)
{
    return object.value(QLatin1String(key)).toString().toStdString();
}

std::uint64_t hexOf(const QJsonObject &object, const char *key)
{
    return object.value(QLatin1String(key)).toString().toULongLong(nullptr, 16);
}

QString hex(std::uint64_t value)
{
    return QString::number(static_cast<qulonglong>(value), 16);
}

QJsonObject patchToJson(const ConfigurationPatch &patch)
{
    return {{QLatin1String("type"), QLatin1String("patch")},
            {QLatin1String("id"), toQt(patch.id)},
            {QLatin1String("base"), static_cast<qint64>(patch.base)},
            {QLatin1String("author"), toQt(patch.author)},
            {QLatin1String("patch"), patch.patch}};
}

ConfigurationPatch patchFromJson(const QJsonObject &object)
{
    return {textOf(object, "id"), object.value(QLatin1String("base")).toInteger(), textOf(object, "author"), object.value(QLatin1String("patch")).toObject()};
}

// Encodes each type of record as JSON.
struct RecordEncoder {
    QJsonObject operator()(const ConfigurationPatch &it) const { return patchToJson(it); }
    QJsonObject operator()(const ConfigurationSnapshot &it) const
    {
        return {{QLatin1String("type"), QLatin1String("configuration")},
                {QLatin1String("version"), toJson(it.version)},
                {QLatin1String("up_to"), static_cast<qint64>(it.appliedUpTo)}};
    }
    QJsonObject operator()(const JobAccepted &it) const
    {
        return {{QLatin1String("type"), QLatin1String("job")}, {QLatin1String("home"), toQt(it.homeZone)}, {QLatin1String("spec"), it.spec.toJson()}};
    }
    QJsonObject operator()(const JobCancelled &it) const { return {{QLatin1String("type"), QLatin1String("cancel")}, {QLatin1String("job"), toQt(it.jobId)}}; }
    QJsonObject operator()(const TaskEnded &it) const
    {
        return {{QLatin1String("type"), QLatin1String("ended")},
                {QLatin1String("job"), toQt(it.jobId)},
                {QLatin1String("index"), it.index},
                {QLatin1String("outcome"), toQt(nameOf(it.outcome))},
                {QLatin1String("result"), toQt(it.result)}};
    }
    QJsonObject operator()(const ClaimMade &it) const
    {
        return {{QLatin1String("type"), QLatin1String("claim")},
                {QLatin1String("key"), toQt(it.key)},
                {QLatin1String("nonce"), toQt(it.nonce)},
                {QLatin1String("holder"), toQt(it.holder)},
                {QLatin1String("fingerprint"), hex(it.fingerprint)}};
    }
    QJsonObject operator()(const ClaimReleased &it) const
    {
        return {{QLatin1String("type"), QLatin1String("release")}, {QLatin1String("key"), toQt(it.key)}, {QLatin1String("nonce"), toQt(it.nonce)}};
    }
    QJsonObject operator()(const ClaimSettled &it) const
    {
        return {{QLatin1String("type"), QLatin1String("settled")},
                {QLatin1String("key"), toQt(it.key)},
                {QLatin1String("outcome"), toQt(nameOf(it.outcome))},
                {QLatin1String("result"), toQt(it.result)}};
    }
};

std::optional<LogRecord> jobFromJson(const QJsonObject &object)
{
    Findings findings;
    auto spec = JobSpec::fromJson(object.value(QLatin1String("spec")).toObject(), findings);
    if (!findings.isEmpty()) {
        setLastReason("the log record of an accepted job is not valid and is skipped: " + findings.toString());
        return std::nullopt;
    }
    return JobAccepted {std::move(spec), textOf(object, "home")};
}

std::optional<TaskOutcome> outcomeOf(const QJsonObject &object)
{
    const auto outcome = valueOf<TaskOutcome>(textOf(object, "outcome"));
    if (!outcome) {
        setLastReason("the log record has an unknown outcome and is skipped");
    }
    return outcome;
}

} // namespace

QJsonObject toJson(const LogRecord &record)
{
    return std::visit(RecordEncoder(), record);
}

std::optional<LogRecord> logRecordFromJson(const QJsonObject &object)
{
    const auto type = textOf(object, "type");
    if (type == "patch") {
        return patchFromJson(object);
    }
    if (type == "configuration") {
        return ConfigurationSnapshot {configurationVersionFromJson(object.value(QLatin1String("version")).toObject()),
                                      object.value(QLatin1String("up_to")).toInteger()};
    }
    if (type == "job") {
        return jobFromJson(object);
    }
    if (type == "cancel") {
        return JobCancelled {textOf(object, "job")};
    }
    if (type == "claim") {
        return ClaimMade {textOf(object, "key"), textOf(object, "nonce"), textOf(object, "holder"), hexOf(object, "fingerprint")};
    }
    if (type == "release") {
        return ClaimReleased {textOf(object, "key"), textOf(object, "nonce")};
    }
    if (type == "ended") {
        const auto outcome = outcomeOf(object);
        if (!outcome) {
            return std::nullopt;
        }
        return TaskEnded {textOf(object, "job"), object.value(QLatin1String("index")).toInt(-1), *outcome, textOf(object, "result")};
    }
    if (type == "settled") {
        const auto outcome = outcomeOf(object);
        if (!outcome) {
            return std::nullopt;
        }
        return ClaimSettled {textOf(object, "key"), *outcome, textOf(object, "result")};
    }
    setLastReason("the log record has an unknown type and is skipped");
    return std::nullopt;
}

QJsonObject toJson(const ConfigurationVersion &version)
{
    return {{QLatin1String("number"), static_cast<qint64>(version.number)},
            {QLatin1String("hash"), hex(version.hash)},
            {QLatin1String("offset"), static_cast<qint64>(version.offset)},
            {QLatin1String("patch"), patchToJson(version.patch)},
            {QLatin1String("document"), version.document}};
}

ConfigurationVersion configurationVersionFromJson(const QJsonObject &object)
{
    ConfigurationVersion out;
    out.number = object.value(QLatin1String("number")).toInteger();
    out.hash = hexOf(object, "hash");
    out.offset = object.value(QLatin1String("offset")).toInteger(-1);
    out.patch = patchFromJson(object.value(QLatin1String("patch")).toObject());
    out.document = object.value(QLatin1String("document")).toObject();
    return out;
}

} // namespace marjoramhaven
