#include "ExplainCommand.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "CommandLine.h"
#include "JobTimeline.h"

namespace marjoramhaven {

namespace {

using Json = nlohmann::ordered_json;

constexpr double MillisPerSecond = 1000;
// Members that every event has. The timeline shows "at", "node" and "event" in columns of their own and leaves out "up".
const std::set<std::string> CommonMembers {"at", "up", "node", "event"};
// Events that name no job but affect every job: changes of the planning process and outages of the log store.
const std::set<std::string> FleetWideEvents {"planner_open", "planner_end", "planner_ready", "store_lost", "store_regained"};

struct Event {
    std::int64_t at = 0;
    Json body;
};

bool mentionsJob(const Json &body, const std::string &job)
{
    for (const auto *key : {"id", "task", "step"}) {
        const auto it = body.find(key);
        if (it != body.end() && it->is_string()) {
            const auto text = it->get<std::string>();
            if (text == job || text.starts_with(job + ".")) {
                return true;
            }
        }
    }
    return false;
}

std::vector<Event> readEvents(const std::vector<std::string> &lines)
{
    std::vector<Event> out;
    for (const auto &line : lines) {
        const auto at = line.find('{');
        auto body = at == std::string::npos ? Json() : Json::parse(line.substr(at), nullptr, false);
        if (body.is_object() && body.contains("at") && body["at"].is_number() && body.contains("event") && body["event"].is_string()) {
            const auto when = body["at"].get<std::int64_t>();
            out.push_back({when, std::move(body)});
        }
    }
    std::stable_sort(out.begin(), out.end(), [](const Event &a, const Event &b) {
        return a.at < b.at;
    });
    return out;
}

std::string formatEvent(const Event &event, std::int64_t firstAt)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(3) << std::setw(9) << static_cast<double>(event.at - firstAt) / MillisPerSecond << " s  "
        << event.body.value("node", "?") << "  " << event.body["event"].get<std::string>();
    for (const auto &[key, value] : event.body.items()) {
        if (!CommonMembers.contains(key)) {
            out << "  " << key << "=" << (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return out.str();
}

// Describes each event that a complete timeline contains and this one lacks.
std::vector<std::string> describeMissingEvents(const std::map<std::string, int> &counts)
{
    const std::pair<const char *, const char *> expected[] = {
        {"submit", "no process logged an answer to its submission (the log of that process is missing, or the caller never reached one)"},
        {"job_known", "no planner received the job (it was not stored, or the planner's log is missing)"},
        {"run_placed", "no task was ever placed: see the step_waits and advice events above, and which other tasks were placed meanwhile"},
        {"job_ended", "it has not ended"},
    };
    std::vector<std::string> out;
    for (const auto &[event, text] : expected) {
        if (!counts.contains(event)) {
            out.push_back(std::string("missing: ") + text);
        }
    }
    return out;
}

std::vector<std::string> phaseLines(const std::vector<TimelineEvent> &timeline)
{
    std::vector<std::pair<std::int64_t, JobPhase>> times;
    for (const auto &[phase, ms] : phaseDurations(timeline)) {
        times.emplace_back(ms, phase);
    }
    std::sort(times.rbegin(), times.rend());
    std::vector<std::string> out;
    for (const auto &[ms, phase] : times) {
        if (ms > 0) {
            out.push_back("spent " + std::to_string(ms) + " ms " + std::string(nameOf(phase)));
        }
    }
    return out;
}

} // namespace

std::vector<std::string> explainJob(const std::string &job, const std::vector<std::string> &logLines)
{
    const auto events = readEvents(logLines);
    std::vector<std::string> out;
    std::vector<TimelineEvent> timeline;
    std::map<std::string, int> counts;
    std::int64_t firstAt = 0;
    std::int64_t lastAt = 0;
    for (const auto &it : events) {
        if (mentionsJob(it.body, job)) {
            firstAt = firstAt == 0 ? it.at : firstAt;
            lastAt = it.at;
            ++counts[it.body["event"].get<std::string>()];
        }
    }
    if (counts.empty()) {
        return {"no event in these logs names job " + job};
    }
    for (const auto &it : events) {
        const bool isFleetWide = it.at >= firstAt && it.at <= lastAt && FleetWideEvents.contains(it.body["event"].get<std::string>());
        if (isFleetWide || mentionsJob(it.body, job)) {
            out.push_back(formatEvent(it, firstAt));
            timeline.push_back({it.at, it.body["event"].get<std::string>(), it.body.value("end", "")});
        }
    }
    for (auto &it : phaseLines(timeline)) {
        out.push_back(std::move(it));
    }
    for (auto &it : describeMissingEvents(counts)) {
        out.push_back(std::move(it));
    }
    return out;
}

ExitCode runExplain(std::vector<std::string> arguments)
{
    TCLAP::CmdLine line("Shows the timeline of a job from the event logs of all processes.", ' ', MARJORAMHAVEN_VERSION);
    line.setExceptionHandling(false);
    TCLAP::UnlabeledValueArg<std::string> job("id", "The job's id", true, "", "ID", line);
    TCLAP::UnlabeledMultiArg<std::string> files("files", "Event logs", true, "FILE", line);
    line.parse(arguments);
    std::vector<std::string> lines;
    for (const auto &it : files.getValue()) {
        std::ifstream in(it);
        if (!in) {
            printError("can't open the event log " + it);
            return ExitCode::Failed;
        }
        for (std::string text; std::getline(in, text);) {
            lines.push_back(std::move(text));
        }
    }
    for (const auto &it : explainJob(job.getValue(), lines)) {
        std::cout << it << "\n";
    }
    std::cout.flush();
    return ExitCode::Ok;
}

} // namespace marjoramhaven
