#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <map>
#include <optional>
#include <string>

#include "marjoramhaven/base/Findings.h"

namespace marjoramhaven {

/// A YAML (or JSON) mapping read into JSON values, with the place of every member.
///
/// Duplicate keys, aliases, anchors, nesting deeper than 16 and documents over 1 MiB are refused.
class YamlDocument
{
public:
    /// Parses the text of a named source. Gives nothing when the findings say why.
    static std::optional<YamlDocument> parse(const QByteArray &bytes, const std::string &source, Findings &findings);
    /// Reads and parses a file. Gives nothing when it can't be read or parsed.
    static std::optional<YamlDocument> load(const std::string &path, Findings &findings);

    /// The document's root mapping.
    const QJsonObject &root() const { return m_root; }
    /// Copies findings that carry only a pointer, adding the source, line and column of the nearest known member.
    void locate(const Findings &from, Findings &to) const;

private:
    std::string m_source;
    QJsonObject m_root;
    std::map<std::string, Place> m_places;
};

} // namespace marjoramhaven
