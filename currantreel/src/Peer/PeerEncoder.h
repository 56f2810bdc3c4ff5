#ifndef CURRANTREEL_PEER_PEERENCODER_H
#define CURRANTREEL_PEER_PEERENCODER_H

#include "PeerFrame.h"
#include <flatbuffers/flatbuffers.h>

namespace currantreel::detail {

/// A message as an untyped table of the wire schema, with the number of its type in union Body.
struct EncodedBody
{
    std::uint8_t type = 0;
    flatbuffers::Offset<void> table;
};

/// Writes @p message into @p builder.
[[nodiscard]] EncodedBody encodeBody(flatbuffers::FlatBufferBuilder &builder,
                                     const PeerMessage &message);

} // namespace currantreel::detail

#endif
