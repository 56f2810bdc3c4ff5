#ifndef CURRANTREEL_PEER_FLEETDECODER_H
#define CURRANTREEL_PEER_FLEETDECODER_H

#include "FieldReader.h"

namespace currantreel::detail {

/// @file
/// Decoding of the messages between hosts that serve published routes. A value out of range makes
/// the reader invalid; what is returned then must not be used.

[[nodiscard]] FleetUpdate decode(FieldReader &reader, const wire::FleetNews &table);
[[nodiscard]] PlacementGrantRequest decode(FieldReader &reader, const wire::PlacementAsk &table);
[[nodiscard]] PlacementGrant decode(FieldReader &reader, const wire::PlacementGrant &table);
[[nodiscard]] PlacementUpdates decode(FieldReader &reader, const wire::PlacementNotes &table);
[[nodiscard]] ActivePlacements decode(FieldReader &reader, const wire::PlacementsHeld &table);
[[nodiscard]] PublishedRequest decode(FieldReader &reader, const wire::PublishedRequest &table);
[[nodiscard]] PublishedUpdate decode(FieldReader &reader, const wire::PublishedNews &table);
[[nodiscard]] SegmentReports decode(FieldReader &reader, const wire::SegmentReports &table);

} // namespace currantreel::detail

#endif
