#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace marjoramhaven {

// Messages between entry processes. Each lists its fields in the order of the wire, and is a msgpack array: a reader takes a shorter array from an older
// neighbour, leaving the rest at their defaults, and ignores further elements from a newer one.

/// Version of the messages; a process greets with it.
inline constexpr int WireVersion = 1;

/// The first message on a link: who speaks.
struct HelloMessage {
    int version = WireVersion;
    std::string name;
    std::string zone;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.version, self.name, self.zone);
    }
};

/// Sent to each peer of the zone at every beat, and to peers of other zones once a second.
struct BeatMessage {
    std::int64_t epoch = 0;
    bool leading = false;
    std::string follows;
    std::int64_t leaderAge = -1;
    /// The sender's clock; the peer's next beat echoes it.
    std::int64_t sentAt = 0;
    std::int64_t echo = 0;
    std::int64_t configurationNumber = 0;
    std::uint64_t configurationHash = 0;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.epoch, self.leading, self.follows, self.leaderAge, self.sentAt, self.echo, self.configurationNumber, self.configurationHash);
    }
};

/// Asks the leader to decide a short request. The specification is JSON text.
struct ShortAskMessage {
    std::uint64_t call = 0;
    std::string spec;
    std::int64_t budgetMs = 0;
    std::string traceparent;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.spec, self.budgetMs, self.traceparent);
    }
};

/// The leader's decision.
struct ShortAnswerMessage {
    std::uint64_t call = 0;
    std::string verdict;
    std::string reason;
    std::int64_t retryAfterMs = 0;
    std::string workerUrl;
    /// The start to send, as JSON text.
    std::string start;
    std::string outcome;
    std::string result;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.verdict, self.reason, self.retryAfterMs, self.workerUrl, self.start, self.outcome, self.result);
    }
};

/// Tells the leader that an attempt did not start and never will.
struct ShortClosedMessage {
    std::string key;
    std::string task;
    std::int64_t attempt = 0;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.key, self.task, self.attempt);
    }
};

/// Asks for accepted configuration versions above a number.
struct ConfigurationAskMessage {
    std::int64_t above = 0;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.above);
    }
};

/// Accepted configuration versions, oldest first, each as JSON text.
struct ConfigurationNewsMessage {
    std::vector<std::string> versions;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.versions);
    }
};

/// Asks the leader whether a job could ever run, and what of it runs now.
struct JobAskMessage {
    std::uint64_t call = 0;
    std::string id;
    std::string resources;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.id, self.resources);
    }
};

/// What the leader says of a job.
struct JobAnswerMessage {
    std::uint64_t call = 0;
    bool leading = false;
    bool couldFit = true;
    int running = 0;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.leading, self.couldFit, self.running);
    }
};

/// Keeps a link of the fleet scheduler known to be alive, and tells what the sender knows: the planner with its token, and the configuration's version.
struct FleetBeatMessage {
    std::int64_t fence = 0;
    std::string planner;
    std::string plannerHost;
    int plannerPort = 0;
    /// True when the sender plans and can't reach the log.
    bool isPlannerBlind = false;
    std::int64_t configurationVersion = -1;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.fence, self.planner, self.plannerHost, self.plannerPort, self.isPlannerBlind, self.configurationVersion);
    }
};

/// A configuration as the operators wrote it, for a process that can't read it itself.
struct FleetConfigurationMessage {
    std::string text;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.text);
    }
};

/// Asks the planner for a job's state, or for the number of pending jobs of a queue when no job is named.
struct FleetQueryMessage {
    std::uint64_t call = 0;
    std::string job;
    std::string host;
    std::string prefix;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.job, self.host, self.prefix);
    }
};

/// The planner's answer; not leading when the asked process does not plan.
struct FleetQueryAnswerMessage {
    std::uint64_t call = 0;
    bool isLeading = false;
    bool isKnown = false;
    std::string state;
    std::int64_t pending = 0;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.isLeading, self.isKnown, self.state, self.pending);
    }
};

/// Asks a process to ask the advisor.
struct FleetAdviceAskMessage {
    std::uint64_t call = 0;
    std::string step;
    std::vector<std::string> workers;
    std::int64_t timeoutMs = 0;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.step, self.workers, self.timeoutMs);
    }
};

/// The advisor's answer; the lists of workers and tickets go in step.
struct FleetAdviceAnswerMessage {
    std::uint64_t call = 0;
    bool isAnswered = false;
    bool isBusy = false;
    std::vector<std::string> workers;
    std::vector<std::string> tickets;
    std::string reason;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.isAnswered, self.isBusy, self.workers, self.tickets, self.reason);
    }
};

/// Asks a process that reaches the store to store a record of a job for one that doesn't.
struct FleetStoreAskMessage {
    std::uint64_t call = 0;
    std::string key;
    std::string value;
    std::int64_t budgetMs = 0;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.key, self.value, self.budgetMs);
    }
};

/// How that went, by the name of the verdict.
struct FleetStoreAnswerMessage {
    std::uint64_t call = 0;
    std::string verdict;
    std::string reason;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.verdict, self.reason);
    }
};

using PeerMessage = std::variant<HelloMessage,
                                 BeatMessage,
                                 ShortAskMessage,
                                 ShortAnswerMessage,
                                 ShortClosedMessage,
                                 ConfigurationAskMessage,
                                 ConfigurationNewsMessage,
                                 JobAskMessage,
                                 JobAnswerMessage,
                                 FleetBeatMessage,
                                 FleetConfigurationMessage,
                                 FleetQueryMessage,
                                 FleetQueryAnswerMessage,
                                 FleetAdviceAskMessage,
                                 FleetAdviceAnswerMessage,
                                 FleetStoreAskMessage,
                                 FleetStoreAnswerMessage>;

} // namespace marjoramhaven
