#include "marjoramhaven/platform/WorkerCodec.h"

#include <QJsonArray>

#include "marjoramhaven/base/Json.h"

namespace marjoramhaven {

namespace {

std::string textAt(const QJsonObject &object, const char *key)
{
    return object.value(QLatin1String(key)).toString().toStdString();
}

std::int64_t intAt(const QJsonObject &object, const char *key)
{
    return object.value(QLatin1String(key)).toInteger();
}

Resources resourcesAt(const QJsonObject &object, const char *key)
{
    Findings ignored;
    return Resources::fromJson(object.value(QLatin1String(key)).toObject(), "", ignored);
}

template<typename T>
QJsonArray arrayOf(const std::vector<T> &items)
{
    QJsonArray out;
    for (const auto &it : items) {
        out.append(toJson(it));
    }
    return out;
}

template<typename T>
std::vector<T> listAt(const QJsonObject &object, const char *key, T (*read)(const QJsonObject &))
{
    std::vector<T> out;
    const auto array = object.value(QLatin1String(key)).toArray();
    for (const auto &it : array) {
        out.push_back(read(it.toObject()));
    }
    return out;
}

} // namespace

QJsonObject toJson(const AttemptId &attempt)
{
    return {{QLatin1String("task"), toQt(attempt.task)}, {QLatin1String("number"), static_cast<qint64>(attempt.number)}};
}

AttemptId attemptIdFromJson(const QJsonObject &object)
{
    return {textAt(object, "task"), intAt(object, "number")};
}

QJsonObject toJson(const AttemptReport &report)
{
    return {{QLatin1String("attempt"), toJson(report.attempt)},
            {QLatin1String("state"), toQt(nameOf(report.state))},
            {QLatin1String("reservation"), report.reservation.toJson()},
            {QLatin1String("label"), toQt(report.label)},
            {QLatin1String("outcome"), toQt(nameOf(report.outcome))},
            {QLatin1String("result"), toQt(report.result)}};
}

AttemptReport attemptReportFromJson(const QJsonObject &object)
{
    AttemptReport out;
    out.attempt = attemptIdFromJson(object.value(QLatin1String("attempt")).toObject());
    out.state = valueOf<AttemptState>(textAt(object, "state")).value_or(AttemptState::NotKnown);
    out.reservation = resourcesAt(object, "reservation");
    out.label = textAt(object, "label");
    out.outcome = valueOf<TaskOutcome>(textAt(object, "outcome")).value_or(TaskOutcome::Unknown);
    out.result = textAt(object, "result");
    return out;
}

QJsonObject toJson(const OpenSessionResponse &answer)
{
    return {{QLatin1String("session"), static_cast<qint64>(answer.session)},
            {QLatin1String("clock"), static_cast<qint64>(answer.clock)},
            {QLatin1String("capacity"), answer.capacity.toJson()},
            {QLatin1String("attempts"), arrayOf(answer.attempts)}};
}

OpenSessionResponse openSessionResponseFromJson(const QJsonObject &object)
{
    return {intAt(object, "session"), intAt(object, "clock"), resourcesAt(object, "capacity"), listAt(object, "attempts", attemptReportFromJson)};
}

QJsonObject toJson(const RenewRequest &request)
{
    return {{QLatin1String("session"), static_cast<qint64>(request.session)},
            {QLatin1String("lease_until"), static_cast<qint64>(request.leaseUntil)},
            {QLatin1String("acknowledged"), arrayOf(request.acknowledged)},
            {QLatin1String("wait_ms"), static_cast<qint64>(request.wait.count())}};
}

RenewRequest renewRequestFromJson(const QJsonObject &object)
{
    return {intAt(object, "session"), intAt(object, "lease_until"), listAt(object, "acknowledged", attemptIdFromJson), Millis(intAt(object, "wait_ms"))};
}

QJsonObject toJson(const RenewResponse &answer)
{
    return {{QLatin1String("current"), answer.isCurrent},
            {QLatin1String("clock"), static_cast<qint64>(answer.clock)},
            {QLatin1String("ended"), arrayOf(answer.ended)},
            {QLatin1String("usage"), answer.usage.toJson()}};
}

RenewResponse renewResponseFromJson(const QJsonObject &object)
{
    return {
        object.value(QLatin1String("current")).toBool(), intAt(object, "clock"), listAt(object, "ended", attemptReportFromJson), resourcesAt(object, "usage")};
}

QJsonObject toJson(const StartRequest &request)
{
    return {{QLatin1String("session"), static_cast<qint64>(request.session)},
            {QLatin1String("attempt"), toJson(request.attempt)},
            {QLatin1String("reservation"), request.reservation.toJson()},
            {QLatin1String("not_after"), static_cast<qint64>(request.notAfter)},
            {QLatin1String("lease_until"), static_cast<qint64>(request.leaseUntil)},
            {QLatin1String("label"), toQt(request.label)},
            {QLatin1String("work"), request.work},
            {QLatin1String("await_end"), request.awaitEnd}};
}

StartRequest startRequestFromJson(const QJsonObject &object)
{
    StartRequest out;
    out.session = intAt(object, "session");
    out.attempt = attemptIdFromJson(object.value(QLatin1String("attempt")).toObject());
    out.reservation = resourcesAt(object, "reservation");
    out.notAfter = intAt(object, "not_after");
    out.leaseUntil = intAt(object, "lease_until");
    out.label = textAt(object, "label");
    out.work = object.value(QLatin1String("work")).toObject();
    out.awaitEnd = object.value(QLatin1String("await_end")).toBool();
    return out;
}

QJsonObject toJson(const StartResponse &answer)
{
    return {{QLatin1String("report"), toJson(answer.report)}, {QLatin1String("reason"), toQt(answer.reason)}};
}

StartResponse startResponseFromJson(const QJsonObject &object)
{
    return {attemptReportFromJson(object.value(QLatin1String("report")).toObject()), textAt(object, "reason")};
}

QJsonObject toJson(const Vm &vm)
{
    return {{QLatin1String("name"), toQt(vm.name)},
            {QLatin1String("role"), toQt(nameOf(vm.role))},
            {QLatin1String("zone"), toQt(vm.zone)},
            {QLatin1String("rack"), toQt(vm.rack)},
            {QLatin1String("url"), toQt(vm.url)},
            {QLatin1String("leaving"), vm.isLeaving},
            {QLatin1String("capacity"), vm.capacity.toJson()}};
}

Vm vmFromJson(const QJsonObject &object)
{
    Vm out;
    out.name = textAt(object, "name");
    out.role = valueOf<VmRole>(textAt(object, "role")).value_or(VmRole::Worker);
    out.zone = textAt(object, "zone");
    out.rack = textAt(object, "rack");
    out.url = textAt(object, "url");
    out.isLeaving = object.value(QLatin1String("leaving")).toBool();
    out.capacity = resourcesAt(object, "capacity");
    return out;
}

} // namespace marjoramhaven
