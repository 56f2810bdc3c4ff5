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
/// Most parts of a snapshot.
constexpr std::uint64_t partsLimit = 256;

/// Rank of a host as a config reader of its failure domain.
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
    if (read.snapshot > read.position || read.chunks > partsLimit)
        return std::nullopt;
    return read;
}

} // namespace

bool PlatformReader::isWatcher(const StepContext &context)
{
    const std::uint64_t own = rankOf(context.self.id);
    const auto before =
        std::count_if(context.hosts.begin(), context.hosts.end(), [&](const HostEntry &host) {
            return host.failureDomain == context.self.failureDomain && host.id != context.self.id
                   && host.liveness == Liveness::Live && rankOf(host.id) > own;
        });
    return static_cast<std::size_t>(before) < timing::watchersPerDomain;
}

Duration PlatformReader::spread(Duration time)
{
    if (time <= Duration::zero())
        return Duration::zero();
    return Duration(
        static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(time.count())));
}

Duration PlatformReader::directInterval(const StepContext &context)
{
    const auto fleet = static_cast<Duration::rep>(context.hosts.size());
    const Duration interval =
        std::max(timing::minDirectReadInterval, timing::directReadIntervalPerHost * fleet);
    return interval / 2 + spread(interval);
}

bool PlatformReader::isBehind(const ConfigurationLog &log) const
{
    return m_head.position > log.position() && !log.held();
}

void PlatformReader::run(StepContext &context, const ConfigurationLog &log)
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_nextList = context.now + spread(timing::platformStartSpread);
        m_nextCall = m_nextList;
    }
    // Until the list is known, this host cannot tell whether it is a config reader.
    if (m_hasHostList && context.now >= m_nextRoleCheck) {
        m_isReader = isWatcher(context);
        m_nextRoleCheck = context.now + timing::watcherRoleCheckInterval;
    }
    runHostList(context);
    if (m_hasHostList)
        runConfiguration(context, log);
}

void PlatformReader::runHostList(StepContext &context)
{
    if (m_isReader && m_listRetry == Duration::zero())
        m_nextList = std::min(m_nextList, context.now + timing::hostListInterval);
    if (m_isListing || context.now < m_nextList)
        return;
    m_isListing = true;
    ++m_calls;
    context.emit(ReadHostList{});
}

void PlatformReader::onHostList(const StepContext &context)
{
    m_isListing = false;
    m_hasHostList = true;
    m_isReachable = true;
    m_listRetry = Duration::zero();
    m_nextList = context.now + directInterval(context);
}

void PlatformReader::runConfiguration(StepContext &context, const ConfigurationLog &log)
{
    if (m_isCalling || context.now < m_nextCall)
        return;
    const bool mayRead = m_isReader || context.now >= m_peersUntil;
    if (isBehind(log) && mayRead)
        readNext(context, log);
    else if (m_hasTried && m_isReader)
        watch(context, log);
    else if (!m_hasTried || context.now >= m_nextDirect)
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
        m_part = 0;
        m_snapshotText.clear();
    }
    read(context, fmt::format("snapshot/{}/{}", m_snapshotNumber, m_part));
}

void PlatformReader::read(StepContext &context, std::string path)
{
    m_isCalling = true;
    m_wasWatch = false;
    ++m_calls;
    context.emit(ReadPlatform{ std::move(path) });
}

void PlatformReader::watch(StepContext &context, const ConfigurationLog &log)
{
    m_isCalling = true;
    m_wasWatch = true;
    ++m_calls;
    context.emit(WatchPlatform{ std::max(m_head.position, log.position()) });
}

void PlatformReader::onValue(const StepContext &context, const PlatformValue &value,
                             ConfigurationLog &log)
{
    m_isCalling = false;
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
    m_hasTried = true;
    m_nextDirect = context.now + directInterval(context);
    const auto head = value.status == statusOk ? parseHead(value.body) : std::nullopt;
    const bool isAnswer = value.status == statusNotModified || (head && !m_wasWatch);
    // A stale head is below what was read before; it lowers nothing.
    if (head && head->position > m_head.position) {
        m_head = *head;
        m_peersUntil = context.now + timing::peerGracePeriod + spread(timing::peerGracePeriod);
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
        // A peer may have brought the patch meanwhile.
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
    if (value.path != fmt::format("snapshot/{}/{}", m_snapshotNumber, m_part))
        return;
    if (value.status != statusOk) {
        m_snapshotNumber = 0;
        m_hasTried = false; // The head may name a newer snapshot.
        retryLater(context);
        return;
    }
    m_snapshotText += value.body;
    ++m_part;
    succeed(context);
    if (m_part < m_head.chunks && m_snapshotNumber == m_head.snapshot)
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
    m_hasTried = true;
    if (event.path == hostsPath) {
        m_isListing = false;
        m_listRetry =
            std::clamp(m_listRetry * 2, timing::minPlatformRetry, timing::maxPlatformRetry);
        m_nextList = context.now + m_listRetry / 2 + spread(m_listRetry);
        return;
    }
    m_isCalling = false;
    retryLater(context);
}

void PlatformReader::succeed(const StepContext &context)
{
    m_retry = Duration::zero();
    m_nextCall = context.now;
}

void PlatformReader::retryLater(const StepContext &context)
{
    m_retry = std::clamp(m_retry * 2, timing::minPlatformRetry, timing::maxPlatformRetry);
    m_nextCall = context.now + m_retry / 2 + spread(m_retry);
}

} // namespace currantreel
