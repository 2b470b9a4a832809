#include "marjoramhaven/base/Json.h"

#include <QJsonDocument>
#include <cmath>

#include "marjoramhaven/base/LastReason.h"

namespace marjoramhaven {

QString toQt(std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

JsonReader::JsonReader(const QJsonObject &object, std::string pointer, Findings &findings)
    : m_unread(object)
    , m_pointer(std::move(pointer))
    , m_findings(findings)
{
}

QJsonValue JsonReader::take(std::string_view key)
{
    const auto it = m_unread.constFind(toQt(key));
    if (it == m_unread.constEnd()) {
        return QJsonValue(QJsonValue::Undefined);
    }
    QJsonValue value = *it;
    m_unread.remove(toQt(key));
    return value;
}

std::string JsonReader::text(std::string_view key, std::string_view fallback)
{
    const QJsonValue value = take(key);
    if (value.isUndefined()) {
        return std::string(fallback);
    }
    if (!value.isString()) {
        report(key, "must be a string");
        return std::string(fallback);
    }
    return value.toString().toStdString();
}

std::string JsonReader::requiredText(std::string_view key, std::size_t maxBytes)
{
    const std::size_t before = m_findings.items().size();
    auto out = text(key);
    if (m_findings.items().size() != before) {
        return out;
    }
    if (out.empty()) {
        report(key, "is required");
    } else if (out.size() > maxBytes) {
        report(key, "is longer than " + std::to_string(maxBytes) + " bytes");
    }
    return out;
}

double JsonReader::number(std::string_view key, double fallback, double low, double high)
{
    const QJsonValue value = take(key);
    if (value.isUndefined()) {
        return fallback;
    }
    const double n = value.toDouble(std::nan(""));
    if (!value.isDouble() || !(n >= low && n <= high)) {
        report(key, "must be a number from " + std::to_string(low) + " to " + std::to_string(high));
        return fallback;
    }
    return n;
}

std::int64_t JsonReader::integer(std::string_view key, std::int64_t fallback, std::int64_t low, std::int64_t high)
{
    const QJsonValue value = take(key);
    if (value.isUndefined()) {
        return fallback;
    }
    const double n = value.toDouble(std::nan(""));
    const bool inRange = n >= static_cast<double>(low) && n <= static_cast<double>(high);
    if (!value.isDouble() || !inRange || n != std::floor(n)) {
        report(key, "must be an integer from " + std::to_string(low) + " to " + std::to_string(high));
        return fallback;
    }
    return static_cast<std::int64_t>(n);
}

bool JsonReader::boolean(std::string_view key, bool fallback)
{
    const QJsonValue value = take(key);
    if (value.isUndefined()) {
        return fallback;
    }
    if (!value.isBool()) {
        report(key, "must be true or false");
        return fallback;
    }
    return value.toBool();
}

QJsonObject JsonReader::object(std::string_view key)
{
    const QJsonValue value = take(key);
    if (!value.isUndefined() && !value.isObject()) {
        report(key, "must be a mapping");
    }
    return value.toObject();
}

void JsonReader::rejectUnknown()
{
    for (const auto &key : m_unread.keys()) {
        report(key.toStdString(), "is not a known key");
    }
}

std::string JsonReader::pointerTo(std::string_view key) const
{
    return m_pointer + "/" + std::string(key);
}

void JsonReader::report(std::string_view key, std::string message)
{
    m_findings.add(pointerTo(key), std::move(message));
}

std::optional<QJsonObject> parseJsonObject(const QByteArray &bytes)
{
    QJsonParseError ec;
    const auto document = QJsonDocument::fromJson(bytes, &ec);
    if (ec.error != QJsonParseError::NoError) {
        setLastReason("not JSON: " + ec.errorString().toStdString() + " at byte " + std::to_string(ec.offset));
        return std::nullopt;
    }
    if (!document.isObject()) {
        setLastReason("expected a JSON object, but the document holds another JSON type");
        return std::nullopt;
    }
    return document.object();
}

QByteArray jsonBytes(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

} // namespace marjoramhaven
