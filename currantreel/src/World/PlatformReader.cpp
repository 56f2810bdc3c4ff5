#include "PlatformReader.h"

#include "ConfigurationTiming.h"
#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace currantreel {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotModified = 304;
constexpr int statusNotFound = 404;
constexpr std::string_view headPath = "head";
constexpr std::string_view hostsPath = "hosts";
constexpr std::string_view patchPrefix = "patch/";
/// Maximum number of chunks of a snapshot.
constexpr std::uint64_t maxSnapshotChunks = 256;

/// Rank of a host in its failure domain; the hosts with the highest ranks are the watchers.
std::uint64_t rankOf(HostId host)
{
    constexpr std::uint64_t salt = 0x0C0F16BEADE5ULL;
    return XXH3_64bits_withSeed(&host.value, sizeof(host.value), salt);
}

std::optional<PlatformHead> parseHead(const std::string &body)
{
    const nlohmann::json head = nlohmann::json::parse(body, nullptr, false);
    const auto numberAt = [&](const char *key, std::uint64_t fallback) {
        const auto position = head.find(key);
        return position != head.end() && position->is_number_unsigned()
                   ? position->get<std::uint64_t>()
                   : fallback;
    };
    if (!head.is_object() || numberAt("version", 0) == 0)
        return std::nullopt;
    PlatformHead read;
    read.position = numberAt("version", 0);
    read.snapshot = numberAt("snapshot", read.position);
    read.chunks = numberAt("parts", 1);
    if (read.snapshot > read.position || read.chunks > maxSnapshotChunks)
        return std::nullopt;
    return read;
}

} // namespace

bool PlatformReader::isWatcher(const StepContext &context)
{
    const std::uint64_t own = rankOf(context.self.id);
    const auto higherRanked =
        std::count_if(context.hosts.begin(), context.hosts.end(), [&](const HostEntry &host) {
            return host.failureDomain == context.self.failureDomain && host.id != context.self.id
                   && host.liveness == Liveness::Live && rankOf(host.id) > own;
        });
    return static_cast<std::size_t>(higherRanked) < timing::watchersPerDomain;
}

Duration PlatformReader::randomDelay(Duration bound)
{
    if (bound <= Duration::zero())
        return Duration::zero();
    return Duration(
        static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(bound.count())));
}

Duration PlatformReader::directReadInterval(const StepContext &context)
{
    const auto fleet = static_cast<Duration::rep>(context.hosts.size());
    const Duration interval =
        std::max(timing::minDirectReadInterval, timing::directReadIntervalPerHost * fleet);
    return interval / 2 + randomDelay(interval);
}

bool PlatformReader::isBehind(const ConfigurationLog &log) const
{
    return m_head.position > log.position() && !log.held();
}

void PlatformReader::run(StepContext &context, const ConfigurationLog &log)
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_nextHostListRead = context.now + randomDelay(timing::platformStartSpread);
        m_nextCall = m_nextHostListRead;
    }
    // Until the list is known, this host cannot determine whether it is a watcher.
    if (m_hasHostList && context.now >= m_nextRoleCheck) {
        m_isWatcher = isWatcher(context);
        m_nextRoleCheck = context.now + timing::watcherRoleCheckInterval;
    }
    runHostList(context);
    if (m_hasHostList)
        runConfiguration(context, log);
}

void PlatformReader::runHostList(StepContext &context)
{
    if (m_isWatcher && m_hostListRetryDelay == Duration::zero())
        m_nextHostListRead = std::min(m_nextHostListRead, context.now + timing::hostListInterval);
    if (m_isReadingHostList || context.now < m_nextHostListRead)
        return;
    m_isReadingHostList = true;
    ++m_calls;
    context.emit(ReadHostList{});
}

void PlatformReader::onHostList(const StepContext &context)
{
    m_isReadingHostList = false;
    m_hasHostList = true;
    m_isReachable = true;
    m_hostListRetryDelay = Duration::zero();
    m_nextHostListRead = context.now + directReadInterval(context);
}

void PlatformReader::runConfiguration(StepContext &context, const ConfigurationLog &log)
{
    if (m_isCallPending || context.now < m_nextCall)
        return;
    const bool mayRead = m_isWatcher || context.now >= m_peerGraceEnd;
    if (isBehind(log) && mayRead)
        readNext(context, log);
    else if (m_isHeadReadDone && m_isWatcher)
        watch(context, log);
    else if (!m_isHeadReadDone || context.now >= m_nextDirectRead)
        read(context, std::string(headPath));
}

