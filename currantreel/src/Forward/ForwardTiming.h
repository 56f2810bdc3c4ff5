#ifndef CURRANTREEL_FORWARD_FORWARDTIMING_H
#define CURRANTREEL_FORWARD_FORWARDTIMING_H

#include "../Core/Time.h"
#include <cstdint>

namespace currantreel::timing {

using namespace std::chrono_literals;

/// Wait for an owner's grant before this host chooses a server itself: a share of the request's
/// target, within bounds.
inline constexpr double ownerRequestShareOfTarget = 0.125;
inline constexpr Duration ownerRequestTimeout = 80ms;
inline constexpr Duration maxOwnerRequestTimeout = 250ms;
/// Delay before another request to an owner that reported no capacity.
inline constexpr Duration ownerRetryDelay = 20ms;
/// Time after which a request that waits at its owner is sent to it again if nothing was received
/// from the owner meanwhile, to notice one that is gone.
inline constexpr Duration ownerQueueRefresh = 500ms;
/// The same for an owner that answers, in case a message about the request was lost.
inline constexpr Duration lostMessageRefresh = 2s;
/// Servers that a request to an owner lists to avoid, at most.
inline constexpr std::size_t maxAvoidedServers = 16;
/// Connection timeout of a backend server; another server is tried after it.
inline constexpr Duration connectTimeout = 150ms;
/// A retryable request goes to another server after its server was unresponsive for this multiple
/// of the request's target, and for minSilence at least.
inline constexpr int silenceTargetMultiple = 4;
inline constexpr Duration minSilence = 800ms;
/// The same within a stream, as a multiple of the route's pause target.
inline constexpr int silencePauseMultiple = 4;
/// Delay before a retry at a server that already failed the request, if no other server is left.
inline constexpr Duration retryDelay = 30ms;
/// Time after the start of a graceful shutdown during which new connections are still accepted,
/// because the platform still routes them to this host.
inline constexpr Duration stopAcceptTime = 3s;
/// Wait for the check whether a server's run has ended.
inline constexpr Duration serverRunCheckTimeout = 300ms;
/// Time for which a request that broke with a server waits for other hosts to report that its
/// segments are sound.
inline constexpr Duration segmentClearanceWait = 500ms;
/// Share of its timeout that a request may spend in the queue.
inline constexpr double maxQueuedShare = 0.5;
/// Retry-After advice to callers.
inline constexpr Duration defaultRetryAfter = 400ms;
/// The same for a request that is refused since all its servers are in evacuated failure domains:
/// an operator takes them back, which takes longer than a free slot.
inline constexpr Duration evacuatedRetryAfter = 2s;
/// Timeout if neither the caller nor the route states one.
inline constexpr Duration defaultTimeout = 60s;
/// Failed connections after which a request is refused.
inline constexpr std::uint32_t maxConnectFailures = 4;

} // namespace currantreel::timing

#endif
