#ifndef CURRANTREEL_PEER_GOSSIPCODEC_H
#define CURRANTREEL_PEER_GOSSIPCODEC_H

#include "../Membership/MembershipMessages.h"
#include <PeerMessage_generated.h>
#include <optional>

namespace currantreel::detail {

/// Wire form of @p version.
[[nodiscard]] wire::MemberVersion toWire(const MemberVersion &version);
/// Wire form of @p news.
[[nodiscard]] wire::MemberNews toWire(const MemberUpdate &news);
/// Writes @p gossip into @p builder.
[[nodiscard]] flatbuffers::Offset<wire::Gossip>
encodeGossip(flatbuffers::FlatBufferBuilder &builder, const Gossip &gossip);

/// The version of @p version; the default if there is none.
[[nodiscard]] MemberVersion decodeVersion(const wire::MemberVersion *version);
/// The news of @p news. Nothing if its state is none.
[[nodiscard]] std::optional<MemberUpdate> decodeNews(const wire::MemberNews *news);
/// The gossip of @p table. Nothing if a value is out of range or a list too long.
[[nodiscard]] std::optional<Gossip> decodeGossip(const wire::Gossip *table);

} // namespace currantreel::detail

#endif
