#pragma once

#include <QJsonObject>

namespace marjoramhaven {

/// Applies a JSON merge patch (RFC 7386) to a document: null removes a member, objects are merged, other values replace the member.
QJsonObject applyMergePatch(const QJsonObject &document, const QJsonObject &patch);

/// Computes the merge patch that turns the document `from` into `to`.
QJsonObject makeMergePatch(const QJsonObject &from, const QJsonObject &to);

} // namespace marjoramhaven
