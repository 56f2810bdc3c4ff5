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

/// Version of the state of a host. A restart raises the incarnation; a host that learns that it is
/// suspected or declared dead refutes that by the next refutation number.
struct MemberVersion
{
    Incarnation incarnation;
    std::uint32_t refutation = 0;

    friend constexpr auto operator<=>(const MemberVersion &, const MemberVersion &) = default;
};

/// State of a host. Of two states with the same version the later enumerator takes precedence.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< Unresponsive to this host's probes, direct and indirect.
    Leaving, ///< In a planned stop; final for the incarnation.
    Dead,
};

/// A change of the state of a host.
struct MemberUpdate
{
    HostId id;
    MemberVersion version;
    MemberState state = MemberState::Alive;
};

/// Makes a host known to a receiver whose host list lags.
struct Introduction
{
    HostEntry host;
    MemberVersion version;
};

/// The configuration with the highest version that the sender has in force.
struct ConfigurationSummary
{
    std::uint64_t version = 0; ///< 0: none.
    std::string digest; ///< Empty in most messages: the version alone shows which host is behind.
};

/// State that every membership message carries in addition to its own fields. Every list is
/// bounded.
struct Gossip
{
    MemberVersion sender;
    bool isLeaving = false; ///< The sender is in a planned stop.
    std::vector<MemberUpdate> updates;
    std::vector<Introduction> introductions;
    ConfigurationSummary configuration;
    std::vector<TargetLoad> ownLoads; ///< Of the sender as owner; only within a failure domain.
    std::vector<DomainLoad> domainLoads; ///< Of failure domains, as known to the sender.
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
    HostId target; ///< The host that is alive: the sender, or the target of a ProbeRequest.
    MemberVersion version; ///< Of the target.
    Gossip gossip;
};

/// Asks a host to probe another one, which does not answer the sender.
struct ProbeRequest
{
    std::uint64_t sequence = 0;
    MemberUpdate target; ///< The sender's view of the host to probe, relayed to it.
    Gossip gossip;
};

/// Carries urgent updates, which don't wait for the next probe.
struct UpdatePush
{
    Gossip gossip;
};

/// Estimated size of a message on the wire in bytes, with framing.
[[nodiscard]] std::size_t wireSize(const Probe &message);
/// @copydoc wireSize
[[nodiscard]] std::size_t wireSize(const ProbeAck &message);
/// @copydoc wireSize
[[nodiscard]] std::size_t wireSize(const ProbeRequest &message);
/// @copydoc wireSize
[[nodiscard]] std::size_t wireSize(const UpdatePush &message);

} // namespace currantreel

#endif
