#include "ToolReplay.h"

#include "ToolCommands.h"
#include <absl/flags/flag.h>
#include <algorithm>
#include <currantreel/Configuration>
#include <currantreel/Replay>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <optional>
#include <sstream>

ABSL_FLAG(std::string, expect, "", "replay: file of stated outcomes, in TOML");
ABSL_FLAG(std::string, policy, "tiered",
          "replay: tiered, fifo, round-robin, least-reported-load or no-owner");
ABSL_FLAG(std::uint64_t, seed, 0, "replay: added to the seed of every stream of the trace");
ABSL_FLAG(bool, compare, false, "replay: print a line for each policy");

namespace currantreel::tool {

namespace {

int printFaults(const FaultList &faults)
{
    for (const Fault &fault : faults)
        fmt::print(stderr, "{}\n", toText(fault));
    return exitUsage;
}

int usageError(const std::string &detail)
{
    fmt::print(stderr, "{} ({} {}: {})\n", detail, number(ResultCode::ToolUsage),
               info(ResultCode::ToolUsage).name, info(ResultCode::ToolUsage).remedy);
    return exitUsage;
}

std::variant<std::string, FaultList> readDocument(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return FaultList{ Fault{ ResultCode::SettingsUnreadable, path, 0, "(document)",
                                 "the file cannot be read" } };
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

/// Reads @p path and parses it with @p parse.
template <typename Parse>
auto load(const std::string &path, Parse parse) -> decltype(parse(std::string(), path))
{
    auto text = readDocument(path);
    if (const auto *faults = std::get_if<FaultList>(&text))
        return *faults;
    return parse(std::get<std::string>(text), path);
}

/// Trace and configuration of one run.
struct ReplayInput
{
    Trace trace;
    std::shared_ptr<const Configuration> configuration;
};

std::variant<ReplayInput, FaultList> loadInput(const std::string &path)
{
    auto trace = load(path, parseTrace);
    if (const auto *faults = std::get_if<FaultList>(&trace))
        return *faults;
    ReplayInput input{ std::get<Trace>(std::move(trace)), {} };
    const std::filesystem::path directory = std::filesystem::path(path).parent_path();
    auto parsed = load((directory / input.trace.configuration).lexically_normal().string(),
                       parseConfiguration);
    if (const auto *faults = std::get_if<FaultList>(&parsed))
        return *faults;
    auto configuration =
        std::make_shared<Configuration>(std::get<Configuration>(std::move(parsed)));
    configuration->version = 1;
    input.configuration = std::move(configuration);
    FaultList faults = checkTrace(input.trace, *input.configuration, path);
    if (!faults.empty())
        return faults;
    return input;
}

std::vector<ReplayReport> runBaselines(const ReplayInput &input, std::string_view policy,
                                       std::uint64_t seed)
{
    std::vector<ReplayReport> reports;
    for (const std::string_view name : replayPolicies()) {
        if (name != policy)
            reports.push_back(runReplay(input.trace, input.configuration, name, seed));
    }
    return reports;
}

/// Prints each stated outcome. Returns whether all hold.
bool printChecks(const std::vector<OutcomeCheck> &checks)
{
    bool allHold = true;
    for (const OutcomeCheck &check : checks) {
        fmt::print("  {} {}: {}\n", check.holds ? "held  " : "MISSED", check.name, check.detail);
        allHold = allHold && check.holds;
    }
    return allHold;
}

} // namespace

int replay(const std::vector<std::string> &arguments)
{
    if (arguments.size() != 2)
        return usageError("replay takes one trace");
    const std::string policy = absl::GetFlag(FLAGS_policy);
    const auto &policies = replayPolicies();
    if (std::find(policies.begin(), policies.end(), policy) == policies.end())
        return usageError(fmt::format("unknown policy '{}'", policy));
    const auto loaded = loadInput(arguments[1]);
    if (const auto *faults = std::get_if<FaultList>(&loaded))
        return printFaults(*faults);
    const auto &input = std::get<ReplayInput>(loaded);
    std::optional<ExpectedOutcomes> stated;
    if (const std::string expect = absl::GetFlag(FLAGS_expect); !expect.empty()) {
        const auto outcomes = load(expect, parseOutcomes);
        if (const auto *faults = std::get_if<FaultList>(&outcomes))
            return printFaults(*faults);
        stated = std::get<ExpectedOutcomes>(outcomes);
    }
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    const ReplayReport report = runReplay(input.trace, input.configuration, policy, seed);
    fmt::print("{}", toText(report));
    std::vector<ReplayReport> baselines;
    if (absl::GetFlag(FLAGS_compare) || (stated && stated->isAboveBaselines))
        baselines = runBaselines(input, policy, seed);
    if (absl::GetFlag(FLAGS_compare)) {
        std::vector<ReplayReport> all{ report };
        all.insert(all.end(), baselines.begin(), baselines.end());
        fmt::print("{}", toComparison(all));
    }
    if (!stated)
        return exitOk;
    return printChecks(checkOutcomes(*stated, report, baselines)) ? exitOk : exitNo;
}

} // namespace currantreel::tool
