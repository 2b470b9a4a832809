#include "CommandLine.h"

#include <iostream>

#include "marjoramhaven/base/Json.h"

namespace marjoramhaven {

ClientCommandLine::ClientCommandLine(const std::string &summary)
    : m_parser(summary, ' ', MARJORAMHAVEN_VERSION)
    , m_at("a",
           "at",
           "Entry process to call, as IP:port; if given several times, the addresses are tried in this order (default 127.0.0.1:8080)",
           false,
           "IP:port",
           m_parser)
    , m_json("j", "json", "Print the JSON body of the response", m_parser)
{
    m_parser.setExceptionHandling(false);
}

void ClientCommandLine::parse(std::vector<std::string> &arguments)
{
    m_parser.parse(arguments);
}

ApiClient ClientCommandLine::client()
{
    auto addresses = m_at.getValue();
    if (addresses.empty()) {
        addresses.emplace_back("127.0.0.1:8080");
    }
    return ApiClient(std::move(addresses));
}

void printJson(const QJsonObject &object)
{
    std::cout << jsonBytes(object).toStdString() << std::endl;
}

void printError(const std::string &text)
{
    std::cerr << "marjoramhaven: " << text << std::endl;
}

ExitCode exitCodeOf(const ApiResponse &answer)
{
    constexpr int ConflictStatus = 409;
    constexpr int FirstError = 400;
    constexpr int FirstServerError = 500;
    const auto outcome = answer.body.value(QLatin1String("answer")).toString().toStdString();
    if (outcome == "failed") {
        return ExitCode::Failed;
    }
    if (answer.status < FirstError) {
        return ExitCode::Ok;
    }
    if (outcome == "refused" || answer.status == ConflictStatus) {
        return ExitCode::Refused;
    }
    if (outcome == "unknown") {
        return ExitCode::Unknown;
    }
    if (answer.status >= FirstServerError) {
        return outcome == "not-run" ? ExitCode::NotRun : ExitCode::Unknown;
    }
    return ExitCode::Invalid;
}

} // namespace marjoramhaven
