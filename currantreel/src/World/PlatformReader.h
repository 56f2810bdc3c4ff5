#ifndef CURRANTREEL_WORLD_PLATFORMREADER_H
#define CURRANTREEL_WORLD_PLATFORMREADER_H

#include "../Configuration/ConfigurationLog.h"
#include "Event.h"
#include "StepContext.h"
#include <random>
#include <string>

namespace currantreel {

/// Highest head that the platform has published, as far as this host has read.
struct PlatformHead
{
    std::uint64_t position = 0; ///< Number of the last patch.
    std::uint64_t snapshot = 0; ///< Number of the last snapshot; 0: none.
    std::uint64_t chunks = 0; ///< Of the snapshot.
};

/// Reads configuration and host list from the platform, one call of each at a time.
///
/// A few hosts of each failure domain are config readers and hold the watch. The others read the head
/// once at start, and then rarely; they fetch from the platform only what peers fail to bring.
class PlatformReader
{
public:
    /// @param seed of the spread of calls over time.
    explicit PlatformReader(std::uint64_t seed) : m_random(seed) { }

    /// Makes the calls that are due.
    void run(StepContext &context, const ConfigurationLog &log);
    /// Takes an answer; published patches and snapshots go into @p log.
    void onValue(const StepContext &context, const PlatformValue &value, ConfigurationLog &log);
    void onUnreachable(const StepContext &context, const PlatformUnreachable &event);
    void onHostList(const StepContext &context);

    /// True if this host is one of the config readers of its failure domain.
    [[nodiscard]] static bool isWatcher(const StepContext &context);

    [[nodiscard]] const PlatformHead &head() const { return m_head; }
    /// True once the platform has answered a read of the head or failed to answer a call.
    [[nodiscard]] bool isHeadReadDone() const { return m_hasTried; }
    /// True once the platform's host list was read, or peers stood in for it.
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
    Duration directInterval(const StepContext &context);
    Duration spread(Duration time);

    std::mt19937_64 m_random;
    PlatformHead m_head;
    bool m_hasStarted = false;
    bool m_isCalling = false; ///< A call for the configuration is under way.
    bool m_isListing = false; ///< A read of the host list is under way.
    bool m_hasTried = false;
    bool m_hasHostList = false;
    bool m_isReachable = false;
    bool m_isPatchMissing = false; ///< The next patch is no longer published or not yet.
    bool m_wasWatch = false; ///< The call under way is a watch.
    bool m_isReader = false;
    TimePoint m_nextRoleCheck;
    TimePoint m_nextCall;
    TimePoint m_nextList;
    TimePoint m_nextDirect; ///< Next read of the head by a host that is no config reader.
    TimePoint m_peersUntil; ///< Peers may bring the log up to the head until then.
    Duration m_retry{};
    Duration m_listRetry{};
    std::uint64_t m_snapshotNumber = 0; ///< Snapshot being read.
    std::uint64_t m_part = 0;
    std::string m_snapshotText;
    std::uint64_t m_calls = 0;
};

} // namespace currantreel

#endif
