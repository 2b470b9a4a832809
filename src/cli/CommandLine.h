#pragma once

#include <string>
#include <tclap/CmdLine.h>
#include <vector>

#include "marjoramhaven/cli/ApiClient.h"
#include "marjoramhaven/cli/ExitCode.h"

namespace marjoramhaven {

/// A command line with the options that all client commands share.
class ClientLine
{
public:
    explicit ClientLine(const std::string &summary);

    TCLAP::CmdLine &line() { return m_line; }
    void parse(std::vector<std::string> &arguments);
    /// A client for the addresses named with --at.
    ApiClient client();
    bool wantsJson() { return m_json.getValue(); }

private:
    TCLAP::CmdLine m_line;
    TCLAP::MultiArg<std::string> m_at;
    TCLAP::SwitchArg m_json;
};

/// Prints a JSON answer as it is, for programs.
void printJson(const QJsonObject &object);

/// Prints to standard error what kept a command from its end.
void printError(const std::string &text);

/// The exit code for an answer's word ("done", "accepted", "not-run", "unknown", "refused"), else for its status.
ExitCode exitCodeOf(const ApiAnswer &answer);

} // namespace marjoramhaven
