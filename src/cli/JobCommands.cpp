#include "JobCommands.h"

#include <QJsonArray>
#include <iostream>

#include "CommandLine.h"
#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/config/YamlDocument.h"
#include "marjoramhaven/ledger/JobSpec.h"

namespace marjoramhaven {

namespace {

constexpr Millis DeadlineMargin {5000};
constexpr Millis AnswerTimeout {15'000};

std::string stringField(const QJsonObject &object, const char *key)
{
    return object.value(QLatin1String(key)).toString().toStdString();
}

void printJob(const QJsonObject &job)
{
    std::cout << stringField(job, "id") << "  " << stringField(job, "kind") << "  " << stringField(job, "state") << "  zone " << stringField(job, "zone")
              << "  tasks " << job.value(QLatin1String("tasks")).toInt();
    if (job.contains(QLatin1String("running"))) {
        std::cout << "  running " << job.value(QLatin1String("running")).toInt();
    }
    const auto ended = job.value(QLatin1String("ended")).toObject();
    for (auto it = ended.begin(); it != ended.end(); ++it) {
        std::cout << "  " << it.key().toStdString() << " " << it->toInt();
    }
    std::cout << std::endl;
}

void printAnswer(const ApiResponse &answer)
{
    std::cout << stringField(answer.body, "answer") << "  " << stringField(answer.body, "id");
    for (const char *key : {"result", "detail", "location"}) {
        const auto text = stringField(answer.body, key);
        if (!text.empty()) {
            std::cout << "  " << text;
        }
    }
    std::cout << std::endl;
}

ExitCode reportUnreachable()
{
    printError(lastReason());
    return ExitCode::Unreachable;
}

} // namespace

ExitCode runSubmit(std::vector<std::string> arguments)
{
    ClientCommandLine line("Submits a job or a short request described in a YAML or JSON file.");
    TCLAP::ValueArg<std::string> id("i", "id", "Id to use instead of the one in the file", false, "", "id", line.parser());
    TCLAP::UnlabeledValueArg<std::string> file("file", "File with the job description", true, "", "FILE", line.parser());
    line.parse(arguments);
    Findings findings;
    const auto document = YamlDocument::load(file.getValue(), findings);
    if (!document) {
        printError(findings.toString());
        return ExitCode::Invalid;
    }
    auto body = document->root();
    if (id.isSet()) {
        body.insert(QLatin1String("id"), toQt(id.getValue()));
    }
    Findings local;
    const auto spec = JobSpec::fromJson(body, local);
    if (!local.isEmpty()) {
        document->locate(local, findings);
        printError(findings.toString());
        return ExitCode::Invalid;
    }
    const bool isShort = spec.kind == JobKind::ShortRequest;
    // A repeatable short request leaves no record by which a second copy would be recognized, so it would run again.
    const bool mayRepeat = !isShort || !spec.repeatable;
    auto client = line.client();
    const auto answer = client.call("POST", isShort ? "/v1/requests" : "/v1/jobs", body, mayRepeat, spec.deadline + DeadlineMargin);
    if (!answer) {
        printError(lastReason());
        return isShort ? ExitCode::Unknown : ExitCode::Unreachable;
    }
    if (line.wantsJson()) {
        printJson(answer->body);
    } else {
        printAnswer(*answer);
    }
    return exitCodeOf(*answer);
}

ExitCode runGet(std::vector<std::string> arguments)
{
    ClientCommandLine line("Shows a job, or the outcome of a non-repeatable short request.");
    TCLAP::SwitchArg request("r", "request", "The id names a non-repeatable short request, not a job", line.parser());
    TCLAP::UnlabeledValueArg<std::string> id("id", "Id of the job", true, "", "ID", line.parser());
    line.parse(arguments);
    auto client = line.client();
    const auto answer = client.call("GET", (request.getValue() ? "/v1/requests/" : "/v1/jobs/") + id.getValue(), {}, true, AnswerTimeout);
    if (!answer) {
        return reportUnreachable();
    }
    if (line.wantsJson()) {
        printJson(answer->body);
    } else if (answer->status == 200 && !request.getValue()) {
        printJob(answer->body);
        for (const auto &it : answer->body.value(QLatin1String("results")).toArray()) {
            const auto row = it.toObject();
            std::cout << "  task " << row.value(QLatin1String("index")).toInt() << "  " << stringField(row, "outcome") << "  " << stringField(row, "result")
                      << std::endl;
        }
    } else {
        printAnswer(*answer);
    }
    return exitCodeOf(*answer);
}

ExitCode runCancel(std::vector<std::string> arguments)
{
    ClientCommandLine line("Cancels a job. Tasks that had not started are reported as not run, running tasks as stopped.");
    TCLAP::UnlabeledValueArg<std::string> id("id", "Id of the job", true, "", "ID", line.parser());
    line.parse(arguments);
    auto client = line.client();
    const auto answer = client.call("DELETE", "/v1/jobs/" + id.getValue(), {}, true, AnswerTimeout);
    if (!answer) {
        return reportUnreachable();
    }
    if (line.wantsJson()) {
        printJson(answer->body);
    } else if (answer->status < 300) {
        printJob(answer->body);
    } else {
        printAnswer(*answer);
    }
    return exitCodeOf(*answer);
}

ExitCode runJobs(std::vector<std::string> arguments)
{
    ClientCommandLine line("Lists jobs.");
    line.parse(arguments);
    auto client = line.client();
    const auto answer = client.call("GET", "/v1/jobs", {}, true, AnswerTimeout);
    if (!answer) {
        return reportUnreachable();
    }
    if (line.wantsJson()) {
        printJson(answer->body);
        return exitCodeOf(*answer);
    }
    for (const auto &it : answer->body.value(QLatin1String("jobs")).toArray()) {
        printJob(it.toObject());
    }
    return exitCodeOf(*answer);
}

} // namespace marjoramhaven
