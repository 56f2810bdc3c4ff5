#ifndef CURRANTREEL_PEER_PEERCODEC_H
#define CURRANTREEL_PEER_PEERCODEC_H

#include "../Core/Result.h"
#include "PeerFrame.h"
#include <cstdint>
#include <span>
#include <vector>

namespace currantreel {

/// Serializes @p frame, including its length prefix.
[[nodiscard]] std::vector<std::uint8_t> encodeFrame(const PeerFrame &frame);

/// Decodes a frame. The buffer is verified before use, and the ranges of all values are checked.
/// @param bytes the frame without its length prefix.
/// @return the frame, or PeerFrameMalformed if @p bytes are not a valid frame of this protocol.
[[nodiscard]] Result<PeerFrame> decodeFrame(std::span<const std::uint8_t> bytes);

} // namespace currantreel

#endif
