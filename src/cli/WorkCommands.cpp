#include "WorkCommands.h"

#include <QJsonArray>
#include <iostream>

#include "CommandLine.h"
#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/config/YamlDocument.h"
#include "marjoramhaven/ledger/JobSpec.h"

namespace marjoramhaven {

namespace {

constexpr Millis AnswerGrace {5000};
constexpr Millis AnswerWithin {15'000};

std::string textAt(const QJsonObject &object, const char *key)
{
    return object.value(QLatin1String(key)).toString().toStdString();
}

void printJob(const QJsonObject &job)
{
    std::cout << textAt(job, "id") << "  " << textAt(job, "kind") << "  " << textAt(job, "state") << "  zone " << textAt(job, "zone") << "  tasks "
              << job.value(QLatin1String("tasks")).toInt();
    if (job.contains(QLatin1String("running"))) {
        std::cout << "  running " << job.value(QLatin1String("running")).toInt();
    }
    const auto ended = job.value(QLatin1String("ended")).toObject();
    for (auto it = ended.begin(); it != ended.end(); ++it) {
        std::cout << "  " << it.key().toStdString() << " " << it->toInt();
    }
    std::cout << std::endl;
}

void printAnswer(const ApiAnswer &answer)
{
    std::cout << textAt(answer.body, "answer") << "  " << textAt(answer.body, "id");
    for (const char *key : {"result", "detail", "location"}) {
        const auto text = textAt(answer.body, key);
        if (!text.empty()) {
            std::cout << "  " << text;
        }
    }
    std::cout << std::endl;
}

ExitCode unreachable()
{
    printError(lastReason());
    return ExitCode::Unreachable;
}

} // namespace

ExitCode runSubmit(std::vector<std::string> arguments)
{
    ClientLine line("Submits a job or a short request described in a YAML or JSON file.");
    TCLAP::ValueArg<std::string> id("i", "id", "Id to use instead of the file's", false, "", "id", line.line());
    TCLAP::UnlabeledValueArg<std::string> file("file", "File with the description", true, "", "FILE", line.line());
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
    // A repeatable short request has no record that would make a second send harmless.
    const bool mayRepeat = !isShort || !spec.repeatable;
    auto client = line.client();
    const auto answer = client.call("POST", isShort ? "/v1/requests" : "/v1/jobs", body, mayRepeat, spec.deadline + AnswerGrace);
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
    ClientLine line("Shows a job, or the outcome of an unrepeatable request.");
    TCLAP::SwitchArg request("r", "request", "The id is that of an unrepeatable short request", line.line());
    TCLAP::UnlabeledValueArg<std::string> id("id", "Id of the job", true, "", "ID", line.line());
    line.parse(arguments);
    auto client = line.client();
    const auto answer = client.call("GET", (request.getValue() ? "/v1/requests/" : "/v1/jobs/") + id.getValue(), {}, true, AnswerWithin);
    if (!answer) {
        return unreachable();
    }
    if (line.wantsJson()) {
        printJson(answer->body);
    } else if (answer->status == 200 && !request.getValue()) {
        printJob(answer->body);
        for (const auto &it : answer->body.value(QLatin1String("results")).toArray()) {
            const auto row = it.toObject();
            std::cout << "  task " << row.value(QLatin1String("index")).toInt() << "  " << textAt(row, "outcome") << "  " << textAt(row, "result") << std::endl;
        }
    } else {
        printAnswer(*answer);
    }
    return exitCodeOf(*answer);
}

ExitCode runCancel(std::vector<std::string> arguments)
{
    ClientLine line("Cancels a job. Tasks that had not started are told as not run, running ones as stopped.");
    TCLAP::UnlabeledValueArg<std::string> id("id", "Id of the job", true, "", "ID", line.line());
    line.parse(arguments);
    auto client = line.client();
    const auto answer = client.call("DELETE", "/v1/jobs/" + id.getValue(), {}, true, AnswerWithin);
    if (!answer) {
        return unreachable();
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
    ClientLine line("Lists jobs.");
    line.parse(arguments);
    auto client = line.client();
    const auto answer = client.call("GET", "/v1/jobs", {}, true, AnswerWithin);
    if (!answer) {
        return unreachable();
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
