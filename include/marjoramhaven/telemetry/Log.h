#pragma once

#include <string>

namespace marjoramhaven {

/// Severity of a log line.
enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

/// Sets up logging to standard error. Lines below the level with the given name ("debug", "info", "warn", "error", "off") are dropped.
void setUpLogging(const std::string &level);

/// Writes the log lines of one component, each prefixed with the component's name. Thread-safe.
class Log
{
public:
    /// Creates a log for a component, such as "zone" or "http".
    explicit Log(std::string component);

    void debug(const std::string &text) const { write(LogLevel::Debug, text); }
    void info(const std::string &text) const { write(LogLevel::Info, text); }
    void warn(const std::string &text) const { write(LogLevel::Warn, text); }
    void error(const std::string &text) const { write(LogLevel::Error, text); }

private:
    void write(LogLevel level, const std::string &text) const;

    std::string m_component;
};

} // namespace marjoramhaven
