#ifndef CURRANTREEL_MEMBERSHIP_MEMBERSHIPMESSAGES_H
#define CURRANTREEL_MEMBERSHIP_MEMBERSHIPMESSAGES_H

#include "../Core/Id.h"
#include "../Ownership/TargetLoad.h"
#include "../World/HostEntry.h"
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace currantreel {

/// Version of what is known about a host. A restart has a higher incarnation; a host which hears
/// that it is suspected or called dead refutes that by the next refutation number.
struct MemberVersion
{
    Incarnation incarnation;
    std::uint32_t refutation = 0;

    friend constexpr auto operator<=>(const MemberVersion &, const MemberVersion &) = default;
};

/// What is known about a host. Of two states with the same version the later one of this list holds.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< Silent to this host's probes, direct and indirect.
    Leaving, ///< A planned stop; final for the incarnation.
    Dead,
};

/// One piece of news about a host.
struct MemberUpdate
{
    HostId id;
    MemberVersion version;
    MemberState state = MemberState::Alive;
};

/// Makes a host known to one whose list of hosts lags.
struct Introduction
{
    HostEntry host;
    MemberVersion version;
};

/// Highest configuration that the sender has in force.
struct ConfigurationSummary
{
    std::uint64_t version = 0; ///< 0: none.
    std::string digest; ///< Empty in most messages: the version alone tells who is behind.
};

/// What every message of the membership carries besides its own purpose. Every list is bounded.
struct Gossip
{
    MemberVersion sender;
    bool isLeaving = false; ///< The sender stops by plan.
    std::vector<MemberUpdate> updates;
    std::vector<Introduction> introductions;
    ConfigurationSummary configuration;
    std::vector<TargetLoad> ownLoads; ///< Of the sender as an owner; within a failure domain only.
    std::vector<DomainLoad> domainLoads; ///< Of failure domains as the sender knows them.
};

/// Asks a host to answer with a ProbeAck of the same sequence.
struct Probe
{
    std::uint64_t sequence = 0;
    Gossip gossip;
};

/// Answer to a Probe, or to a ProbeRequest when the target answered.
struct ProbeAck
{
    std::uint64_t sequence = 0;
    HostId target; ///< The host which is alive: the sender, or the target of a ProbeRequest.
    MemberVersion version; ///< Of the target.
    Gossip gossip;
};

/// Asks a host to probe another one, because the sender hears nothing from it.
struct ProbeRequest
{
    std::uint64_t sequence = 0;
    MemberUpdate target; ///< With the sender's view of it, which is passed on to the target.
    Gossip gossip;
};

/// News that is worth a message of its own.
struct UpdatePush
{
    Gossip gossip;
};

/// Estimated bytes of a message on the wire, with framing.
[[nodiscard]] std::size_t wireSize(const Probe &message);
/// @copydoc wireSize
[[nodiscard]] std::size_t wireSize(const ProbeAck &message);
/// @copydoc wireSize
[[nodiscard]] std::size_t wireSize(const ProbeRequest &message);
/// @copydoc wireSize
[[nodiscard]] std::size_t wireSize(const UpdatePush &message);

} // namespace currantreel

#endif
