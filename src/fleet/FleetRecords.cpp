#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/base/Msgpack.h"
#include "marjoramhaven/fleet/FleetJob.h"

MSGPACK_ADD_ENUM(marjoramhaven::FleetJobState)

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    // Order of the fields of a stored type in its msgpack array. Readers accept shorter arrays, which older versions wrote, and longer ones.
    template<typename T>
    struct FieldOrder;

    template<>
    struct FieldOrder<marjoramhaven::FleetResources> {
        static auto of(auto &it) { return std::tie(it.cpuMilli, it.memoryMb, it.gpus); }
    };

    template<>
    struct FieldOrder<marjoramhaven::StepSpec> {
        static auto of(auto &it)
        {
            return std::tie(it.taskCount,
                            it.needs,
                            it.estimateMs,
                            it.after,
                            it.checkpoints,
                            it.isGang,
                            it.isRackLocal,
                            it.allowsSpeculation,
                            it.isLongRunning,
                            it.isBestEffort,
                            it.requiredLabel,
                            it.preferredRack,
                            it.maxPerWorker,
                            it.image,
                            it.latencyTargetMs,
                            it.maxUnavailable);
        }
    };

    template<>
    struct FieldOrder<marjoramhaven::QueuePolicy> {
        static auto of(auto &it)
        {
            return std::tie(it.name,
                            it.host,
                            it.prefix,
                            it.service,
                            it.priority,
                            it.maxAttempts,
                            it.slackFactor,
                            it.objectiveMs,
                            it.needsAdvice,
                            it.adviceBaseMs,
                            it.advicePerWorkerMs,
                            it.ticketValidityMs);
        }
    };

    template<>
    struct FieldOrder<marjoramhaven::FleetJobRequest> {
        static auto of(auto &it)
        {
            return std::tie(it.id, it.queue, it.payload, it.steps, it.firstDueUnixMs, it.repeatIntervalMs, it.repeatCount, it.acceptedUnixMs);
        }
    };

    template<>
    struct FieldOrder<marjoramhaven::RunRecord> {
        static auto of(auto &it) { return std::tie(it.attempt, it.worker, it.workerStartedUnixMs, it.isOrphaned, it.mayHoldLateLease, it.mayStartLate); }
    };

    template<>
    struct FieldOrder<marjoramhaven::GivenUpStartRecord> {
        static auto of(auto &it) { return std::tie(it.attempt, it.worker); }
    };

    template<>
    struct FieldOrder<marjoramhaven::TaskRecord> {
        static auto of(auto &it)
        {
            return std::tie(
                it.occurrence, it.step, it.index, it.lastAttempt, it.failedAttempts, it.isDone, it.checkpoint, it.runs, it.olderFailures, it.givenUpStarts);
        }
    };

    template<>
    struct FieldOrder<marjoramhaven::JobRecord> {
        static auto of(auto &it) { return std::tie(it.job, it.state, it.tasks, it.part); }
    };

    template<typename T>
    concept HasFieldOrder = requires(T &it)
    {
        FieldOrder<T>::of(it);
    };

    template<HasFieldOrder T>
    struct pack<T> {
        template<typename Stream>
        packer<Stream> &operator()(packer<Stream> &out, const T &value) const
        {
            std::apply(
                [&](const auto &...field) {
                    out.pack_array(sizeof...(field));
                    (out.pack(field), ...);
                },
                FieldOrder<T>::of(value));
            return out;
        }
    };

    template<HasFieldOrder T>
    struct convert<T> {
        const msgpack::object &operator()(const msgpack::object &from, T &value) const
        {
            if (from.type != type::ARRAY) {
                throw type_error();
            }
            std::apply(
                [&](auto &...field) {
                    std::uint32_t i = 0;
                    ((i < from.via.array.size ? (from.via.array.ptr[i].convert(field), ++i) : i), ...);
                },
                FieldOrder<T>::of(value));
            return from;
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

namespace marjoramhaven {

namespace {

template<typename T>
std::string encode(const T &value)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, value);
    return {buf.data(), buf.size()};
}

template<typename T>
std::optional<T> decode(const std::string &bytes)
{
    try {
        const auto handle = unpackLimited(bytes.data(), bytes.size());
        return handle.get().as<T>();
    } catch (const std::exception &ec) {
        setLastReason(std::string("malformed stored record: ") + ec.what());
        return std::nullopt;
    }
}

} // namespace

std::string encodeJobRequest(const FleetJobRequest &request)
{
    return encode(request);
}

std::optional<FleetJobRequest> decodeJobRequest(const std::string &bytes)
{
    auto out = decode<FleetJobRequest>(bytes);
    return out && isValidRequest(*out) ? std::move(out) : std::nullopt;
}

std::string encodeJobRecord(const JobRecord &record)
{
    return encode(record);
}

std::optional<JobRecord> decodeJobRecord(const std::string &bytes)
{
    return decode<JobRecord>(bytes);
}

} // namespace marjoramhaven
