#pragma once

#include <QJsonArray>
#include <string>

#include "marjoramhaven/config/ConfigurationHistory.h"
#include "marjoramhaven/http/HttpServer.h"
#include "marjoramhaven/ledger/JobTable.h"
#include "marjoramhaven/node/ShortRequestDispatcher.h"

namespace marjoramhaven {

// The HTTP statuses and bodies of the API's responses.

/// Returns the HTTP status for the outcome of a short request.
int httpStatusOf(ShortRequestOutcome outcome);

/// Returns the findings as a JSON array of objects with a pointer and a message.
QJsonArray findingsToJson(const Findings &findings);

/// Returns problem details with the "answer" member set. Adds Retry-After, rounded up to whole seconds, when the time is above zero.
HttpResponse problemResponse(int status, const char *answer, const std::string &id, const std::string &detail, Millis retryAfter = Millis(0));

/// Returns status 422 with all findings, for a submission that is rejected and never runs.
HttpResponse invalidResponse(const Findings &findings);

/// Returns the JSON form of a job with the recorded ends of its tasks.
QJsonObject jobToJson(const JobEntry &entry);

/// Returns status 202 with the path at which the job's state can be queried.
HttpResponse acceptedResponse(const JobEntry &entry);

/// Returns status 200 with a configuration version and its document.
HttpResponse versionResponse(const ConfigurationVersion &version);

/// Returns status 200 for an accepted patch or 409 for a refused one, with the version in force and all findings.
HttpResponse verdictResponse(const PatchVerdict &verdict);

} // namespace marjoramhaven
