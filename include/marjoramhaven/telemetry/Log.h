#pragma once

#include <string>

namespace marjoramhaven {

/// How much a log line matters.
enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

/// Sets up logging to standard error. Levels below the given name ("debug", "info", "warn", "error", "off") are dropped.
void setUpLogging(const std::string &level);

/// Writes log lines of one part of the system, each with the part's fixed prefix. Safe from several threads.
class Log
{
public:
    /// The part's name is the prefix, such as "zone" or "http".
    explicit Log(std::string part);

    void debug(const std::string &text) const { write(LogLevel::Debug, text); }
    void info(const std::string &text) const { write(LogLevel::Info, text); }
    void warn(const std::string &text) const { write(LogLevel::Warn, text); }
    void error(const std::string &text) const { write(LogLevel::Error, text); }

private:
    void write(LogLevel level, const std::string &text) const;

    std::string m_part;
};

} // namespace marjoramhaven
