#ifndef CURRANTREEL_PEER_PEERDECODER_H
#define CURRANTREEL_PEER_PEERDECODER_H

#include "PeerFrame.h"
#include <optional>

namespace currantreel::wire {
struct Frame;
} // namespace currantreel::wire

namespace currantreel::detail {

/// Decodes the message in the body of a verified frame.
/// @return std::nullopt if the body is not a PeerMessage or a value is out of range.
[[nodiscard]] std::optional<PeerMessage> decodeMessage(const wire::Frame &frame);

} // namespace currantreel::detail

#endif
