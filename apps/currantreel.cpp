/// @file
/// The command-line tool. Exit status: 0 success; 1 negative result (rejected, different, outcome
/// not met, or version not in force in time); 2 invalid usage or input; 3 host unreachable.

#include "ToolCommands.h"
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <fmt/format.h>

namespace {

constexpr const char *usageText =
    "Checks and manages the router's settings, configuration and hosts.\n"
    "usage: currantreel COMMAND [ARGUMENT...]\n"
    "  check-settings FILE              check the settings of a host\n"
    "  config check FILE                check a configuration document\n"
    "  config init DIRECTORY FILE       create a directory of values with FILE as version 1\n"
    "  config check SOURCE PATCH        give the verdict on a patch; SOURCE is DIRECTORY,\n"
    "                                   DIRECTORY@POSITION or a host's operator address\n"
    "  config propose SOURCE FILE       print FILE as a patch, with --author and --reason or\n"
    "                                   --rebase, and give the verdict\n"
    "  config submit DIRECTORY PATCH    publish an accepted patch\n"
    "  config show SOURCE               show the document in force\n"
    "  config diff SOURCE OTHER         compare with another source or a patch; 1 if they differ\n"
    "  config wait VERSION HOST...      wait until the hosts have the version in force\n"
    "  config audit SOURCE              list the verdicts on patches\n"
    "  status HOST...                   show the status of hosts at operator addresses\n"
    "  quarantine list HOST             list the quarantined prompt segments of a host\n"
    "  quarantine clear HOST SEGMENT    end the quarantine of a segment on all hosts\n"
    "  replay TRACE                     replay a trace in virtual time; --expect, --policy, "
    "--seed, --compare\n"
    "  codes                            list the numbered result codes";

} // namespace

int main(int argc, char **argv)
{
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("currantreel " CURRANTREEL_VERSION "\n"); };
    absl::SetFlagsUsageConfig(usage);
    absl::SetProgramUsageMessage(usageText);
    const std::vector<char *> positional = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> arguments(positional.begin() + 1, positional.end());
    return currantreel::tool::run(arguments);
}
