#ifndef CURRANTREEL_FLEET_FLEETMESSAGES_H
#define CURRANTREEL_FLEET_FLEETMESSAGES_H

#include "../Core/Id.h"
#include "../Forward/PublishedState.h"
#include "../Settings/Address.h"
#include <cstdint>
#include <vector>

namespace currantreel {

/// One host as it introduces itself, passed on by others. A later heartbeat replaces an earlier one.
struct FleetHost
{
    Address peerAddress; ///< Where other hosts reach it; an IPv4 address.
    FailureDomainId failureDomain;
    std::uint64_t heartbeat = 0; ///< Rises while the host runs, also across restarts.
    std::uint8_t weight = 1; ///< Share of common work that it can take, against other hosts.
    bool isLeaving = false; ///< It stops by plan.
    bool watchesPlatform = false; ///< It reads the platform, and the platform answers.
    bool canOwn = false; ///< It knows a configuration and backend servers.
};

/// What a host tells some of its peers, some times a second and at once when it learned of a change.
struct FleetUpdate
{
    FleetHost sender;
    std::uint64_t revision = 0; ///< Up to which it knows the published state.
    std::vector<FleetHost> hosts; ///< Some other hosts that run.
};

/// Asks for published items above a revision.
struct PublishedRequest
{
    std::uint64_t revision = 0;
};

/// Published items that the receiver asked for, the lowest revisions first.
struct PublishedUpdate
{
    std::vector<PublishedItem> items;
};

} // namespace currantreel

#endif
