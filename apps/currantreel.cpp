/// @file
/// The command-line tool. Exit status: 0 all right, 1 the answer is no, 2 wrong usage or input,
/// 3 a host could not be reached.

#include "ToolCommands.h"
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <fmt/format.h>

namespace {

constexpr const char *usageText =
    "Works with the router's settings, configuration and hosts.\n"
    "usage: currantreel COMMAND [ARGUMENT...]\n"
    "  check-settings FILE              check a host's settings\n"
    "  config check FILE                check a configuration document\n"
    "  config init DIRECTORY FILE       lay out FILE as version 1 of a directory of values\n"
    "  config check SOURCE PATCH        give the verdict on a patch; SOURCE is DIRECTORY,\n"
    "                                   DIRECTORY@POSITION or a host's operator address\n"
    "  config propose SOURCE FILE       print FILE as a patch, with --author and --reason or\n"
    "                                   --rebase, and give the verdict\n"
    "  config submit DIRECTORY PATCH    publish an accepted patch\n"
    "  config show SOURCE               show the document in force\n"
    "  config diff SOURCE OTHER         compare with another source or a patch; 1 if they differ\n"
    "  config wait VERSION HOST...      wait until the hosts have the version in force\n"
    "  config audit SOURCE              list the verdicts on patches\n"
    "  status HOST...                   show hosts by their operator addresses\n"
    "  replay TRACE                     run a trace in virtual time; --expect, --policy, --seed, "
    "--compare\n"
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
