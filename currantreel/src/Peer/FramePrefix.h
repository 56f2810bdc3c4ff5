#ifndef CURRANTREEL_PEER_FRAMEPREFIX_H
#define CURRANTREEL_PEER_FRAMEPREFIX_H

#include "../Core/Result.h"
#include "PeerFrame.h"
#include <optional>
#include <span>
#include <vector>

namespace currantreel {

/// Bytes of the little-endian length before each frame.
inline constexpr std::size_t framePrefixBytes = 4;

/// Length that a frame's prefix states. @param prefix framePrefixBytes bytes.
/// @return PeerFrameMalformed if the length is zero or above maxFrameBytes.
[[nodiscard]] inline Result<std::size_t> readFrameLength(std::span<const std::uint8_t> prefix)
{
    std::size_t length = 0;
    for (std::size_t i = framePrefixBytes; i-- > 0;)
        length = length << 8U | prefix[i];
    if (length == 0 || length > maxFrameBytes)
        return Error{ ResultCode::PeerFrameMalformed, "length " + std::to_string(length) };
    return length;
}

} // namespace currantreel

#endif
