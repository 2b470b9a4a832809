#pragma once

#include <QJsonObject>

#include "marjoramhaven/platform/VmList.h"
#include "marjoramhaven/platform/WorkerService.h"

namespace marjoramhaven {

// Conversion of the messages of the worker interface and of the list of VMs to and from JSON. docs/platform-contract.md describes the format.

QJsonObject toJson(const AttemptId &attempt);
QJsonObject toJson(const AttemptReport &report);
QJsonObject toJson(const OpenSessionResponse &answer);
QJsonObject toJson(const RenewRequest &request);
QJsonObject toJson(const RenewResponse &answer);
QJsonObject toJson(const StartRequest &request);
QJsonObject toJson(const StartResponse &answer);
QJsonObject toJson(const Vm &vm);

AttemptId attemptIdFromJson(const QJsonObject &object);
AttemptReport attemptReportFromJson(const QJsonObject &object);
OpenSessionResponse openSessionResponseFromJson(const QJsonObject &object);
RenewRequest renewRequestFromJson(const QJsonObject &object);
RenewResponse renewResponseFromJson(const QJsonObject &object);
StartRequest startRequestFromJson(const QJsonObject &object);
StartResponse startResponseFromJson(const QJsonObject &object);
Vm vmFromJson(const QJsonObject &object);

} // namespace marjoramhaven
