#include "marjoramhaven/telemetry/Log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace marjoramhaven {

namespace {

log4cplus::LogLevel levelOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::LogLevel levelNamed(const std::string &name)
{
    if (name == "debug") {
        return log4cplus::DEBUG_LOG_LEVEL;
    }
    if (name == "info") {
        return log4cplus::INFO_LOG_LEVEL;
    }
    if (name == "warn") {
        return log4cplus::WARN_LOG_LEVEL;
    }
    return name == "off" ? log4cplus::OFF_LOG_LEVEL : log4cplus::ERROR_LOG_LEVEL;
}

} // namespace

void setUpLogging(const std::string &level)
{
    static const log4cplus::Initializer initializer;
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    const bool toStandardError = true;
    const bool flushEachLine = true;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(toStandardError, flushEachLine));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p [%c] %m%n")));
    root.addAppender(appender);
    root.setLogLevel(levelNamed(level));
}

Log::Log(std::string component)
    : m_component(std::move(component))
{
}

void Log::write(LogLevel level, const std::string &text) const
{
    auto logger = log4cplus::Logger::getInstance(m_component);
    const auto ll = levelOf(level);
    if (logger.isEnabledFor(ll)) {
        logger.forcedLog(ll, text);
    }
}

} // namespace marjoramhaven
