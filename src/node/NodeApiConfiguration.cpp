#include "marjoramhaven/node/NodeApi.h"

#include "ApiResponses.h"
#include "NodeApiLimits.h"
#include "marjoramhaven/base/Json.h"
#include "marjoramhaven/base/LastReason.h"
#include "marjoramhaven/config/MergePatch.h"

namespace marjoramhaven {

void NodeApi::postPatch(const HttpRequest &request, const HttpRespond &respond)
{
    constexpr std::size_t MaxIdBytes = 200;
    constexpr std::int64_t LargestVersion = 1'000'000'000;
    const auto object = parseJsonObject(request.body);
    if (!object) {
        respond(problemResponse(400, "refused", "", lastReason()));
        return;
    }
    Findings findings;
    JsonReader reader(*object, "", findings);
    ConfigurationPatch patch;
    patch.id = reader.requiredText("id", MaxIdBytes);
    patch.base = reader.integer("base", -1, 0, LargestVersion);
    patch.author = reader.text("author");
    patch.patch = reader.object("patch");
    reader.rejectUnknown();
    if (patch.base < 0 && findings.isEmpty()) {
        findings.add("/base", "is required");
    }
    if (!findings.isEmpty()) {
        respond(invalidResponse(findings));
        return;
    }
    const auto &history = m_shared.replicatedState.configuration();
    if (const auto known = history.verdict(patch.id)) {
        respond(verdictResponse(*known));
        return;
    }
    const auto current = history.current();
    PatchVerdict earlyVerdict;
    earlyVerdict.version = current.number;
    if (patch.base < current.number) {
        earlyVerdict.findings.add("/base",
                                  "the patch was written against version " + std::to_string(patch.base) + ", but version " + std::to_string(current.number)
                                      + " is in force");
    } else if (patch.base == current.number) {
        const auto next = Configuration::read(applyMergePatch(current.document, patch.patch), earlyVerdict.findings);
        if (next) {
            checkRemovedTeams(*next, earlyVerdict.findings);
        }
    }
    if (!earlyVerdict.findings.isEmpty()) {
        respond(verdictResponse(earlyVerdict));
        return;
    }
    appendPatch(patch, respond);
}

// Adds a finding for each team that has unfinished jobs and that the next configuration lacks, because accepted jobs must not lose their team. This is checked
// when the patch is submitted, since the verdict that is computed from the log considers no jobs.
void NodeApi::checkRemovedTeams(const Configuration &next, Findings &findings) const
{
    std::map<std::string, int> openJobs;
    m_shared.replicatedState.jobs().forEach([&](const JobEntry &it) {
        if (!it.isFinished() && next.team(it.spec.team) == nullptr) {
            ++openJobs[it.spec.team];
        }
    });
    for (const auto &[team, n] : openJobs) {
        findings.add("/teams/" + team, "still has " + std::to_string(n) + " open jobs; cancel them first");
    }
}

void NodeApi::appendPatch(const ConfigurationPatch &patch, const HttpRespond &respond)
{
    postTo(&m_core, [this, patch, respond]() {
        const bool evenIfFailing = false;
        if (!m_core.append(patch, evenIfFailing)) {
            postTo(this, [patch, respond, reason = lastReason()]() {
                respond(
                    problemResponse(503, "refused", patch.id, "the patch was not applied, because it can't be recorded in the log: " + reason, Millis(2000)));
            });
            return;
        }
        const auto condition = [this, id = patch.id]() {
            return m_shared.replicatedState.configuration().verdict(id).has_value();
        };
        m_core.whenApplied(condition, RecordTimeout, [this, id = patch.id, respond](bool) {
            postTo(this, [this, id, respond]() {
                const auto verdict = m_shared.replicatedState.configuration().verdict(id);
                respond(verdict ? verdictResponse(*verdict)
                                : problemResponse(
                                    504,
                                    "unknown",
                                    id,
                                    "the log did not confirm the patch within 5 s, so it may have been accepted or not; query it at /v1/config/patches/" + id));
            });
        });
    });
}

void NodeApi::getPatch(const std::string &id, const HttpRespond &respond)
{
    const auto verdict = m_shared.replicatedState.configuration().verdict(id);
    respond(verdict ? verdictResponse(*verdict)
                    : HttpResponse::problem(404, "not known", "no patch " + id + " is recorded, as far as this process has read the log"));
}

} // namespace marjoramhaven
