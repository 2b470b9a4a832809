#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace marjoramhaven {

// Messages between processes. Each message is encoded as a msgpack array of its fields, in the order that fieldsOf() lists them. For compatibility
// between versions, a reader leaves fields that an older peer did not send at their defaults, and ignores additional elements from a newer peer.

/// Version of the message format, which each process sends in its HelloMessage.
inline constexpr int WireVersion = 1;

/// The first message on a link; introduces the sender.
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

/// A heartbeat. Sent to each peer of the same zone at every heartbeat interval, and by the leader of a zone to peers of other zones once a second.
struct HeartbeatMessage {
    /// The highest leadership epoch that the sender has seen.
    std::int64_t epoch = 0;
    /// Whether the sender leads its zone.
    bool isLeading = false;
    /// Name of the leader that the sender follows; empty when it knows none.
    std::string followedLeader;
    /// Milliseconds since the sender last heard from that leader; -1 when it knows none.
    std::int64_t leaderAgeMillis = -1;
    /// The sender's clock in milliseconds; the peer returns it in the `echoedSentAt` of its next heartbeat.
    std::int64_t sentAt = 0;
    /// The `sentAt` of the last heartbeat received from the peer.
    std::int64_t echoedSentAt = 0;
    /// Number and hash of the configuration version in force at the sender.
    std::int64_t configurationNumber = 0;
    std::uint64_t configurationHash = 0;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.epoch,
                        self.isLeading,
                        self.followedLeader,
                        self.leaderAgeMillis,
                        self.sentAt,
                        self.echoedSentAt,
                        self.configurationNumber,
                        self.configurationHash);
    }
};

/// Asks the leader for a decision on a short request.
struct ShortRequestMessage {
    /// Identifies the request; the answer carries the same value.
    std::uint64_t call = 0;
    /// The specification as JSON text.
    std::string spec;
    /// Time left for the decision, in milliseconds.
    std::int64_t budgetMs = 0;
    /// The trace context as in the W3C `traceparent` header.
    std::string traceparent;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.spec, self.budgetMs, self.traceparent);
    }
};

/// The leader's decision on a short request (see ShortRequestDecision).
struct ShortResponseMessage {
    std::uint64_t call = 0;
    /// Name of the ShortRequestVerdict.
    std::string verdict;
    /// Why the request was refused.
    std::string reason;
    /// Time after which a refused client may retry.
    std::int64_t retryAfterMs = 0;
    /// Base URL of the worker that runs the attempt.
    std::string workerUrl;
    /// The StartRequest to send to the worker, as JSON text.
    std::string start;
    /// Name of the TaskOutcome and the result, when the request has already ended.
    std::string outcome;
    std::string result;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.verdict, self.reason, self.retryAfterMs, self.workerUrl, self.start, self.outcome, self.result);
    }
};

/// Tells the leader that an attempt of a short request has not started and never will.
struct ShortAttemptClosedMessage {
    std::string key;
    std::string task;
    std::int64_t attempt = 0;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.key, self.task, self.attempt);
    }
};

/// Asks a peer for the accepted configuration versions above a number.
struct ConfigurationRequestMessage {
    std::int64_t above = 0;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.above);
    }
};

/// Accepted configuration versions, oldest first, each as JSON text.
struct ConfigurationUpdateMessage {
    std::vector<std::string> versions;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.versions);
    }
};

/// Asks the leader whether a job could ever run on the zone's workers, and how many of its tasks are running.
struct JobQueryMessage {
    std::uint64_t call = 0;
    /// Id of the job.
    std::string id;
    /// Resources of one task as JSON text.
    std::string resources;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.id, self.resources);
    }
};

/// The leader's answer to JobQueryMessage.
struct JobQueryResponseMessage {
    std::uint64_t call = 0;
    /// False when the asked process does not lead; the other fields then have their defaults.
    bool isLeading = false;
    /// Whether some worker is large enough for a task of the job.
    bool couldFit = true;
    /// Number of running tasks of the job.
    int running = 0;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.isLeading, self.couldFit, self.running);
    }
};

