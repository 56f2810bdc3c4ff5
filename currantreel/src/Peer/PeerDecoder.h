#ifndef CURRANTREEL_PEER_PEERDECODER_H
#define CURRANTREEL_PEER_PEERDECODER_H

#include "PeerFrame.h"
#include <optional>

namespace currantreel::wire {
struct Frame;
} // namespace currantreel::wire

namespace currantreel::detail {

/// Reads the message in the body of a verified frame. Nothing if the body is no PeerMessage or a value
/// is out of its range.
[[nodiscard]] std::optional<PeerMessage> decodeMessage(const wire::Frame &frame);

} // namespace currantreel::detail

#endif