void PlatformReader::readNext(StepContext &context, const ConfigurationLog &log)
{
    const bool needsSnapshot = log.position() == 0 || m_isPatchMissing;
    if (!needsSnapshot || m_head.snapshot <= log.position()) {
        m_isPatchMissing = false;
        read(context, fmt::format("{}{}", patchPrefix, log.position() + 1));
        return;
    }
    if (m_snapshotNumber != m_head.snapshot) {
        m_snapshotNumber = m_head.snapshot;
        m_nextChunk = 0;
        m_snapshotText.clear();
    }
    read(context, fmt::format("snapshot/{}/{}", m_snapshotNumber, m_nextChunk));
}

void PlatformReader::read(StepContext &context, std::string path)
{
    m_isCallPending = true;
    m_isCallWatch = false;
    ++m_calls;
    context.emit(ReadPlatform{ std::move(path) });
}

void PlatformReader::watch(StepContext &context, const ConfigurationLog &log)
{
    m_isCallPending = true;
    m_isCallWatch = true;
    ++m_calls;
    context.emit(WatchPlatform{ std::max(m_head.position, log.position()) });
}

void PlatformReader::onValue(const StepContext &context, const PlatformValue &value,
                             ConfigurationLog &log)
{
    m_isCallPending = false;
    m_isReachable = true;
    if (value.path == headPath)
        onHead(context, value);
    else if (value.path.compare(0, patchPrefix.size(), patchPrefix) == 0)
        onPatch(context, value, log);
    else
        onSnapshot(context, value, log);
}

void PlatformReader::onHead(const StepContext &context, const PlatformValue &value)
{
    m_isHeadReadDone = true;
    m_nextDirectRead = context.now + directReadInterval(context);
    const auto head = value.status == statusOk ? parseHead(value.body) : std::nullopt;
    const bool isAnswer = value.status == statusNotModified || (head && !m_isCallWatch);
    // A stale head has a lower position than one read before and is ignored.
    if (head && head->position > m_head.position) {
        m_head = *head;
        m_peerGraceEnd =
            context.now + timing::peerGracePeriod + randomDelay(timing::peerGracePeriod);
        succeed(context);
    } else if (isAnswer) {
        if (head && head->position == m_head.position)
            m_head = *head;
        m_nextCall = context.now;
    } else {
        retryLater(context);
    }
}

void PlatformReader::onPatch(const StepContext &context, const PlatformValue &value,
                             ConfigurationLog &log)
{
    const std::uint64_t number =
        std::strtoull(value.path.c_str() + patchPrefix.size(), nullptr, 10);
    if (value.status != statusOk) {
        // A peer may have delivered the patch in the meantime.
        m_isPatchMissing = value.status == statusNotFound && number == log.position() + 1;
        retryLater(context);
        return;
    }
    log.append(number, value.body, context.now);
    succeed(context);
}

void PlatformReader::onSnapshot(const StepContext &context, const PlatformValue &value,
                                ConfigurationLog &log)
{
    if (value.path != fmt::format("snapshot/{}/{}", m_snapshotNumber, m_nextChunk))
        return;
    if (value.status != statusOk) {
        m_snapshotNumber = 0;
        m_isHeadReadDone = false; // The head may name a newer snapshot.
        retryLater(context);
        return;
    }
    m_snapshotText += value.body;
    ++m_nextChunk;
    succeed(context);
    if (m_nextChunk < m_head.chunks && m_snapshotNumber == m_head.snapshot)
        return;
    const auto failure = log.install(m_snapshotNumber, m_snapshotText);
    m_snapshotNumber = 0;
    m_snapshotText.clear();
    m_isPatchMissing = false;
    if (failure)
        retryLater(context);
}

void PlatformReader::onUnreachable(const StepContext &context, const PlatformUnreachable &event)
{
    m_isReachable = false;
    m_isHeadReadDone = true;
    if (event.path == hostsPath) {
        m_isReadingHostList = false;
        m_hostListRetryDelay = std::clamp(m_hostListRetryDelay * 2, timing::minPlatformRetry,
                                          timing::maxPlatformRetry);
        m_nextHostListRead =
            context.now + m_hostListRetryDelay / 2 + randomDelay(m_hostListRetryDelay);
        return;
    }
    m_isCallPending = false;
    retryLater(context);
}

void PlatformReader::succeed(const StepContext &context)
{
    m_retryDelay = Duration::zero();
    m_nextCall = context.now;
}

void PlatformReader::retryLater(const StepContext &context)
{
    m_retryDelay = std::clamp(m_retryDelay * 2, timing::minPlatformRetry, timing::maxPlatformRetry);
    m_nextCall = context.now + m_retryDelay / 2 + randomDelay(m_retryDelay);
}

} // namespace currantreel
