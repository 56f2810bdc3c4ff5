#ifndef CURRANTREEL_WORLD_PEERMESSAGE_H
#define CURRANTREEL_WORLD_PEERMESSAGE_H

#include "../Admission/GrantMessages.h"
#include "../Configuration/ConfigurationMessages.h"
#include "../Fleet/FleetMessages.h"
#include "../Membership/MembershipMessages.h"
#include "../Placement/PlacementMessages.h"
#include "../Quarantine/SegmentReport.h"
#include <variant>

namespace currantreel {

/// Any message between hosts, or between the entry and owner roles of the same host.
using PeerMessage =
    std::variant<GrantRequest, Granted, GrantShed, GrantWithdrawn, LeaseReleased, LeaseRenewal,
                 ConfigurationAnnounce, PatchRequest, PatchBatch, SnapshotRequest, SnapshotChunk,
                 LeavingServers, LeasePreempted, Probe, ProbeAck, ProbeRequest, UpdatePush,
                 GrantMoved, FleetUpdate, PublishedUpdate, PublishedRequest, PlacementGrantRequest,
                 PlacementGrant, PlacementUpdates, ActivePlacements, SegmentReports>;

} // namespace currantreel

#endif
