#include "CommandLine.h"

#include <iostream>

#include "marjoramhaven/base/Json.h"

namespace marjoramhaven {

ClientLine::ClientLine(const std::string &summary)
    : m_line(summary, ' ', MARJORAMHAVEN_VERSION)
    , m_at("a", "at", "Entry process to call, as IP:port; several are tried in turn (default 127.0.0.1:8080)", false, "IP:port", m_line)
    , m_json("j", "json", "Print JSON for programs", m_line)
{
    m_line.setExceptionHandling(false);
}

void ClientLine::parse(std::vector<std::string> &arguments)
{
    m_line.parse(arguments);
}

ApiClient ClientLine::client()
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

ExitCode exitCodeOf(const ApiAnswer &answer)
{
    constexpr int ConflictStatus = 409;
    constexpr int FirstError = 400;
    constexpr int FirstServerError = 500;
    const auto word = answer.body.value(QLatin1String("answer")).toString().toStdString();
    if (word == "failed") {
        return ExitCode::Failed;
    }
    if (answer.status < FirstError) {
        return ExitCode::Ok;
    }
    if (word == "refused" || answer.status == ConflictStatus) {
        return ExitCode::Refused;
    }
    if (word == "unknown") {
        return ExitCode::Unknown;
    }
    if (answer.status >= FirstServerError) {
        return word == "not-run" ? ExitCode::NotRun : ExitCode::Unknown;
    }
    return ExitCode::Invalid;
}

} // namespace marjoramhaven
