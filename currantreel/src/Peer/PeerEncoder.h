#ifndef CURRANTREEL_PEER_PEERENCODER_H
#define CURRANTREEL_PEER_PEERENCODER_H

#include "PeerFrame.h"
#include <flatbuffers/flatbuffers.h>

namespace currantreel::detail {

/// Serialized message: an untyped table of the wire schema and its type in the union Body.
struct EncodedBody
{
    std::uint8_t type = 0;
    flatbuffers::Offset<void> table;
};

/// Serializes @p message into @p builder.
[[nodiscard]] EncodedBody encodeBody(flatbuffers::FlatBufferBuilder &builder,
                                     const PeerMessage &message);

} // namespace currantreel::detail

#endif
