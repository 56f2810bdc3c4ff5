#include "HostSettings.h"

#include "CheckedTable.h"
#include <algorithm>
#include <fmt/format.h>

namespace currantreel {

namespace {

using detail::CheckedTable;
using detail::Range;

constexpr std::int64_t kibibyte = 1024;
constexpr std::int64_t mebibyte = 1024 * kibibyte;
constexpr Range platformWatchMillisecondsRange{ 100, 60'000 };
constexpr Range stopGraceMillisecondsRange{ 0, 600'000 };
constexpr std::size_t minSecretBytes = 16;
constexpr double minProcessorShare = 0.01;
constexpr double maxProcessorShare = 256.0;
constexpr double maxRetryRatio = 10.0;
constexpr double maxRetrySlack = 1e6;
constexpr double maxRetryWindowSeconds = 600.0;
constexpr double maxWarmUpRatio = 100.0;
constexpr double maxWarmUpSlack = 1e6;
constexpr Range changeBoundMillisecondsRange{ 500, 60'000 };
constexpr std::int64_t defaultChangeBoundMilliseconds = 2'000;
constexpr double maxStopGraceSeconds = 600.0;
constexpr double defaultStopGraceSeconds = 120.0;

void readHost(CheckedTable table, HostSettings &settings)
{
    settings.name = table.string("name");
    settings.failureDomain = table.string("failure_domain");
    settings.region = table.string("region", "default");
    table.rejectUnknownKeys();
}

void readListen(CheckedTable table, HostSettings &settings)
{
    settings.callers = table.address("callers");
    settings.operators = table.address("operators");
    settings.peers = table.address("peers");
    table.rejectUnknownKeys();
}

void readPlatform(CheckedTable table, HostSettings &settings)
{
    for (const std::string &text : table.strings("addresses", true)) {
        if (const auto address = parseAddress(text))
            settings.platform.push_back(*address);
        else
            table.fault(ResultCode::SettingsBadAddress, "addresses",
                        fmt::format("'{}' is not an IP number and a port", text));
    }
    settings.platformWatchTimeout =
        table.milliseconds("watch_ms", platformWatchMillisecondsRange, 5'000);
    table.rejectUnknownKeys();
}

void readCluster(CheckedTable table, HostSettings &settings)
{
    settings.clusterSecret = table.string("secret");
    if (!settings.clusterSecret.empty() && settings.clusterSecret.size() < minSecretBytes)
        table.fault(ResultCode::SettingsOutOfRange, "secret",
                    fmt::format("the secret is shorter than {} bytes", minSecretBytes));
    table.rejectUnknownKeys();
}

void readLimits(CheckedTable table, HostLimits &limits)
{
    const auto bytes = [&table](std::string_view key, Range range, std::int64_t fallback) {
        return static_cast<std::size_t>(table.integer(key, range, fallback));
    };
    limits.memoryBytes = bytes("memory_mb", { 0, 1024 * kibibyte }, 0) * mebibyte;
    limits.descriptors = bytes("descriptors", { 0, 16 * mebibyte }, 0);
    limits.bodyBytes = bytes("body_bytes", { kibibyte, 64 * mebibyte }, 4 * mebibyte);
    limits.headerBytes = bytes("header_bytes", { kibibyte, mebibyte }, 16 * kibibyte);
    limits.answerBytes = bytes("answer_bytes", { kibibyte, 64 * mebibyte }, 8 * mebibyte);
    limits.receiveBufferBytes =
        bytes("receive_buffer_bytes", { mebibyte, 4096 * mebibyte }, 32 * mebibyte);
    limits.callerBufferBytes =
        bytes("caller_buffer_bytes", { mebibyte, 4096 * mebibyte }, 32 * mebibyte);
    limits.streamBufferBytes =
        bytes("stream_buffer_bytes", { 4 * kibibyte, 16 * mebibyte }, 256 * kibibyte);
    limits.requests = bytes("requests", { 1, 100'000 }, 4'096);
    limits.cachedResponseBytes = bytes("kept_answer_bytes", { 0, 64 * mebibyte }, 16 * mebibyte);
    table.rejectUnknownKeys();
}

ForwardSettings readForward(CheckedTable table)
{
    ForwardSettings forward;
    forward.retryRatio = table.real("retry_ratio", 0.0, maxRetryRatio, forward.retryRatio);
    forward.retrySlack = table.real("retry_slack", 0.0, maxRetrySlack, forward.retrySlack);
    forward.retryWindow = table.seconds("retry_window_s", 0.1, maxRetryWindowSeconds, 10.0);
    forward.warmUpRatio = table.real("warm_up_ratio", 0.0, maxWarmUpRatio, forward.warmUpRatio);
    forward.warmUpSlack = table.real("warm_up_slack", 0.0, maxWarmUpSlack, forward.warmUpSlack);
    forward.processorShare =
        table.real("processor_share", minProcessorShare, maxProcessorShare, 1.0);
    forward.changeBound =
        std::min({ table.milliseconds("configuration_bound_ms", changeBoundMillisecondsRange,
                                      defaultChangeBoundMilliseconds),
                   table.milliseconds("leaving_bound_ms", changeBoundMillisecondsRange,
                                      defaultChangeBoundMilliseconds),
                   table.milliseconds("evacuation_bound_ms", changeBoundMillisecondsRange,
                                      changeBoundMillisecondsRange.highest) });
    for (const std::string &text : table.strings("seeds", false)) {
        if (const auto address = parseAddress(text))
            forward.seeds.push_back(*address);
        else
            table.fault(ResultCode::SettingsBadAddress, "seeds",
                        fmt::format("'{}' is not an IP number and a port", text));
    }
    table.rejectUnknownKeys();
    return forward;
}

} // namespace

std::variant<HostSettings, FaultList> parseHostSettings(std::string_view text,
                                                        const std::string &file)
{
    FaultList faults;
    const auto document = detail::parseToml(text, file, faults);
    if (!document)
        return faults;
    HostSettings settings;
    CheckedTable root(*document, file, "", faults);
    readHost(root.table("host"), settings);
    readListen(root.table("listen"), settings);
    readPlatform(root.table("platform"), settings);
    if (root.has("forward"))
        settings.forward = readForward(root.table("forward"));
    else
        readCluster(root.table("cluster"), settings);
    readLimits(root.table("limits", false), settings.limits);
    settings.stopGrace =
        root.has("stop_grace_s")
            ? root.seconds("stop_grace_s", 0.0, maxStopGraceSeconds, defaultStopGraceSeconds)
            : root.milliseconds("stop_grace_ms", stopGraceMillisecondsRange, 120'000);
    root.rejectUnknownKeys();
    if (!faults.empty())
        return faults;
    return settings;
}

std::variant<HostSettings, FaultList> loadHostSettings(const std::string &path)
{
    FaultList faults;
    const auto text = detail::readFile(path, faults);
    if (!text)
        return faults;
    return parseHostSettings(*text, path);
}

} // namespace currantreel
