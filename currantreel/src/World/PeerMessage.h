#ifndef CURRANTREEL_WORLD_PEERMESSAGE_H
#define CURRANTREEL_WORLD_PEERMESSAGE_H

#include "../Admission/GrantMessages.h"
#include "../Configuration/ConfigurationMessages.h"
#include "../Fleet/FleetMessages.h"
#include "../Forward/PlacementMessages.h"
#include "../Membership/MembershipMessages.h"
#include <variant>

namespace currantreel {

/// Everything that hosts say to each other, and that a host says to itself in another role.
using PeerMessage =
    std::variant<GrantRequest, Granted, GrantShed, GrantWithdrawn, LeaseReleased, LeaseRenewal,
                 ConfigurationAnnounce, PatchRequest, PatchBatch, SnapshotRequest, SnapshotPart,
                 LeavingServers, LeasePreempted, Probe, ProbeAck, ProbeRequest, UpdatePush,
                 GrantMoved, FleetUpdate, PublishedUpdate, PublishedRequest, PlacementGrantRequest,
                 PlacementGrant, PlacementUpdates, ActivePlacements>;

} // namespace currantreel

#endif
