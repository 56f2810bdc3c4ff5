/// @file
/// The daemon that runs one host of the router.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <currantreel/Settings>
#include <currantreel/Shell>
#include <fmt/format.h>
#include <sodium.h>

ABSL_FLAG(std::string, settings, "", "path of the host's settings file (TOML)");

namespace {

constexpr int exitUsage = 2;

} // namespace

int main(int argc, char **argv)
{
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("currantreeld " CURRANTREEL_VERSION "\n"); };
    absl::SetFlagsUsageConfig(usage);
    absl::SetProgramUsageMessage("Runs one host of the router.\n"
                                 "usage: currantreeld --settings FILE");
    absl::ParseCommandLine(argc, argv);
    if (sodium_init() < 0)
        return EXIT_FAILURE;
    const auto loaded = currantreel::loadHostSettings(absl::GetFlag(FLAGS_settings));
    if (const auto *faults = std::get_if<currantreel::FaultList>(&loaded)) {
        for (const currantreel::Fault &fault : *faults)
            fmt::print(stderr, "{}\n", currantreel::toText(fault));
        return exitUsage;
    }
    const auto &settings = std::get<currantreel::HostSettings>(loaded);
    if (settings.forward) {
        currantreel::ForwardDaemon daemon(settings, absl::GetFlag(FLAGS_settings));
        return daemon.run();
    }
    currantreel::Daemon daemon(settings);
    return daemon.run();
}
