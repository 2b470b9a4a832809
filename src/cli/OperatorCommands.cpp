#include "OperatorCommands.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QUuid>
#include <iostream>

#include "CommandLine.h"
#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/config/Configuration.h"
#include "marjoramhaven/config/MergePatch.h"
#include "marjoramhaven/config/Settings.h"
#include "marjoramhaven/config/YamlDocument.h"
#include "marjoramhaven/ledger/JobSpec.h"

namespace marjoramhaven {

namespace {

constexpr Millis AnswerTimeout {10'000};
constexpr int StatusOk = 200;

ExitCode reportUnreachable()
{
    printError(lastReason());
    return ExitCode::Unreachable;
}

void printPretty(const QJsonObject &object)
{
    std::cout << QJsonDocument(object).toJson(QJsonDocument::Indented).toStdString();
}

ExitCode printResponse(ClientCommandLine &line, const ApiResponse &answer, const std::string &text)
{
    if (line.wantsJson()) {
        printJson(answer.body);
    } else if (answer.status == StatusOk) {
        std::cout << text << std::endl;
    } else {
        printError(answer.body.value(QLatin1String("detail")).toString().toStdString());
    }
    return exitCodeOf(answer);
}

std::string formatFindings(const QJsonObject &body)
{
    std::string out;
    for (const auto &it : body.value(QLatin1String("findings")).toArray()) {
        const auto row = it.toObject();
        out += "\n  " + row.value(QLatin1String("pointer")).toString().toStdString() + ": " + row.value(QLatin1String("message")).toString().toStdString();
    }
    return out;
}

std::optional<QJsonObject> versionDocument(ApiClient &client, const std::string &number, std::int64_t *found)
{
    const auto answer = client.call("GET", number.empty() ? "/v1/config" : "/v1/config/versions/" + number, {}, true, AnswerTimeout);
    if (!answer) {
        return std::nullopt;
    }
    if (answer->status != StatusOk) {
        setLastReason(answer->body.value(QLatin1String("detail")).toString().toStdString());
        return std::nullopt;
    }
    *found = answer->body.value(QLatin1String("version")).toInteger();
    return answer->body.value(QLatin1String("document")).toObject();
}

// Returns the patch to send: the content of a file, or the difference from the configuration in force to an earlier version.
std::optional<QJsonObject> makePatch(ApiClient &client, const std::string &file, const std::string &revertTo, ExitCode *code)
{
    std::int64_t number = 0;
    if (!revertTo.empty()) {
        const auto now = versionDocument(client, "", &number);
        const auto then = now ? versionDocument(client, revertTo, &number) : std::nullopt;
        if (!then) {
            printError(lastReason());
            *code = ExitCode::Refused;
            return std::nullopt;
        }
        return makeMergePatch(*now, *then);
    }
    Findings findings;
    const auto document = YamlDocument::load(file, findings);
    if (!document) {
        printError(findings.toString());
        *code = ExitCode::Invalid;
        return std::nullopt;
    }
    return document->root();
}

} // namespace

ExitCode runCheck(std::vector<std::string> arguments)
{
    TCLAP::CmdLine line("Checks a file and reports every finding with its line and column.", ' ', MARJORAMHAVEN_VERSION);
    line.setExceptionHandling(false);
    std::vector<std::string> kinds {"settings", "configuration", "patch", "job"};
    TCLAP::ValuesConstraint<std::string> allowed(kinds);
    TCLAP::ValueArg<std::string> kind("k", "kind", "Kind of document in the file", false, "settings", &allowed, line);
    TCLAP::UnlabeledValueArg<std::string> file("file", "File to check", true, "", "FILE", line);
    line.parse(arguments);
    Findings findings;
    const auto document = YamlDocument::load(file.getValue(), findings);
    if (document) {
        Findings local;
        if (kind.getValue() == "settings") {
            Settings::read(*document, findings);
        } else if (kind.getValue() == "configuration") {
            Configuration::read(document->root(), local);
        } else if (kind.getValue() == "patch") {
            Configuration::read(applyMergePatch(Configuration::initialDocument(), document->root()), local);
        } else {
            JobSpec::fromJson(document->root(), local);
        }
        document->locate(local, findings);
    }
    if (!findings.isEmpty()) {
        printError("\n" + findings.toString());
        return ExitCode::Invalid;
    }
    std::cout << file.getValue() << " is valid" << std::endl;
    return ExitCode::Ok;
}

ExitCode runPatch(std::vector<std::string> arguments)
{
    ClientCommandLine line("Sends a merge patch against a numbered version of the configuration.");
    TCLAP::ValueArg<std::int64_t> base(
        "b", "base", "Configuration version that the patch is based on (default: the one in force)", false, -1, "N", line.parser());
    TCLAP::ValueArg<std::string> author("", "author", "Author of the patch, recorded in the history", false, "", "name", line.parser());
    TCLAP::ValueArg<std::string> id("i", "id", "Id of the patch; a patch sent again with the same id is applied once", false, "", "id", line.parser());
    TCLAP::ValueArg<std::string> revert("r", "revert", "Send the patch that restores version N", false, "", "N", line.parser());
    TCLAP::UnlabeledValueArg<std::string> file("file", "File with the patch", false, "", "FILE", line.parser());
    line.parse(arguments);
    if (file.isSet() == revert.isSet()) {
        printError("expected either a patch file or --revert N");
        return ExitCode::Invalid;
    }
    auto client = line.client();
    auto code = ExitCode::Ok;
    const auto patch = makePatch(client, file.getValue(), revert.getValue(), &code);
    if (!patch) {
        return code;
    }
    std::int64_t current = base.getValue();
    if (!base.isSet() && !versionDocument(client, "", &current)) {
        return reportUnreachable();
    }
    const auto patchId = id.isSet() ? id.getValue() : QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
    const QJsonObject body {{QLatin1String("id"), toQt(patchId)},
                            {QLatin1String("base"), static_cast<qint64>(current)},
                            {QLatin1String("author"), toQt(author.getValue())},
                            {QLatin1String("patch"), *patch}};
    const auto answer = client.call("POST", "/v1/config/patches", body, true, AnswerTimeout);
    if (!answer) {
        return reportUnreachable();
    }
    if (line.wantsJson()) {
        printJson(answer->body);
        return exitCodeOf(*answer);
    }
    const auto outcome = answer->body.value(QLatin1String("answer")).toString().toStdString();
    std::cout << outcome << "  patch " << patchId << "  version " << answer->body.value(QLatin1String("version")).toInteger() << formatFindings(answer->body)
              << std::endl;
    return exitCodeOf(*answer);
}

ExitCode runConfig(std::vector<std::string> arguments)
{
    ClientCommandLine line("Shows the configuration: show [N], history, or diff N M.");
    TCLAP::UnlabeledMultiArg<std::string> words("what", "show [N] | history | diff N M", false, "WORD", line.parser());
    line.parse(arguments);
    const auto &what = words.getValue();
    auto client = line.client();
    const std::string verb = what.empty() ? "show" : what[0];
    std::int64_t number = 0;
    if (verb == "show" && what.size() <= 2) {
        const auto document = versionDocument(client, what.size() == 2 ? what[1] : "", &number);
        if (!document) {
            return reportUnreachable();
        }
        std::cout << (line.wantsJson() ? "" : "# version " + std::to_string(number) + "\n");
        printPretty(*document);
        return ExitCode::Ok;
    }
    if (verb == "history" && what.size() == 1) {
        const auto answer = client.call("GET", "/v1/config/versions", {}, true, AnswerTimeout);
        if (!answer) {
            return reportUnreachable();
        }
        if (line.wantsJson()) {
            printJson(answer->body);
            return ExitCode::Ok;
        }
        for (const auto &it : answer->body.value(QLatin1String("versions")).toArray()) {
            const auto row = it.toObject();
            const auto patch = row.value(QLatin1String("patch")).toObject();
            std::cout << row.value(QLatin1String("number")).toInteger() << "  " << row.value(QLatin1String("hash")).toString().toStdString() << "  "
                      << patch.value(QLatin1String("author")).toString().toStdString() << "  "
                      << jsonBytes(patch.value(QLatin1String("patch")).toObject()).toStdString() << std::endl;
        }
        return ExitCode::Ok;
    }
    if (verb == "diff" && what.size() == 3) {
        const auto from = versionDocument(client, what[1], &number);
        const auto to = from ? versionDocument(client, what[2], &number) : std::nullopt;
        if (!to) {
            return reportUnreachable();
        }
        printPretty(makeMergePatch(*from, *to));
        return ExitCode::Ok;
    }
    printError("expected show [N], history, or diff N M");
    return ExitCode::Invalid;
}

ExitCode runStatus(std::vector<std::string> arguments)
{
    ClientCommandLine line("Shows the state of an entry process and of its zone.");
    line.parse(arguments);
    auto client = line.client();
    const auto answer = client.call("GET", "/v1/status", {}, true, AnswerTimeout);
    if (!answer) {
        return reportUnreachable();
    }
    if (line.wantsJson()) {
        printJson(answer->body);
    } else {
        printPretty(answer->body);
    }
    return exitCodeOf(*answer);
}

ExitCode runDrain(std::vector<std::string> arguments)
{
    ClientCommandLine line("Takes an entry process out of the load balancer. Stop the process with SIGTERM afterwards.");
    line.parse(arguments);
    auto client = line.client();
    const auto answer = client.call("POST", "/v1/drain", {{QLatin1String("drain"), true}}, false, AnswerTimeout);
    if (!answer) {
        return reportUnreachable();
    }
    return printResponse(line, *answer, "draining");
}

} // namespace marjoramhaven
