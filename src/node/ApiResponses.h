#pragma once

#include <QJsonArray>
#include <string>

#include "marjoramhaven/config/ConfigurationHistory.h"
#include "marjoramhaven/http/HttpServer.h"
#include "marjoramhaven/ledger/JobLedger.h"
#include "marjoramhaven/node/ShortRequestDispatcher.h"

namespace marjoramhaven {

// The bodies and statuses with which the API answers.

/// The HTTP status for the answer to a short request.
int httpStatusOf(ShortRequestOutcome outcome);

/// Findings as a JSON array of pointer and message.
QJsonArray findingsToJson(const Findings &findings);

/// Problem details with the answer's word; with Retry-After in whole seconds when the time is above zero.
HttpResponse problemResponse(int status, const char *answer, const std::string &id, const std::string &detail, Millis retryAfter = Millis(0));

/// 422 with every finding; nothing ran.
HttpResponse invalidResponse(const Findings &findings);

/// A job with its recorded ends.
QJsonObject jobToJson(const JobEntry &entry);

/// 202 with where the job is found again.
HttpResponse acceptedResponse(const JobEntry &entry);

/// A configuration version with its document.
HttpResponse versionResponse(const ConfigurationVersion &version);

/// 200 or 409 with the version in force and every finding.
HttpResponse verdictResponse(const PatchVerdict &verdict);

} // namespace marjoramhaven
