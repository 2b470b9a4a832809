#pragma once

#include <string>
#include <tclap/CmdLine.h>
#include <vector>

#include "marjoramhaven/cli/ApiClient.h"
#include "marjoramhaven/cli/ExitCode.h"

namespace marjoramhaven {

/// A command line with the options that all client commands share.
class ClientCommandLine
{
public:
    explicit ClientCommandLine(const std::string &summary);

    TCLAP::CmdLine &parser() { return m_parser; }
    /// Parses the arguments; throws TCLAP exceptions on errors and for --help.
    void parse(std::vector<std::string> &arguments);
    /// Returns a client for the addresses given with --at, or for 127.0.0.1:8080 if there are none.
    ApiClient client();
    bool wantsJson() { return m_json.getValue(); }

private:
    TCLAP::CmdLine m_parser;
    TCLAP::MultiArg<std::string> m_at;
    TCLAP::SwitchArg m_json;
};

/// Prints a JSON object to standard output on one line, unchanged, for use in scripts.
void printJson(const QJsonObject &object);

/// Prints an error message to standard error, prefixed with the program's name.
void printError(const std::string &text);

/// Returns the exit code for the outcome named in the body's "answer" field ("failed", "refused", "unknown", "not-run"), or, when that does not
/// decide, for the HTTP status.
ExitCode exitCodeOf(const ApiResponse &answer);

} // namespace marjoramhaven
