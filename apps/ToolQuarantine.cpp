#include "ToolQuarantine.h"

#include "ToolCommands.h"
#include "ToolHttp.h"
#include "ToolReport.h"
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace currantreel::tool {

namespace {

using namespace std::chrono_literals;

constexpr Duration hostTimeout = 2s;
constexpr int statusOk = 200;
constexpr const char *quarantinePath = "/v1/quarantine";

/// JSON object in @p answer; null if there is none.
nlohmann::json objectOf(const Result<HttpAnswer> &answer)
{
    if (isError(answer))
        return {};
    auto body = nlohmann::json::parse(value(answer).body, nullptr, false);
    return body.is_object() ? body : nlohmann::json();
}

int list(const std::string &host, const Address &address)
{
    const nlohmann::json body = objectOf(httpGet(address, quarantinePath, hostTimeout));
    if (!body.contains("segments") || !body["segments"].is_array())
        return report(Error{ ResultCode::ToolHostUnreachable, host }, exitUnreachable);
    for (const nlohmann::json &row : body["segments"]) {
        if (row.is_object())
            fmt::print("{:<16} ends {:<4} within {} ms, {} for {} s\n", row.value("segment", "?"),
                       row.value("ends", 0), row.value("spread_ms", 0),
                       row.value("was_sound", false) ? "sound before," : "never seen sound,",
                       row.value("time_left_ms", 0) / 1000);
    }
    return exitOk;
}

int clear(const std::string &host, const Address &address, const std::string &segment)
{
    const Result<HttpAnswer> answer =
        httpDelete(address, fmt::format("{}/{}", quarantinePath, segment), hostTimeout);
    if (isError(answer))
        return report(Error{ ResultCode::ToolHostUnreachable, host }, exitUnreachable);
    if (value(answer).status == statusOk)
        return exitOk;
    return report(Error{ ResultCode::SegmentNotQuarantined, host + ": " + segment }, exitNegative);
}

} // namespace

int quarantine(const std::vector<std::string> &arguments)
{
    const bool isList = arguments.size() == 3 && arguments[1] == "list";
    const bool isClear = arguments.size() == 4 && arguments[1] == "clear";
    if (!isList && !isClear)
        return usageError("quarantine requires 'list HOST' or 'clear HOST SEGMENT'");
    const std::string &host = arguments[2];
    const auto address = parseAddress(host);
    if (!address)
        return usageError(fmt::format("'{}' is not an IP address and port number", host));
    return isList ? list(host, *address) : clear(host, *address, arguments[3]);
}

} // namespace currantreel::tool
