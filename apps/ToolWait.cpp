#include "ToolWait.h"

#include "ToolCommands.h"
#include "ToolReport.h"
#include "ToolSource.h"
#include <absl/flags/flag.h>
#include <fmt/format.h>
#include <thread>

ABSL_FLAG(unsigned, timeout_ms, 15'000, "config wait: maximum wait, in milliseconds");

namespace currantreel::tool {

namespace {

using namespace std::chrono_literals;

constexpr auto pollInterval = 200ms;

/// Responses of the hosts to one round of polling.
struct PollResult
{
    std::vector<std::string> unreachable;
    std::vector<std::string> outdated;
    std::vector<std::string> rejecting; ///< Validated the patch and rejected it.
    std::uint64_t position = 0; ///< Of the first host that has the version in force.
    std::string digest; ///< At that position.
    bool hasDiverged = false; ///< Up-to-date hosts differ in position or digest.
    std::size_t upToDateHosts = 0;
};

void pollHost(const std::string &host, std::uint64_t version, PollResult &pollResult)
{
    const auto answer = fetchHostJson(host, "/v1/config?summary=1");
    if (isError(answer)) {
        pollResult.unreachable.push_back(host);
        return;
    }
    const nlohmann::json &body = value(answer);
    const auto position = body.value("position", 0UL);
    const auto digest = body.value("digest", "");
    if (body.value("version", 0UL) < version) {
        auto &list = position >= version ? pollResult.rejecting : pollResult.outdated;
        list.push_back(host);
        return;
    }
    if (pollResult.upToDateHosts == 0) {
        pollResult.position = position;
        pollResult.digest = digest;
    }
    pollResult.hasDiverged =
        pollResult.hasDiverged || position != pollResult.position || digest != pollResult.digest;
    ++pollResult.upToDateHosts;
}

void printHosts(const char *what, const std::vector<std::string> &hosts)
{
    for (const std::string &host : hosts)
        fmt::print(stderr, "{}: {}\n", host, what);
}

int reportTimeout(const PollResult &pollResult, std::uint64_t version)
{
    printHosts("unreachable", pollResult.unreachable);
    printHosts("behind", pollResult.outdated);
    if (pollResult.upToDateHosts == 0 && pollResult.outdated.empty())
        return report(Error{ ResultCode::ToolHostUnreachable, "no host could be reached" },
                      exitUnreachable);
    if (pollResult.hasDiverged)
        return report(Error{ ResultCode::ConfigurationDiverged,
                             "the hosts have different positions or digests" },
                      exitNegative);
    fmt::print(stderr,
               "version {} is not in force on all hosts; retry, then run "
               "`currantreel status` for the hosts listed\n",
               version);
    return exitNegative;
}

} // namespace

int waitForVersion(const std::vector<std::string> &arguments)
{
    const std::uint64_t version = parseNumber(arguments[2]).value_or(0);
    if (version == 0)
        return usageError("config wait requires a version and the operator addresses of hosts");
    const auto deadline = std::chrono::steady_clock::now()
                          + std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    for (;;) {
        PollResult pollResult;
        for (std::size_t i = 3; i < arguments.size(); ++i)
            pollHost(arguments[i], version, pollResult);
        if (!pollResult.rejecting.empty()) {
            fmt::print(stderr, "patch {} was rejected; see `currantreel config audit {}`\n",
                       version, pollResult.rejecting.front());
            return exitNegative;
        }
        if (pollResult.upToDateHosts > 0 && pollResult.outdated.empty()
            && !pollResult.hasDiverged) {
            printHosts("unreachable", pollResult.unreachable);
            fmt::print("version {} in force on {} hosts, digest {}\n", version,
                       pollResult.upToDateHosts, pollResult.digest);
            return exitOk;
        }
        if (std::chrono::steady_clock::now() >= deadline)
            return reportTimeout(pollResult, version);
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace currantreel::tool
