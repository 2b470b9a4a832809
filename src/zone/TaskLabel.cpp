#include "marjoramhaven/zone/TaskLabel.h"

#include "marjoramhaven/base/Json.h"

namespace marjoramhaven {

std::string TaskLabel::toText() const
{
    const QJsonObject out {{QLatin1String("j"), toQt(jobId)},
                           {QLatin1String("i"), index},
                           {QLatin1String("k"), toQt(nameOf(kind))},
                           {QLatin1String("t"), toQt(owner.team)},
                           {QLatin1String("u"), toQt(owner.urgency)},
                           {QLatin1String("r"), repeatable},
                           {QLatin1String("d"), static_cast<qint64>(deadline.count())}};
    return jsonBytes(out).toStdString();
}

std::optional<TaskLabel> TaskLabel::fromText(const std::string &text)
{
    const auto object = parseJsonObject(QByteArray::fromStdString(text));
    if (!object) {
        return std::nullopt;
    }
    const auto textAt = [&](const char *key) {
        return object->value(QLatin1String(key)).toString().toStdString();
    };
    const auto kind = valueOf<JobKind>(textAt("k"));
    if (!kind) {
        return std::nullopt;
    }
    TaskLabel out;
    out.jobId = textAt("j");
    out.index = object->value(QLatin1String("i")).toInt();
    out.kind = *kind;
    out.owner = {textAt("t"), textAt("u"), out.jobId};
    out.repeatable = object->value(QLatin1String("r")).toBool(true);
    out.deadline = Millis(object->value(QLatin1String("d")).toInteger());
    return out;
}

} // namespace marjoramhaven
