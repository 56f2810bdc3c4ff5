#ifndef CURRANTREEL_FLEET_FLEETMESSAGES_H
#define CURRANTREEL_FLEET_FLEETMESSAGES_H

#include "../Core/Id.h"
#include "../Published/PublishedState.h"
#include "../Settings/Address.h"
#include <cstdint>
#include <vector>

namespace currantreel {

/// A host as it describes itself, relayed by other hosts. The description with the higher heartbeat
/// replaces the other one.
struct FleetHost
{
    Address peerAddress; ///< At which other hosts reach it; an IPv4 address.
    FailureDomainId failureDomain;
    std::uint64_t heartbeat = 0; ///< Rises while the host runs, and across its restarts.
    std::uint8_t weight =
        1; ///< Share of the common work that it can take, relative to other hosts.
    bool isLeaving = false; ///< It is in a planned stop.
    bool reachesPlatform = false; ///< The platform answers it, so it can watch for changes.
    bool canOwn = false; ///< It has a configuration and backend servers.
};

/// Sent to some peers several times a second, and at once when the sender learned of a change.
struct FleetUpdate
{
    FleetHost sender;
    PublishedRevision revision; ///< Up to which the sender has the published state.
    Duration age = maxPublishedAge; ///< Of the sender's published state.
    std::vector<FleetHost> hosts; ///< Some of the other hosts that are present.
    std::uint64_t quarantineDigest = 0; ///< Of the prompt segments that the sender quarantines.
};

/// Requests the published items above a revision.
struct PublishedRequest
{
    PublishedRevision revision;
    /// The sender knows of eras. A host of an earlier version does not, and states era 0.
    bool knowsEras = true;
};

/// Published items that the receiver requested, in order of their revisions; small later ones may
/// follow. None if the sender has no change after the requested revision.
struct PublishedUpdate
{
    PublishedRevision after; ///< The requested revision.
    PublishedRevision revision; ///< Up to which the items are all changes after the requested one.
    Duration age = maxPublishedAge; ///< Of the published state at this revision.
    std::vector<PublishedItem> items;
    /// The items, with those before the requested revision, are all of the revision's era.
    bool isWhole = false;
    RemovalRecord removals = {}; ///< Of the sender's published state.
};

} // namespace currantreel

#endif
