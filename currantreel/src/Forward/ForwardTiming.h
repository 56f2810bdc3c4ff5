#ifndef CURRANTREEL_FORWARD_FORWARDTIMING_H
#define CURRANTREEL_FORWARD_FORWARDTIMING_H

#include "../Core/Time.h"
#include <cstdint>

namespace currantreel::timing {

using namespace std::chrono_literals;

/// Longest wait for an owner's choice before this host chooses itself.
inline constexpr Duration askTimeout = 80ms;
/// Time until an owner whose servers are full is asked again.
inline constexpr Duration askAgainDelay = 20ms;
/// Most servers that an ask names to avoid.
inline constexpr std::size_t mostAvoided = 16;
/// Longest wait for a connection to a backend server before another server is tried.
inline constexpr Duration forwardConnect = 150ms;
/// Silence of a backend server after which a request that may be repeated goes to another one, as a
/// multiple of its target, and at least.
inline constexpr int silenceTargets = 4;
inline constexpr Duration shortestSilence = 800ms;
/// Silence within a stream, as a multiple of its pause target.
inline constexpr int silencePauses = 4;
/// Wait before a request goes again to a server that failed it, where no other one is left.
inline constexpr Duration retryDelay = 30ms;
/// Part of the time left that a request may spend in the queue.
inline constexpr double queuedShare = 0.5;
/// Part of its target that a request needs at least once it is sent: one that waited longer lets others
/// of its tier go first.
inline constexpr double neededShareOfTarget = 0.4;
/// Advice to callers when nothing better is known.
inline constexpr Duration defaultRetryAfter = 400ms;
/// Time limit of requests that state none on routes that state none.
inline constexpr Duration defaultTimeout = 60s;
/// Connections that failed without a byte written before a request is refused.
inline constexpr std::uint32_t mostConnectFailures = 4;

} // namespace currantreel::timing

#endif
