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

// Builds JSON values from the parser's events and records the source location of each member.
class Builder : public YAML::EventHandler
{
public:
    Builder(std::string source, Findings &findings)
        : m_source(std::move(source))
        , m_findings(findings)
    {
    }

    QJsonValue root() const { return m_root; }
    std::map<std::string, SourceLocation> takeLocations() { return std::move(m_locations); }

    void OnDocumentStart(const YAML::Mark & /*mark*/) override { }
    void OnDocumentEnd() override { }
    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        checkAnchor(mark, anchor);
        addValue(mark, QJsonValue(QJsonValue::Null), "");
    }
    void OnAlias(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        report(mark, "aliases are not allowed");
        addValue(mark, QJsonValue(QJsonValue::Null), "");
    }
    void OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, const std::string &value) override
    {
        checkAnchor(mark, anchor);
        addValue(mark, tag == "!" ? QJsonValue(toQt(value)) : parsePlainScalar(value), value);
    }
    void OnSequenceStart(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t anchor, YAML::EmitterStyle::value /*style*/) override
    {
        beginContainer(mark, anchor, false);
    }
    void OnSequenceEnd() override { endContainer(); }
    void OnMapStart(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t anchor, YAML::EmitterStyle::value /*style*/) override
    {
        beginContainer(mark, anchor, true);
    }
    void OnMapEnd() override { endContainer(); }

private:
    struct Container {
        bool isMap = false;
        bool hasKey = false;
        YAML::Mark mark;
        std::string key;
        std::string pointer;
        QJsonObject object;
        QJsonArray array;
    };

    static QJsonValue parsePlainScalar(const std::string &value)
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

    SourceLocation locationOf(const YAML::Mark &mark, std::string pointer) const { return {m_source, mark.line + 1, mark.column + 1, std::move(pointer)}; }
    std::string currentPointer() const { return m_openContainers.empty() ? "" : m_openContainers.back().pointer; }
    void report(const YAML::Mark &mark, std::string message) { m_findings.add(locationOf(mark, currentPointer()), std::move(message)); }

    void checkAnchor(const YAML::Mark &mark, YAML::anchor_t anchor)
    {
        if (anchor != 0) {
            report(mark, "anchors are not allowed");
        }
    }

    std::string childPointer() const
    {
        if (m_openContainers.empty()) {
            return "";
        }
        const auto &top = m_openContainers.back();
        return top.pointer + "/" + (top.isMap ? top.key : std::to_string(top.array.size()));
    }

    void beginContainer(const YAML::Mark &mark, YAML::anchor_t anchor, bool isMap)
    {
        checkAnchor(mark, anchor);
        if (m_openContainers.size() >= MaxDepth) {
            throw YAML::ParserException(mark, "nested too deeply");
        }
        Container container;
        container.isMap = isMap;
        container.mark = mark;
        container.pointer = childPointer();
        m_openContainers.push_back(std::move(container));
    }

    void endContainer()
    {
        Container container = std::move(m_openContainers.back());
        m_openContainers.pop_back();
        addValue(container.mark, container.isMap ? QJsonValue(container.object) : QJsonValue(container.array), "");
    }

    void addValue(const YAML::Mark &mark, const QJsonValue &value, const std::string &text)
    {
        if (m_openContainers.empty()) {
            m_root = value;
            return;
        }
        auto &top = m_openContainers.back();
        if (top.isMap && !top.hasKey) {
            addKey(top, mark, value, text);
            return;
        }
        m_locations.try_emplace(childPointer(), locationOf(mark, childPointer()));
        if (top.isMap) {
            top.object.insert(toQt(top.key), value);
            top.hasKey = false;
        } else {
            top.array.append(value);
        }
    }

    void addKey(Container &top, const YAML::Mark &mark, const QJsonValue &value, const std::string &text)
    {
        top.hasKey = true;
        top.key = text;
        if (value.isObject() || value.isArray()) {
            report(mark, "a key must be a scalar, not a mapping or sequence");
        } else if (top.object.contains(toQt(text))) {
            m_findings.add(locationOf(mark, childPointer()), "is a duplicate key");
        }
        m_locations[childPointer()] = locationOf(mark, childPointer());
    }

    std::string m_source;
    Findings &m_findings;
    QJsonValue m_root {QJsonValue::Undefined};
    std::vector<Container> m_openContainers;
    std::map<std::string, SourceLocation> m_locations;
};

} // namespace

std::optional<YamlDocument> YamlDocument::parse(const QByteArray &bytes, const std::string &source, Findings &findings)
{
    const std::size_t before = findings.items().size();
    if (bytes.size() > MaxDocumentBytes) {
        findings.add(SourceLocation {source, 0, 0, ""}, "is larger than " + std::to_string(MaxDocumentBytes) + " bytes");
        return std::nullopt;
    }
    if (bytes.contains('\0')) {
        findings.add(SourceLocation {source, 0, 0, ""}, "is binary, not text");
        return std::nullopt;
    }
    Builder builder(source, findings);
    try {
        std::istringstream in(bytes.toStdString());
        YAML::Parser parser(in);
        parser.HandleNextDocument(builder);
    } catch (const YAML::Exception &ec) {
        findings.add(SourceLocation {source, ec.mark.line + 1, ec.mark.column + 1, ""}, ec.msg);
        return std::nullopt;
    }
    if (!builder.root().isObject()) {
        findings.add(SourceLocation {source, 0, 0, ""}, "must contain a mapping at its root");
    }
    if (findings.items().size() != before) {
        return std::nullopt;
    }
    YamlDocument out;
    out.m_source = source;
    out.m_root = builder.root().toObject();
    out.m_locations = builder.takeLocations();
    return out;
}

std::optional<YamlDocument> YamlDocument::load(const std::string &path, Findings &findings)
{
    QFile file(toQt(path));
    if (!file.open(QIODevice::ReadOnly)) {
        findings.add(SourceLocation {path, 0, 0, ""}, "can't be read: " + file.errorString().toStdString());
        return std::nullopt;
    }
    return parse(file.read(MaxDocumentBytes + 1), path, findings);
}

void YamlDocument::locate(const Findings &from, Findings &to) const
{
    for (const auto &it : from.items()) {
        SourceLocation location {m_source, 0, 0, it.location.pointer};
        std::string pointer = it.location.pointer;
        auto found = m_locations.find(pointer);
        while (found == m_locations.end() && !pointer.empty()) {
            pointer.erase(pointer.rfind('/'));
            found = m_locations.find(pointer);
        }
        if (found != m_locations.end()) {
            location.line = found->second.line;
            location.column = found->second.column;
        }
        to.add(location, it.message);
    }
}

} // namespace marjoramhaven
