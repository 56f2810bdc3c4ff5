#ifndef CURRANTREEL_PEER_PEERCODEC_H
#define CURRANTREEL_PEER_PEERCODEC_H

#include "../Core/Result.h"
#include "PeerFrame.h"
#include <cstdint>
#include <span>
#include <vector>

namespace currantreel {

/// Writes @p frame with its length prefix.
[[nodiscard]] std::vector<std::uint8_t> encodeFrame(const PeerFrame &frame);

/// Reads a frame without its length prefix. Every buffer is verified before use, and every value
/// checked for its range.
/// @return PeerFrameMalformed if it is not a frame of this protocol.
[[nodiscard]] Result<PeerFrame> decodeFrame(std::span<const std::uint8_t> bytes);

} // namespace currantreel

#endif
