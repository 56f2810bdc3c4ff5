#ifndef CURRANTREEL_WORLD_CONFIGURATIONSYSTEM_H
#define CURRANTREEL_WORLD_CONFIGURATIONSYSTEM_H

#include "PatchExchange.h"
#include "PlatformReader.h"
#include <random>

namespace currantreel {

/// Keeps the configuration of this host up to date, from the platform or from other hosts,
/// whichever is ahead, and announces the position of its log to other hosts.
class ConfigurationSystem
{
public:
    explicit ConfigurationSystem(const HostIdentity &self);

    void onValue(const StepContext &context, const PlatformValue &value);
    void onUnreachable(const StepContext &context, const PlatformUnreachable &event);
    /// @pre context.hosts reflects the list.
    void onHostList(StepContext &context, const HostListRead &list);
    void receive(StepContext &context, HostId from, const ConfigurationAnnounce &message);
    void receive(StepContext &context, HostId from, const PatchRequest &message);
    void receive(StepContext &context, HostId from, const PatchBatch &message);
    void receive(StepContext &context, HostId from, const SnapshotRequest &message);
    void receive(StepContext &context, HostId from, const SnapshotChunk &message);
    /// Records that the log of @p host has reached @p position with @p digest.
    void onPeerPosition(StepContext &context, HostId host, std::uint64_t position,
                        const std::string &digest);
    /// Waits for no other source: a complete configuration was supplied.
    void skipCatchUp() { m_isCaughtUp = true; }

    /// Makes the platform calls and sends the messages that are due, and activates the
    /// configuration.
    /// @return whether another version became active.
    bool run(StepContext &context);

    /// True once this host has the highest version of the platform and of the hosts it queried, or
    /// cannot wait for it any longer.
    [[nodiscard]] bool isCaughtUp() const { return m_isCaughtUp; }
    /// True once another host reported a different digest for the same position.
    [[nodiscard]] bool hasDiverged() const { return m_hasDiverged; }
    [[nodiscard]] const ConfigurationLog &log() const { return m_log; }
    [[nodiscard]] const PlatformReader &platform() const { return m_platform; }

private:
    void announce(StepContext &context);
    void announceTo(StepContext &context, HostId host, bool isAnswerWanted);
    void announceToRandom(StepContext &context, std::size_t count, bool isAnswerWanted);
    void catchUp(StepContext &context);
    bool activate(StepContext &context);
    void reportRefusals(StepContext &context);

    std::mt19937_64 m_random;
    ConfigurationLog m_log;
    PlatformReader m_platform;
    PatchExchange m_exchange;
    TimePoint m_nextAnnounce;
    std::uint64_t m_activeVersion = 0; ///< Version that was activated last.
    std::uint64_t m_announcedPosition = 0; ///< Last position announced to several hosts.
    std::uint64_t m_reportedPosition = 0; ///< Position up to which refusals were reported.
    bool m_isNextOwnDomain = true; ///< The next announcement goes to the own failure domain.
    bool m_isHoldReported = false;
    bool m_hasDiverged = false;
    bool m_isCaughtUp = false;
    bool m_hasQueriedPeers = false; ///< Hosts were queried after the start.
    TimePoint m_startedAt;
    TimePoint m_answerDeadline;
    std::size_t m_pendingAnswers = 0;
    std::vector<BackendServerId> m_leaving; ///< Last sent to the failure domain.
};

} // namespace currantreel

#endif
