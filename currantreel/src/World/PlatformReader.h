#ifndef CURRANTREEL_WORLD_PLATFORMREADER_H
#define CURRANTREEL_WORLD_PLATFORMREADER_H

#include "../Configuration/ConfigurationLog.h"
#include "Event.h"
#include "StepContext.h"
#include <random>
#include <string>

namespace currantreel {

/// Highest head published by the platform that this host has read.
struct PlatformHead
{
    std::uint64_t position = 0; ///< Number of the last patch.
    std::uint64_t snapshot = 0; ///< Number of the last snapshot; 0: none.
    std::uint64_t chunks = 0; ///< Number of chunks of the snapshot.
};

/// Reads the configuration and the host list from the platform, with one call for each at a time.
///
/// A few hosts of each failure domain watch the platform. The others read the head once at startup
/// and then rarely; they fetch from the platform only what peers fail to deliver.
class PlatformReader
{
public:
    /// @param seed seeds the random delays that spread calls over time.
    explicit PlatformReader(std::uint64_t seed) : m_random(seed) { }

    /// Makes the calls that are due.
    void run(StepContext &context, const ConfigurationLog &log);
    /// Handles an answer; adds published patches and snapshots to @p log.
    void onValue(const StepContext &context, const PlatformValue &value, ConfigurationLog &log);
    void onUnreachable(const StepContext &context, const PlatformUnreachable &event);
    void onHostList(const StepContext &context);

    /// True if this host is one of its failure domain's watchers of the platform.
    [[nodiscard]] static bool isWatcher(const StepContext &context);

    [[nodiscard]] const PlatformHead &head() const { return m_head; }
    /// True once the platform has answered a read of the head or failed to answer a call.
    [[nodiscard]] bool isHeadReadDone() const { return m_isHeadReadDone; }
    /// True once the platform's host list was read.
    [[nodiscard]] bool hasHostList() const { return m_hasHostList; }
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }
    /// True if the last call was answered.
    [[nodiscard]] bool isReachable() const { return m_isReachable; }

private:
    void runConfiguration(StepContext &context, const ConfigurationLog &log);
    void runHostList(StepContext &context);
    void readNext(StepContext &context, const ConfigurationLog &log);
    void read(StepContext &context, std::string path);
    void watch(StepContext &context, const ConfigurationLog &log);
    void onHead(const StepContext &context, const PlatformValue &value);
    void onPatch(const StepContext &context, const PlatformValue &value, ConfigurationLog &log);
    void onSnapshot(const StepContext &context, const PlatformValue &value, ConfigurationLog &log);
    void succeed(const StepContext &context);
    void retryLater(const StepContext &context);
    [[nodiscard]] bool isBehind(const ConfigurationLog &log) const;
    Duration directReadInterval(const StepContext &context);
    Duration randomDelay(Duration bound);

    std::mt19937_64 m_random;
    PlatformHead m_head;
    bool m_hasStarted = false;
    bool m_isCallPending = false; ///< A call for the configuration is outstanding.
    bool m_isReadingHostList = false; ///< A read of the host list is outstanding.
    bool m_isHeadReadDone = false;
    bool m_hasHostList = false;
    bool m_isReachable = false;
    bool m_isPatchMissing = false; ///< The next patch is no longer published or not yet.
    bool m_isCallWatch = false; ///< The outstanding call is a watch.
    bool m_isWatcher = false;
    TimePoint m_nextRoleCheck;
    TimePoint m_nextCall;
    TimePoint m_nextHostListRead;
    TimePoint m_nextDirectRead; ///< Next read of the head by a host that is not a watcher.
    TimePoint m_peerGraceEnd; ///< Until then, peers may deliver the patches up to the head.
    Duration m_retryDelay{};
    Duration m_hostListRetryDelay{};
    std::uint64_t m_snapshotNumber = 0; ///< Snapshot being read.
    std::uint64_t m_nextChunk = 0;
    std::string m_snapshotText;
    std::uint64_t m_calls = 0;
};

} // namespace currantreel

#endif
