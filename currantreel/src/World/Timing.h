#ifndef CURRANTREEL_WORLD_TIMING_H
#define CURRANTREEL_WORLD_TIMING_H

#include "../Core/Time.h"
#include <cstddef>
#include <cstdint>

namespace currantreel::timing {

using namespace std::chrono_literals;

/// Time a lease lasts without a renewal.
inline constexpr Duration leasePeriod = 3s;
/// Time between two renewals of a lease.
inline constexpr Duration leaseRenewalInterval = 1s;
/// Time between two looks at the load of owned servers.
inline constexpr Duration loadReportInterval = 100ms;
/// Longest time between ticks.
inline constexpr Duration tickInterval = 20ms;
/// Longest silence of another host that was asked for a grant. No longer than a lease, so that a grant
/// which comes within it has not lapsed.
inline constexpr Duration grantResponseTimeout = 3s;
/// Time without grants after a server refused or failed.
inline constexpr Duration refusalPause = 250ms;
/// Advice to a caller who was shed.
inline constexpr Duration shedRetryAfter = 1s;
/// Longest silence of a backend server during an attempt.
inline constexpr Duration progressTimeout = 15s;
/// Validity of an idempotency key.
inline constexpr Duration keyValidity = 15min;

/// Most requests that wait at one owner for one target.
inline constexpr std::size_t queueCapacity = 10'000;
/// Most idempotency keys in use at one host.
inline constexpr std::size_t keyCapacity = 100'000;
/// Longest wait of a second attempt for its grant.
inline constexpr Duration hedgeQueueBound = 100ms;
/// Retries of a class that may be made before it has had requests, and most saved up.
inline constexpr std::uint32_t retryReserve = 10;
/// Most attempts of one request.
inline constexpr int attemptLimit = 3;

} // namespace currantreel::timing

#endif
