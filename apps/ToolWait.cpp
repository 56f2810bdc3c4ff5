#include "ToolWait.h"

#include "ToolCommands.h"
#include "ToolReport.h"
#include "ToolSource.h"
#include <absl/flags/flag.h>
#include <fmt/format.h>
#include <thread>

ABSL_FLAG(unsigned, timeout_ms, 15'000, "config wait: longest wait, in milliseconds");

namespace currantreel::tool {

namespace {

using namespace std::chrono_literals;

constexpr auto askInterval = 200ms;

/// What the hosts answered in one round.
struct Round
{
    std::vector<std::string> unreachable;
    std::vector<std::string> behind;
    std::vector<std::string> rejecting; ///< Judged the patch, and did not accept it.
    std::uint64_t position = 0; ///< Of the first host in force.
    std::string digest; ///< At that position.
    bool isDifferent = false; ///< Two hosts differ in position or digest.
    std::size_t inForce = 0;
};

void ask(const std::string &host, std::uint64_t version, Round &round)
{
    const auto answer = readHost(host, "/v1/config?summary=1");
    if (isError(answer)) {
        round.unreachable.push_back(host);
        return;
    }
    const nlohmann::json &body = value(answer);
    const auto position = body.value("position", 0UL);
    const auto digest = body.value("digest", "");
    if (body.value("version", 0UL) < version) {
        auto &list = position >= version ? round.rejecting : round.behind;
        list.push_back(host);
        return;
    }
    if (round.inForce == 0) {
        round.position = position;
        round.digest = digest;
    }
    round.isDifferent = round.isDifferent || position != round.position || digest != round.digest;
    ++round.inForce;
}

void printList(const char *what, const std::vector<std::string> &hosts)
{
    for (const std::string &host : hosts)
        fmt::print(stderr, "{}: {}\n", host, what);
}

int giveUp(const Round &round, std::uint64_t version)
{
    printList("out of reach", round.unreachable);
    printList("behind", round.behind);
    if (round.inForce == 0 && round.behind.empty())
        return report(Error{ ResultCode::ToolHostUnreachable, "no host could be reached" },
                      exitUnreachable);
    if (round.isDifferent)
        return report(Error{ ResultCode::ConfigurationDiverged, "the hosts differ" }, exitNo);
    fmt::print(stderr,
               "version {} is not in force on all hosts; ask again, then look at "
               "`currantreel status` of the hosts named\n",
               version);
    return exitNo;
}

} // namespace

int wait(const std::vector<std::string> &arguments)
{
    const std::uint64_t version = std::strtoull(arguments[2].c_str(), nullptr, 10);
    if (version == 0)
        return usageError("config wait takes a version and the operator addresses of hosts");
    const auto deadline = std::chrono::steady_clock::now()
                          + std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    for (;;) {
        Round round;
        for (std::size_t i = 3; i < arguments.size(); ++i)
            ask(arguments[i], version, round);
        if (!round.rejecting.empty()) {
            fmt::print(stderr, "patch {} was rejected; see `currantreel config audit {}`\n",
                       version, round.rejecting.front());
            return exitNo;
        }
        if (round.inForce > 0 && round.behind.empty() && !round.isDifferent) {
            printList("out of reach", round.unreachable);
            fmt::print("version {} in force on {} hosts, digest {}\n", version, round.inForce,
                       round.digest);
            return exitOk;
        }
        if (std::chrono::steady_clock::now() >= deadline)
            return giveUp(round, version);
        std::this_thread::sleep_for(askInterval);
    }
}

} // namespace currantreel::tool
