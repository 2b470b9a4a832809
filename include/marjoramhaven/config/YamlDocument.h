#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <map>
#include <optional>
#include <string>

#include "marjoramhaven/base/Findings.h"

namespace marjoramhaven {

/// A YAML (or JSON) mapping parsed into JSON values, with the source location of every member.
///
/// Duplicate keys, aliases, anchors, nesting deeper than 16 levels and documents larger than 1 MiB are rejected.
class YamlDocument
{
public:
    /// Parses the text of a named source. Returns std::nullopt and appends to `findings` when the text is not a valid document.
    static std::optional<YamlDocument> parse(const QByteArray &bytes, const std::string &source, Findings &findings);
    /// Reads and parses a file. Returns std::nullopt and appends to `findings` when the file can't be read or parsed.
    static std::optional<YamlDocument> load(const std::string &path, Findings &findings);

    /// Returns the document's root mapping.
    const QJsonObject &root() const { return m_root; }
    /// Copies findings that have only a JSON pointer, adding the source, line and column of the member or, if unknown, of its nearest known ancestor.
    void locate(const Findings &from, Findings &to) const;

private:
    std::string m_source;
    QJsonObject m_root;
    std::map<std::string, SourceLocation> m_locations;
};

} // namespace marjoramhaven