/// A heartbeat between processes of the fleet scheduler. It carries the planner that the sender knows and the version of its configuration.
struct FleetHeartbeatMessage {
    /// The planner's fencing token.
    std::int64_t fencingToken = 0;
    /// Name and listening address of the planner; empty when the sender knows none.
    std::string planner;
    std::string plannerHost;
    int plannerPort = 0;
    /// True when the sender is the planner and can't reach the log.
    bool isPlannerLogUnreachable = false;
    /// Version of the sender's configuration; -1 when it has none.
    std::int64_t configurationVersion = -1;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.fencingToken, self.planner, self.plannerHost, self.plannerPort, self.isPlannerLogUnreachable, self.configurationVersion);
    }
};

/// The text of a configuration as the operators wrote it, for a process that can't read it by itself.
struct FleetConfigurationMessage {
    std::string text;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.text);
    }
};

/// Asks a peer for its configuration, if that is newer than the sender's. Answered with a FleetConfigurationMessage.
struct FleetConfigurationRequestMessage {
    /// Version of the sender's configuration; -1 when it has none.
    std::int64_t version = -1;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.version);
    }
};

/// Asks the planner for the state of a job, or for the number of pending jobs of a queue.
struct FleetQueryMessage {
    std::uint64_t call = 0;
    /// The job; when empty, `host` and `prefix` select the queue.
    std::string job;
    std::string host;
    std::string prefix;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.job, self.host, self.prefix);
    }
};

/// The answer to FleetQueryMessage.
struct FleetQueryResponseMessage {
    std::uint64_t call = 0;
    /// False when the asked process is not the planner.
    bool isLeading = false;
    /// Whether the job exists. Always true for a query about a queue.
    bool isKnown = false;
    /// Name of the job's FleetJobState.
    std::string state;
    /// Number of pending jobs of the queue.
    std::int64_t pending = 0;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.isLeading, self.isKnown, self.state, self.pending);
    }
};

/// Asks a process to call the advisor on behalf of the sender.
struct FleetAdviceRequestMessage {
    std::uint64_t call = 0;
    std::string step;
    /// Ids of the workers that are asked about.
    std::vector<std::string> workers;
    std::int64_t timeoutMs = 0;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.step, self.workers, self.timeoutMs);
    }
};

/// The advisor's answer. The lists of workers and tickets are parallel: each ticket belongs to the worker at the same index.
struct FleetAdviceResponseMessage {
    std::uint64_t call = 0;
    /// Whether the advisor answered.
    bool isAnswered = false;
    /// Whether the advisor refused the call because too many calls from the machine were waiting.
    bool isBusy = false;
    /// The workers that may run the step.
    std::vector<std::string> workers;
    std::vector<std::string> tickets;
    /// Why there is no answer.
    std::string reason;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.isAnswered, self.isBusy, self.workers, self.tickets, self.reason);
    }
};

/// Asks a process that can reach the store to write a record of a job for the sender, which can't.
struct FleetStoreRequestMessage {
    std::uint64_t call = 0;
    std::string key;
    std::string value;
    /// Time limit for storing the record, in milliseconds.
    std::int64_t budgetMs = 0;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.key, self.value, self.budgetMs);
    }
};

/// The result of FleetStoreRequestMessage.
struct FleetStoreResponseMessage {
    std::uint64_t call = 0;
    /// Name of the SubmitOutcome.
    std::string verdict;
    /// Why the record was not stored.
    std::string reason;
    template<typename Self>
    static auto fieldsOf(Self &self)
    {
        return std::tie(self.call, self.verdict, self.reason);
    }
};

/// All messages. The index of an alternative is its type on the wire, so new messages are added only at the end.
using PeerMessage = std::variant<HelloMessage,
                                 HeartbeatMessage,
                                 ShortRequestMessage,
                                 ShortResponseMessage,
                                 ShortAttemptClosedMessage,
                                 ConfigurationRequestMessage,
                                 ConfigurationUpdateMessage,
                                 JobQueryMessage,
                                 JobQueryResponseMessage,
                                 FleetHeartbeatMessage,
                                 FleetConfigurationMessage,
                                 FleetQueryMessage,
                                 FleetQueryResponseMessage,
                                 FleetAdviceRequestMessage,
                                 FleetAdviceResponseMessage,
                                 FleetStoreRequestMessage,
                                 FleetStoreResponseMessage,
                                 FleetConfigurationRequestMessage>;

} // namespace marjoramhaven
