#include "StoreStandIn.h"

#include <QUrlQuery>
#include <QtEndian>

#include "StandInResponses.h"
#include "marjoramhaven/fleet/PlannerElection.h"

namespace marjoramhaven::test {

using platform::Json;

namespace {

std::string queryOf(const HttpRequest &request, const char *key)
{
    return QUrlQuery(request.url).queryItemValue(QLatin1String(key), QUrl::FullyDecoded).toStdString();
}

std::int64_t numberOf(const HttpRequest &request, const char *key, std::int64_t fallback)
{
    const auto text = queryOf(request, key);
    return text.empty() ? fallback : std::stoll(text);
}

} // namespace

void StoreStandIn::put(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
    m_topics[topic].records.emplace_back(key, value);
}

void StoreStandIn::compact(const std::string &topic)
{
    auto &it = m_topics[topic];
    it.first = static_cast<std::int64_t>(it.records.size());
}

std::size_t StoreStandIn::topicSize(const std::string &topic) const
{
    const auto it = m_topics.find(topic);
    return it == m_topics.end() ? 0 : it->second.records.size();
}

std::optional<std::string> StoreStandIn::newestValue(const std::string &topic, const std::string &key) const
{
    const auto it = m_topics.find(topic);
    if (it == m_topics.end()) {
        return std::nullopt;
    }
    const auto &records = it->second.records;
    const auto found = std::find_if(records.rbegin(), records.rend(), [&key](const auto &record) {
        return record.first == key;
    });
    return found == records.rend() ? std::nullopt : found->second;
}

std::string StoreStandIn::valueIn(const PortView &view, const std::string &topic, const std::string &value)
{
    const auto portIn = [&view](int port) {
        const auto it = view.find(port);
        return it == view.end() ? port : it->second;
    };
    if (topic == "keyed.servers" && !view.empty()) {
        auto entry = Json::parse(value);
        const auto address = entry["address"].get<std::string>();
        const auto colon = address.find(':') + 1;
        entry["address"] = address.substr(0, colon) + std::to_string(portIn(std::stoi(address.substr(colon))));
        return entry.dump();
    }
    auto record = topic == "keyed.leadership" && !view.empty() ? decodeLeadership(value) : std::nullopt;
    if (!record) {
        return value;
    }
    record->port = portIn(record->port);
    return encodeLeadership(*record);
}

void StoreStandIn::handle(const HttpRequest &request, const PortView &view, HttpRespond respond)
{
    if (m_isDown) {
        respond(json(503, Json::object()));
    } else if (request.path == "/v1/log-append") {
        const auto answer = append(request);
        if (!m_isLosingAppendAnswers) {
            respond(answer);
        }
        answerDueReads(monotonicNow());
    } else if (request.path == "/v1/log-newest") {
        respond(newest(request, view));
    } else if (request.path == "/v1/log-read") {
        const auto wait = Millis(numberOf(request, "wait-ms", 0));
        m_pendingReads.push_back({&view,
                                  queryOf(request, "topic"),
                                  numberOf(request, "from", 0),
                                  numberOf(request, "max-kb", 1024) << 10,
                                  monotonicNow() + wait,
                                  std::move(respond)});
        answerDueReads(monotonicNow());
    } else {
        respond(json(404, Json::object()));
    }
}

bool StoreStandIn::hasTooLargeRecord(const QByteArray &records) const
{
    constexpr qsizetype LengthBytes = 4;
    qsizetype at = 0;
    while (at + LengthBytes <= records.size()) {
        const auto size = static_cast<qsizetype>(qFromBigEndian<quint32>(records.constData() + at));
        if (size > maxRecordBytes) {
            return true;
        }
        at += LengthBytes + size;
    }
    return false;
}

HttpResponse StoreStandIn::append(const HttpRequest &request)
{
    if (hasTooLargeRecord(request.body)) {
        return json(400, {{"reason", "record"}});
    }
    auto &topic = m_topics[queryOf(request, "topic")];
    const auto end = static_cast<std::int64_t>(topic.records.size());
    if (numberOf(request, "at", end) != end) {
        return json(412, {{"end-offset", end}});
    }
    const auto producer = queryOf(request, "producer");
    const auto epoch = numberOf(request, "epoch", 0);
    const auto sequence = numberOf(request, "sequence", 0);
    auto known = topic.producers.find(producer);
    if (!producer.empty() && known != topic.producers.end()) {
        if (epoch < known->second.first) {
            return json(409, {{"reason", "fenced"}});
        }
        if (epoch == known->second.first && sequence == known->second.second) {
            return json(200, {{"offset", end - 1}, {"end-offset", end}});
        }
        if (epoch == known->second.first && sequence != known->second.second + 1) {
            return json(409, {{"reason", "seq"}});
        }
    }
    if (!producer.empty()) {
        topic.producers[producer] = {epoch, sequence};
    }
    const auto &body = request.body;
    qsizetype at = 0;
    while (at + 4 <= body.size()) {
        const auto size = static_cast<qsizetype>(qFromBigEndian<quint32>(body.constData() + at));
        const auto keySize = static_cast<qsizetype>(static_cast<unsigned char>(body[at + 4]));
        const auto key = body.mid(at + 5, keySize).toStdString();
        const auto value = body.mid(at + 5 + keySize, size - 1 - keySize).toStdString();
        topic.records.emplace_back(key, value.empty() ? std::nullopt : std::optional(value));
        at += 4 + size;
    }
    return json(200, {{"offset", end}, {"end-offset", topic.records.size()}});
}

HttpResponse StoreStandIn::newest(const HttpRequest &request, const PortView &view) const
{
    const auto after = queryOf(request, "after");
    const auto name = queryOf(request, "topic");
    const auto topic = m_topics.find(name);
    std::map<std::string, std::pair<std::string, std::int64_t>> found;
    std::int64_t end = 0;
    if (topic != m_topics.end()) {
        for (const auto &[key, value] : topic->second.records) {
            found.erase(key);
            if (value) {
                found[key] = {*value, end};
            }
            ++end;
        }
    }
    Json items = Json::array();
    for (auto it = found.upper_bound(after); it != found.end() && items.size() < newestPageSize; ++it) {
        const auto value = QByteArray::fromStdString(valueIn(view, name, it->second.first)).toBase64().toStdString();
        items.push_back({{"key", it->first}, {"value", value}, {"offset", it->second.second}});
    }
    const bool hasMore = !items.empty() && found.upper_bound(items.back()["key"].get<std::string>()) != found.end();
    return json(200, {{"items", items}, {"has-more", hasMore}, {"end-offset", end}});
}

HttpResponse StoreStandIn::readRecords(const PendingRead &reader) const
{
    HttpResponse out;
    const auto topic = m_topics.find(reader.topic);
    const auto end = topic == m_topics.end() ? 0 : static_cast<std::int64_t>(topic->second.records.size());
    const auto first = topic == m_topics.end() ? 0 : topic->second.first;
    if (reader.from < first) {
        return json(410, {{"first-offset", first}});
    }
    out.body.resize(16);
    qToBigEndian(static_cast<quint64>(end), out.body.data());
    qToBigEndian(static_cast<quint64>(first), out.body.data() + 8);
    for (auto i = reader.from; i < end && (i == reader.from || out.body.size() < reader.maxBytes); ++i) {
        const auto &[key, stored] = topic->second.records[static_cast<std::size_t>(i)];
        const auto value = stored ? std::optional(valueIn(*reader.view, reader.topic, *stored)) : std::nullopt;
        QByteArray record(4, Qt::Uninitialized);
        qToBigEndian(static_cast<quint32>(1 + key.size() + (value ? value->size() : 0)), record.data());
        record.append(static_cast<char>(key.size()));
        record.append(key.data(), static_cast<qsizetype>(key.size()));
        if (value) {
            record.append(value->data(), static_cast<qsizetype>(value->size()));
        }
        out.body.append(record);
    }
    return out;
}

void StoreStandIn::answerDueReads(TimePoint now)
{
    std::vector<PendingRead> ready;
    std::erase_if(m_pendingReads, [&](PendingRead &it) {
        const bool isDue = it.until <= now || static_cast<std::int64_t>(topicSize(it.topic)) > it.from || it.from < m_topics[it.topic].first;
        if (isDue) {
            ready.push_back(it);
        }
        return isDue;
    });
    for (const auto &it : ready) {
        it.respond(m_isDown ? json(503, Json::object()) : readRecords(it));
    }
}

} // namespace marjoramhaven::test
