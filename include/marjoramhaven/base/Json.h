#pragma once

#include <QJsonObject>
#include <QJsonValue>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "marjoramhaven/base/Findings.h"

namespace marjoramhaven {

/// Converts UTF-8 text to a QString, the string type of Qt's JSON classes.
QString toQt(std::string_view text);

/// Reads typed members of one JSON object and reports members that are missing, unknown, of a wrong type or out of range as findings.
///
/// Each member can be read once: rejectUnknown() reports the members that have not been read.
class JsonReader
{
public:
    /// Creates a reader for an object located at a JSON pointer; the findings are appended to `findings`, which must outlive the reader.
    JsonReader(const QJsonObject &object, std::string pointer, Findings &findings);

    /// Returns a string member, or the fallback when it is absent. A member of another type is reported and gives the fallback.
    std::string text(std::string_view key, std::string_view fallback = {});
    /// Returns a string member like text(), and reports it when it is absent, empty or longer than maxBytes.
    std::string requiredText(std::string_view key, std::size_t maxBytes);
    /// Returns an integer member, or the fallback when it is absent. A member that is no integer within [low, high] is reported.
    std::int64_t integer(std::string_view key, std::int64_t fallback, std::int64_t low, std::int64_t high);
    /// Returns a numeric member, or the fallback when it is absent. A member that is no number within [low, high] is reported.
    double number(std::string_view key, double fallback, double low, double high);
    /// Returns a boolean member, or the fallback when it is absent. A member of another type is reported.
    bool boolean(std::string_view key, bool fallback);
    /// Returns an object member, or an empty object when it is absent. A member of another type is reported.
    QJsonObject object(std::string_view key);
    /// Reports every member that no earlier call has read.
    void rejectUnknown();
    /// Returns the JSON pointer of a member.
    std::string pointerTo(std::string_view key) const;
    /// Adds a finding located at a member.
    void report(std::string_view key, std::string message);

private:
    // Removes a member from the unread ones and returns it; undefined when it is absent.
    QJsonValue take(std::string_view key);

    QJsonObject m_unread;
    std::string m_pointer;
    Findings &m_findings;
};

/// Parses a JSON object from UTF-8. Returns std::nullopt and sets lastReason() when the text is not JSON or not an object.
std::optional<QJsonObject> parseJsonObject(const QByteArray &bytes);

/// Serialises a JSON object as compact UTF-8 text.
QByteArray jsonBytes(const QJsonObject &object);

} // namespace marjoramhaven
