#pragma once

#include <QJsonObject>
#include <QJsonValue>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "marjoramhaven/base/Findings.h"

namespace marjoramhaven {

/// Converts UTF-8 text to the string type of Qt's JSON classes.
QString toQt(std::string_view text);

/// Reads typed members of one JSON object and collects what is wrong with them.
class JsonReader
{
public:
    /// Reads the object; findings stand below the pointer.
    JsonReader(const QJsonObject &object, std::string pointer, Findings &findings);

    /// The string member, or the fallback; a member of another type is a finding.
    std::string text(std::string_view key, std::string_view fallback = {});
    /// As text, but absence or emptiness is a finding; longer than maxBytes is one too.
    std::string requiredText(std::string_view key, std::size_t maxBytes);
    /// The whole-number member within [low, high], or the fallback.
    std::int64_t integer(std::string_view key, std::int64_t fallback, std::int64_t low, std::int64_t high);
    /// The numeric member within [low, high], or the fallback.
    double number(std::string_view key, double fallback, double low, double high);
    /// The boolean member, or the fallback.
    bool boolean(std::string_view key, bool fallback);
    /// The object member, or an empty object.
    QJsonObject object(std::string_view key);
    /// Reports every member that none of the calls above asked for.
    void rejectUnknown();
    /// The pointer of a member.
    std::string pointerTo(std::string_view key) const;
    /// Reports a finding at a member.
    void report(std::string_view key, std::string message);

private:
    QJsonValue take(std::string_view key);

    QJsonObject m_rest;
    std::string m_pointer;
    Findings &m_findings;
};

/// Parses a JSON object from UTF-8; nothing, with a last reason, when it is not one.
std::optional<QJsonObject> parseJsonObject(const QByteArray &bytes);

/// Compact UTF-8 of a JSON object.
QByteArray jsonBytes(const QJsonObject &object);

} // namespace marjoramhaven
