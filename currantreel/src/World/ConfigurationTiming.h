#ifndef CURRANTREEL_WORLD_CONFIGURATIONTIMING_H
#define CURRANTREEL_WORLD_CONFIGURATIONTIMING_H

#include "../Core/Time.h"
#include <cstddef>

namespace currantreel::timing {

using namespace std::chrono_literals;

/// Number of hosts per failure domain that watch the platform.
inline constexpr std::size_t watchersPerDomain = 2;
/// Interval at which a host checks whether it is a watcher.
inline constexpr Duration watcherRoleCheckInterval = 250ms;
/// Bounds of the exponential delay before a failed call to the platform is retried.
inline constexpr Duration minPlatformRetry = 500ms;
inline constexpr Duration maxPlatformRetry = 8s;
/// Range of the random delay of a host's first call, for hosts that start at the same time.
inline constexpr Duration platformStartSpread = 1s;
/// Interval at which a watcher reads the host list.
inline constexpr Duration hostListInterval = 1s;
/// Hosts that are not watchers read the platform at an interval of this time multiplied by the
/// number of hosts, so that their total call rate does not grow with the fleet.
inline constexpr Duration directReadIntervalPerHost = 1s;
/// Lower bound of that interval.
inline constexpr Duration minDirectReadInterval = 10s;
/// Time that peers have to deliver a newly published patch before a host reads it from the
/// platform.
inline constexpr Duration peerGracePeriod = 3s;

/// Mean interval between announcements of the log position to a random host.
inline constexpr Duration announceInterval = 2s;
/// Number of hosts that are notified at once of a new log position.
inline constexpr std::size_t announceFanOut = 3;
/// Time after which an unanswered request for patches is sent to another host.
inline constexpr Duration patchRequestTimeout = 1s;
/// Time that a starting host waits for answers from its peers.
inline constexpr Duration startupAnswerTimeout = 1s;
/// Time after startup at which a host serves with the configuration it has, although a newer one
/// may exist.
inline constexpr Duration catchUpTimeout = 30s;

} // namespace currantreel::timing

#endif
