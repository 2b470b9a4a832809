#include "marjoramhaven/fleetnode/JobRecordStore.h"

#include <algorithm>

namespace marjoramhaven {

namespace {

// An append is not worth while with less time than this.
constexpr Millis MinAlternateTime {250};

} // namespace

JobRecordStore::JobRecordStore(StateLog &log)
    : m_main(log, StateTopic::Jobs)
    , m_alternate(log, StateTopic::JobsAlternate)
{
    m_main.onUnresponsive = [this]() {
        const auto now = monotonicNow();
        for (const auto &it : std::list<CallPtr>(m_calls)) {
            tryAlternate(it, now);
        }
    };
}

void JobRecordStore::setNotStoredHandler(const NotStored &handler)
{
    m_main.onNotStored = handler;
    m_alternate.onNotStored = handler;
}

void JobRecordStore::store(KeyedRecord record, TimePoint deadline, RecordWriter::Done done)
{
    const auto call = std::make_shared<Call>(Call {std::move(record), deadline, std::move(done)});
    m_calls.push_back(call);
    if (!m_main.isLogUnresponsive() || !tryAlternate(call, monotonicNow())) {
        storeIn(m_main, call);
    }
}

void JobRecordStore::setLogReachable(bool isReachable, TimePoint now)
{
    m_main.setLogReachable(isReachable, now);
    m_alternate.setLogReachable(isReachable, now);
}

bool JobRecordStore::tryAlternate(const CallPtr &call, TimePoint now)
{
    if (call->isAlternateTried || m_alternate.isLogUnresponsive() || call->deadline - now < MinAlternateTime) {
        return false;
    }
    call->isAlternateTried = true;
    storeIn(m_alternate, call);
    return true;
}

void JobRecordStore::storeIn(RecordWriter &writer, const CallPtr &call)
{
    ++call->pending;
    writer.store(call->record, call->deadline, [this, call](const SubmitResult &answer) {
        handleAnswer(call, answer);
    });
}

void JobRecordStore::handleAnswer(const CallPtr &call, const SubmitResult &answer)
{
    --call->pending;
    if (answer.outcome == SubmitOutcome::Accepted) {
        finish(call, answer);
        return;
    }
    call->mayBeStored = call->mayBeStored || answer.outcome == SubmitOutcome::Unknown;
    if (call->pending > 0 || tryAlternate(call, monotonicNow())) {
        return;
    }
    auto out = answer;
    if (call->mayBeStored) {
        out.outcome = SubmitOutcome::Unknown;
        out.retryAfter = Millis(0);
    }
    finish(call, out);
}

void JobRecordStore::finish(const CallPtr &call, const SubmitResult &answer)
{
    const auto it = std::find(m_calls.begin(), m_calls.end(), call);
    if (it != m_calls.end()) {
        m_calls.erase(it);
        call->done(answer);
    }
}

} // namespace marjoramhaven
