#ifndef CURRANTREEL_PEER_GOSSIPCODEC_H
#define CURRANTREEL_PEER_GOSSIPCODEC_H

#include "../Membership/MembershipMessages.h"
#include <PeerMessage_generated.h>
#include <optional>

namespace currantreel::detail {

/// Converts @p version to its wire format.
[[nodiscard]] wire::MemberVersion toWire(const MemberVersion &version);
/// Converts @p update to its wire format.
[[nodiscard]] wire::MemberNews toWire(const MemberUpdate &update);
/// Serializes @p gossip into @p builder.
[[nodiscard]] flatbuffers::Offset<wire::Gossip>
encodeGossip(flatbuffers::FlatBufferBuilder &builder, const Gossip &gossip);

/// Decodes @p version; returns a default MemberVersion if it is null.
[[nodiscard]] MemberVersion decodeVersion(const wire::MemberVersion *version);
/// Decodes @p update. Returns std::nullopt if it is null or its state is not a MemberState.
[[nodiscard]] std::optional<MemberUpdate> decodeMemberUpdate(const wire::MemberNews *update);
/// Decodes @p table. Returns std::nullopt if it is null or misaligned, a value is out of range or a
/// list or text is too long.
[[nodiscard]] std::optional<Gossip> decodeGossip(const wire::Gossip *table);

} // namespace currantreel::detail

#endif
