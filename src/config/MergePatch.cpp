#include "marjoramhaven/config/MergePatch.h"

namespace marjoramhaven {

QJsonObject applyMergePatch(const QJsonObject &document, const QJsonObject &patch)
{
    QJsonObject out = document;
    for (auto it = patch.begin(); it != patch.end(); ++it) {
        if (it->isNull()) {
            out.remove(it.key());
        } else if (it->isObject()) {
            out.insert(it.key(), applyMergePatch(out.value(it.key()).toObject(), it->toObject()));
        } else {
            out.insert(it.key(), *it);
        }
    }
    return out;
}

QJsonObject makeMergePatch(const QJsonObject &from, const QJsonObject &to)
{
    QJsonObject patch;
    for (auto it = from.begin(); it != from.end(); ++it) {
        if (!to.contains(it.key())) {
            patch.insert(it.key(), QJsonValue(QJsonValue::Null));
        }
    }
    for (auto it = to.begin(); it != to.end(); ++it) {
        const QJsonValue before = from.value(it.key());
        if (before == *it) {
            continue;
        }
        const bool bothObjects = before.isObject() && it->isObject();
        patch.insert(it.key(), bothObjects ? QJsonValue(makeMergePatch(before.toObject(), it->toObject())) : QJsonValue(*it));
    }
    return patch;
}

} // namespace marjoramhaven
