#include <QCoreApplication>
#include <cstdlib>
#include <iostream>
#include <map>

#include "SmallFleet.h"
#include "marjoramhaven/telemetry/Log.h"

using namespace marjoramhaven;
using namespace marjoramhaven::review;

namespace {

constexpr int Processes = 3;

struct Case {
    CaseResult (*play)(SmallFleet &, bool);
    int workers;
};

const std::map<std::string, Case> Cases = {
    {"late-lasting-start", {playLateLastingStart, 12}},
    {"silent-channels", {playSilentChannels, 4}},
    {"changed-settings", {playChangedSettings, 4}},
};

} // namespace

// Plays one case: review-cases NAME PROGRAM RECORD. The environment variable TROUBLE=0 leaves the disruption out.
int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    setUpLogging("off");
    constexpr int Arguments = 4;
    const auto found = argc == Arguments ? Cases.find(argv[1]) : Cases.end();
    if (found == Cases.end()) {
        std::cerr << "usage: review-cases NAME PROGRAM RECORD" << std::endl;
        return static_cast<int>(CaseResult::NotRun);
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    SmallFleet fleet(Processes, found->second.workers, QString::fromLocal8Bit(argv[2]), argv[3]);
    const auto result = found->second.play(fleet, hasTrouble);
    const char *text = result == CaseResult::RuleBroken ? "the rule was broken" : result == CaseResult::RuleHeld ? "the rule held" : "the case could not run";
    fleet.note(text);
    std::cout << text << std::endl;
    return static_cast<int>(result);
}
