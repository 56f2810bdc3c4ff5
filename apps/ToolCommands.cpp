#include "ToolCommands.h"

#include "ToolConfig.h"
#include "ToolHttp.h"
#include "ToolQuarantine.h"
#include "ToolReplay.h"
#include "ToolReport.h"
#include <algorithm>
#include <currantreel/Core>
#include <currantreel/Settings>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace currantreel::tool {

namespace {

using namespace std::chrono_literals;
using Arguments = std::vector<std::string>;

constexpr Duration hostTimeout = 2s;

int checkSettings(const Arguments &arguments)
{
    if (arguments.size() != 2)
        return usageError("check-settings requires exactly one file");
    const auto loaded = loadHostSettings(arguments[1]);
    if (const auto *faults = std::get_if<FaultList>(&loaded))
        return printFaults(*faults);
    fmt::print("{}: valid\n", arguments[1]);
    return exitOk;
}

void printStatus(const nlohmann::json &status)
{
    fmt::print("{:<16} {:<12} {:<9} version {:<6} in progress {:<5} queued {}\n",
               status.value("host", "?"), status.value("failure_domain", "?"),
               status.value("ready", false) ? "ready" : "not ready",
               status.at("configuration").value("version", 0),
               status.value("requests_in_progress", 0), status.value("queued", 0));
    for (const nlohmann::json &row : status.at("classes"))
        fmt::print("  class {:<24} arrived {:<7} completed {:<7} in target {:<7} not run {:<5} "
                   "unknown {}\n",
                   row.value("name", "?"), row.value("arrived", 0), row.value("completed", 0),
                   row.value("in_target", 0), row.value("not_run", 0), row.value("unknown", 0));
    for (const nlohmann::json &row : status.at("backend_servers"))
        fmt::print("  server {:<23} slots {:<9} in flight {}\n", row.value("name", "?"),
                   row.value("slots", 0), row.value("in_flight", 0));
}

int printHostStatus(const std::string &host)
{
    const auto address = parseAddress(host);
    if (!address)
        return usageError(fmt::format("'{}' is not an IP address and port number", host));
    const Result<HttpAnswer> answer = httpGet(*address, "/v1/status", hostTimeout);
    const nlohmann::json status = isError(answer)
                                      ? nlohmann::json()
                                      : nlohmann::json::parse(value(answer).body, nullptr, false);
    if (!status.is_object())
        return report(Error{ ResultCode::ToolHostUnreachable, host }, exitUnreachable);
    printStatus(status);
    return exitOk;
}

int status(const Arguments &arguments)
{
    if (arguments.size() < 2)
        return usageError("status requires the operator addresses of hosts");
    int worst = exitOk;
    for (std::size_t i = 1; i < arguments.size(); ++i)
        worst = std::max(worst, printHostStatus(arguments[i]));
    return worst;
}

int codes()
{
    for (const ResultCodeInfo &entry : resultCodeTable)
        fmt::print("{} {:<32} {:<4} {}\n", number(entry.code), entry.name, entry.httpStatus,
                   entry.remedy);
    return exitOk;
}

} // namespace

int run(const Arguments &arguments)
{
    if (arguments.empty())
        return usageError("missing command");
    const std::string &command = arguments.front();
    if (command == "check-settings")
        return checkSettings(arguments);
    if (command == "config")
        return config(arguments);
    if (command == "status")
        return status(arguments);
    if (command == "quarantine")
        return quarantine(arguments);
    if (command == "replay")
        return replay(arguments);
    if (command == "codes")
        return codes();
    return usageError(fmt::format("unknown command '{}'", command));
}

} // namespace currantreel::tool
