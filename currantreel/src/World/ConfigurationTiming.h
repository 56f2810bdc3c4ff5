#ifndef CURRANTREEL_WORLD_CONFIGURATIONTIMING_H
#define CURRANTREEL_WORLD_CONFIGURATIONTIMING_H

#include "../Core/Time.h"
#include <cstddef>

namespace currantreel::timing {

using namespace std::chrono_literals;

/// Hosts of a failure domain that hold a watch on the platform.
inline constexpr std::size_t watchersPerDomain = 2;
/// Time between two checks whether a host is a config reader.
inline constexpr Duration watcherRoleCheckInterval = 250ms;
/// Shortest and longest time before a call is made again that the platform did not answer well.
inline constexpr Duration minPlatformRetry = 500ms;
inline constexpr Duration maxPlatformRetry = 8s;
/// Spread of the first calls of hosts that start together.
inline constexpr Duration platformStartSpread = 1s;
/// Time between two reads of the host list by a config reader.
inline constexpr Duration hostListInterval = 1s;
/// Other hosts read the platform themselves once in this time for each host of the fleet, so that
/// their calls all together do not grow with the fleet.
inline constexpr Duration directReadIntervalPerHost = 1s;
/// Shortest time between two such reads.
inline constexpr Duration minDirectReadInterval = 10s;
/// Time that peers have to bring what the platform announced, before a host reads it itself.
inline constexpr Duration peerGracePeriod = 3s;

/// Time between two announcements to a random host.
inline constexpr Duration announceInterval = 2s;
/// Hosts that are told at once of a new position.
inline constexpr std::size_t announceFanOut = 3;
/// Time after which an unanswered request for patches goes to another host.
inline constexpr Duration patchRequestTimeout = 1s;
/// Time that peers have to answer a host which has just started.
inline constexpr Duration startupAnswerTimeout = 1s;
/// Time after which a started host serves with what it has, if no more can be had.
inline constexpr Duration catchUpTimeout = 30s;

} // namespace currantreel::timing

#endif
