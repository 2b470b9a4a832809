#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "marjoramhaven/base/Time.h"
#include "marjoramhaven/http/HttpServer.h"

namespace marjoramhaven::test {

/// The metadata store of a stand-in platform: a log of keyed records in topics, served over the users' platform's HTTP protocol.
class StoreStandIn
{
public:
    /// The ports that one reader of the store finds in place of others, such as those of proxies on its own way there.
    using PortView = std::map<int, int>;

    /// Maximum number of records in a page of the newest ones. Small, so that short tests read several pages.
    std::size_t newestPageSize = 3;
    /// Largest record that the store takes, in bytes. An append with a larger one gets status 400.
    std::int64_t maxRecordBytes = 262'144;

    /// Appends a record to a topic, as an operator or a worker does. Without a value, the record deletes the key.
    void put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);
    /// Takes the store down or up. While it is down, every call to it gets status 503.
    void setDown(bool isDown) { m_isDown = isDown; }
    /// While true, the store carries out appends but does not answer them.
    void setLosingAppendAnswers(bool isLosing) { m_isLosingAppendAnswers = isLosing; }
    /// Compacts a topic: reads from any offset before its present end get status 410, and only the newest record of each key can be fetched.
    void compact(const std::string &topic);
    /// Returns the value of the newest record with a key in a topic, or `std::nullopt` if there is none.
    std::optional<std::string> newestValue(const std::string &topic, const std::string &key) const;
    std::size_t topicSize(const std::string &topic) const;

    /// Carries out a call from a reader with this view, which has to outlive the call.
    void handle(const HttpRequest &request, const PortView &view, HttpRespond respond);
    /// Answers the reads that have waited for long enough, or whose topic has got a record.
    void answerDueReads(TimePoint now);

private:
    struct Topic {
        std::vector<std::pair<std::string, std::optional<std::string>>> records;
        std::int64_t first = 0;
        std::map<std::string, std::pair<std::int64_t, std::int64_t>> producers;
    };
    struct PendingRead {
        const PortView *view = nullptr;
        std::string topic;
        std::int64_t from = 0;
        qsizetype maxBytes = 0;
        TimePoint until;
        HttpRespond respond;
    };

    HttpResponse append(const HttpRequest &request);
    bool hasTooLargeRecord(const QByteArray &records) const;
    HttpResponse newest(const HttpRequest &request, const PortView &view) const;
    // Returns the value of a record as a reader with this view finds it.
    static std::string valueIn(const PortView &view, const std::string &topic, const std::string &value);
    HttpResponse readRecords(const PendingRead &reader) const;

    std::map<std::string, Topic> m_topics;
    std::vector<PendingRead> m_pendingReads;
    bool m_isDown = false;
    bool m_isLosingAppendAnswers = false;
};

} // namespace marjoramhaven::test
