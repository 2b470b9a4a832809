#include "marjoramhaven/config/YamlDocument.h"

#include <QFile>
#include <QJsonArray>
#include <sstream>
#include <vector>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include "marjoramhaven/base/Json.h"

namespace marjoramhaven {

namespace {

constexpr qint64 MaxDocumentBytes = 1 << 20;
constexpr std::size_t MaxDepth = 16;

// Turns the parser's events into JSON values and notes the place of each member.
class Builder : public YAML::EventHandler
{
public:
    Builder(std::string source, Findings &findings)
        : m_source(std::move(source))
        , m_findings(findings)
    {
    }

    QJsonValue root() const { return m_root; }
    std::map<std::string, Place> takePlaces() { return std::move(m_places); }

    void OnDocumentStart(const YAML::Mark & /*mark*/) override { }
    void OnDocumentEnd() override { }
    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        checkAnchor(mark, anchor);
        add(mark, QJsonValue(QJsonValue::Null), "");
    }
    void OnAlias(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        report(mark, "aliases are not allowed");
        add(mark, QJsonValue(QJsonValue::Null), "");
    }
    void OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, const std::string &value) override
    {
        checkAnchor(mark, anchor);
        add(mark, tag == "!" ? QJsonValue(toQt(value)) : plain(value), value);
    }
    void OnSequenceStart(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t anchor, YAML::EmitterStyle::value /*style*/) override
    {
        open(mark, anchor, false);
    }
    void OnSequenceEnd() override { close(); }
    void OnMapStart(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t anchor, YAML::EmitterStyle::value /*style*/) override
    {
        open(mark, anchor, true);
    }
    void OnMapEnd() override { close(); }

private:
    struct Level {
        bool isMap = false;
        bool hasKey = false;
        YAML::Mark mark;
        std::string key;
        std::string pointer;
        QJsonObject object;
        QJsonArray array;
    };

    static QJsonValue plain(const std::string &value)
    {
        if (value == "true" || value == "false") {
            return value == "true";
        }
        if (value == "null" || value == "~" || value.empty()) {
            return QJsonValue(QJsonValue::Null);
        }
        bool ok = false;
        const double n = toQt(value).toDouble(&ok);
        return ok ? QJsonValue(n) : QJsonValue(toQt(value));
    }

    Place placeOf(const YAML::Mark &mark, std::string pointer) const { return {m_source, mark.line + 1, mark.column + 1, std::move(pointer)}; }
    std::string here() const { return m_levels.empty() ? "" : m_levels.back().pointer; }
    void report(const YAML::Mark &mark, std::string message) { m_findings.add(placeOf(mark, here()), std::move(message)); }

    void checkAnchor(const YAML::Mark &mark, YAML::anchor_t anchor)
    {
        if (anchor != 0) {
            report(mark, "anchors are not allowed");
        }
    }

    std::string childPointer() const
    {
        if (m_levels.empty()) {
            return "";
        }
        const auto &top = m_levels.back();
        return top.pointer + "/" + (top.isMap ? top.key : std::to_string(top.array.size()));
    }

    void open(const YAML::Mark &mark, YAML::anchor_t anchor, bool isMap)
    {
        checkAnchor(mark, anchor);
        if (m_levels.size() >= MaxDepth) {
            throw YAML::ParserException(mark, "nested too deeply");
        }
        Level level;
        level.isMap = isMap;
        level.mark = mark;
        level.pointer = childPointer();
        m_levels.push_back(std::move(level));
    }

    void close()
    {
        Level level = std::move(m_levels.back());
        m_levels.pop_back();
        add(level.mark, level.isMap ? QJsonValue(level.object) : QJsonValue(level.array), "");
    }

    void add(const YAML::Mark &mark, const QJsonValue &value, const std::string &text)
    {
        if (m_levels.empty()) {
            m_root = value;
            return;
        }
        auto &top = m_levels.back();
        if (top.isMap && !top.hasKey) {
            takeKey(top, mark, value, text);
            return;
        }
        m_places.try_emplace(childPointer(), placeOf(mark, childPointer()));
        if (top.isMap) {
            top.object.insert(toQt(top.key), value);
            top.hasKey = false;
        } else {
            top.array.append(value);
        }
    }

    void takeKey(Level &top, const YAML::Mark &mark, const QJsonValue &value, const std::string &text)
    {
        top.hasKey = true;
        top.key = text;
        if (value.isObject() || value.isArray()) {
            report(mark, "a key must be text");
        } else if (top.object.contains(toQt(text))) {
            m_findings.add(placeOf(mark, childPointer()), "stands twice");
        }
        m_places[childPointer()] = placeOf(mark, childPointer());
    }

    std::string m_source;
    Findings &m_findings;
    QJsonValue m_root {QJsonValue::Undefined};
    std::vector<Level> m_levels;
    std::map<std::string, Place> m_places;
};

} // namespace

std::optional<YamlDocument> YamlDocument::parse(const QByteArray &bytes, const std::string &source, Findings &findings)
{
    const std::size_t before = findings.items().size();
    if (bytes.size() > MaxDocumentBytes) {
        findings.add(Place {source, 0, 0, ""}, "is larger than " + std::to_string(MaxDocumentBytes) + " bytes");
        return std::nullopt;
    }
    if (bytes.contains('\0')) {
        findings.add(Place {source, 0, 0, ""}, "is binary, not text");
        return std::nullopt;
    }
    Builder builder(source, findings);
    try {
        std::istringstream in(bytes.toStdString());
        YAML::Parser parser(in);
        parser.HandleNextDocument(builder);
    } catch (const YAML::Exception &ec) {
        findings.add(Place {source, ec.mark.line + 1, ec.mark.column + 1, ""}, ec.msg);
        return std::nullopt;
    }
    if (!builder.root().isObject()) {
        findings.add(Place {source, 0, 0, ""}, "must hold a mapping");
    }
    if (findings.items().size() != before) {
        return std::nullopt;
    }
    YamlDocument out;
    out.m_source = source;
    out.m_root = builder.root().toObject();
    out.m_places = builder.takePlaces();
    return out;
}

std::optional<YamlDocument> YamlDocument::load(const std::string &path, Findings &findings)
{
    QFile file(toQt(path));
    if (!file.open(QIODevice::ReadOnly)) {
        findings.add(Place {path, 0, 0, ""}, "can't be read: " + file.errorString().toStdString());
        return std::nullopt;
    }
    return parse(file.read(MaxDocumentBytes + 1), path, findings);
}

void YamlDocument::locate(const Findings &from, Findings &to) const
{
    for (const auto &it : from.items()) {
        Place place {m_source, 0, 0, it.place.pointer};
        std::string pointer = it.place.pointer;
        auto found = m_places.find(pointer);
        while (found == m_places.end() && !pointer.empty()) {
            pointer.erase(pointer.rfind('/'));
            found = m_places.find(pointer);
        }
        if (found != m_places.end()) {
            place.line = found->second.line;
            place.column = found->second.column;
        }
        to.add(place, it.message);
    }
}

} // namespace marjoramhaven
