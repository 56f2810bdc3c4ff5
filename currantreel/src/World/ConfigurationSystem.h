#ifndef CURRANTREEL_WORLD_CONFIGURATIONSYSTEM_H
#define CURRANTREEL_WORLD_CONFIGURATIONSYSTEM_H

#include "PatchExchange.h"
#include "PlatformReader.h"
#include <random>

namespace currantreel {

/// Brings the configuration to this host, from the platform or from other hosts, whichever is ahead,
/// and tells other hosts how far it is.
class ConfigurationSystem
{
public:
    explicit ConfigurationSystem(const HostIdentity &self);

    void onValue(const StepContext &context, const PlatformValue &value);
    void onUnreachable(const StepContext &context, const PlatformUnreachable &event);
    /// @pre the list has been taken into context.hosts.
    void onHostList(StepContext &context, const HostListRead &list);
    void receive(StepContext &context, HostId from, const ConfigurationAnnounce &message);
    void receive(StepContext &context, HostId from, const PatchRequest &message);
    void receive(StepContext &context, HostId from, const PatchBatch &message);
    void receive(StepContext &context, HostId from, const SnapshotRequest &message);
    void receive(StepContext &context, HostId from, const SnapshotPart &message);
    /// Notes that @p host has the log up to @p position with @p digest.
    void onPeerPosition(StepContext &context, HostId host, std::uint64_t position,
                        const std::string &digest);
    /// The configuration was given whole; no other source is waited for.
    void skipCatchUp() { m_isCaughtUp = true; }

    /// Makes the calls and sends the messages that are due, and brings the configuration into force.
    /// @return whether another version is in force.
    bool run(StepContext &context);

    /// True once this host has the highest version of the platform and of the hosts that it asked.
    [[nodiscard]] bool isCaughtUp() const { return m_isCaughtUp; }
    /// True once a host with another digest at the same position was met.
    [[nodiscard]] bool hasDiverged() const { return m_hasDiverged; }
    [[nodiscard]] const ConfigurationLog &log() const { return m_log; }
    [[nodiscard]] const PlatformReader &platform() const { return m_platform; }

private:
    void announce(StepContext &context);
    void announceTo(StepContext &context, HostId host, bool isAnswerWanted);
    void announceToSome(StepContext &context, std::size_t count, bool isAnswerWanted);
    void catchUp(StepContext &context);
    bool bringIntoForce(StepContext &context);
    void reportRefusals(StepContext &context);

    std::mt19937_64 m_random;
    ConfigurationLog m_log;
    PlatformReader m_platform;
    PatchExchange m_exchange;
    TimePoint m_nextAnnounce;
    std::uint64_t m_inForce = 0; ///< Version that was brought into force last.
    std::uint64_t m_announced = 0; ///< Position that other hosts were told of.
    std::uint64_t m_reported = 0; ///< Position up to which refusals were reported.
    bool m_wantsNear = true; ///< The next host told is one of the own failure domain.
    bool m_isHoldReported = false;
    bool m_hasDiverged = false;
    bool m_isCaughtUp = false;
    bool m_hasAsked = false; ///< Hosts were asked after the start.
    TimePoint m_firstRun;
    TimePoint m_answersBy;
    std::size_t m_answersMissing = 0;
    std::vector<BackendServerId> m_leaving; ///< Last told to the failure domain.
};

} // namespace currantreel

#endif
