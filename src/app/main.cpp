#include <csignal>
#include <cstring>

#include "marjoramhaven/base/GuardedApplication.h"
#include "marjoramhaven/cli/Commands.h"

namespace {

// A change of the settings may be announced at any moment of a start, and would end a process that has no handler yet. The dynamic linker calls this before it
// initialises any library. The settings are read later than that, so nothing is missed.
void ignoreReloadSignal(int argc, char **argv, char ** /*environment*/)
{
    const bool isServer = argc > 1 && (std::strcmp(argv[1], "node") == 0 || std::strcmp(argv[1], "serve") == 0);
    if (isServer) {
        std::signal(SIGHUP, SIG_IGN);
    }
}

__attribute__((section(".preinit_array"), used)) void (*const IgnoreReloadSignalFirst)(int, char **, char **) = ignoreReloadSignal;

} // namespace

int main(int argc, char **argv)
{
    const marjoramhaven::GuardedApplication application(argc, argv);
    return marjoramhaven::runProgram(argc, argv);
}
