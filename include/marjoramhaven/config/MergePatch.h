#pragma once

#include <QJsonObject>

namespace marjoramhaven {

/// Applies a merge patch (RFC 7386) to a document: members replace, null removes, mappings merge.
QJsonObject applyMergePatch(const QJsonObject &document, const QJsonObject &patch);

/// The merge patch that turns one document into another.
QJsonObject makeMergePatch(const QJsonObject &from, const QJsonObject &to);

} // namespace marjoramhaven
