#ifndef CURRANTREEL_WORLD_TIMING_H
#define CURRANTREEL_WORLD_TIMING_H

#include "../Core/Time.h"
#include <cstddef>
#include <cstdint>

namespace currantreel::timing {

using namespace std::chrono_literals;

/// Lifetime of a lease without renewal.
inline constexpr Duration leasePeriod = 3s;
/// Interval between renewals of a lease.
inline constexpr Duration leaseRenewalInterval = 1s;
/// Interval at which the load of owned servers is reported.
inline constexpr Duration loadReportInterval = 100ms;
/// Maximum time between two steps.
inline constexpr Duration tickInterval = 20ms;
/// Time after which a grant request that another host has not answered is repeated. At most a lease
/// period, so that a grant received within it has not expired.
inline constexpr Duration grantResponseTimeout = 3s;
/// Time for which a server gets no grants after it refused a request or failed.
inline constexpr Duration refusalPause = 250ms;
/// Retry delay suggested to a caller whose request was shed.
inline constexpr Duration shedRetryAfter = 1s;
/// Time without data from the backend server after which an attempt is given up.
inline constexpr Duration progressTimeout = 15s;
/// Lifetime of an idempotency key.
inline constexpr Duration keyValidity = 15min;

/// Maximum number of requests queued at one owner for one target.
inline constexpr std::size_t queueCapacity = 10'000;
/// Maximum number of idempotency keys in use at one host.
inline constexpr std::size_t keyCapacity = 100'000;
/// Maximum time that a second attempt waits for its grant.
inline constexpr Duration hedgeQueueBound = 100ms;
/// Initial and maximum balance of a class's retry budget, in retries.
inline constexpr std::uint32_t retryReserve = 10;
/// Maximum number of attempts per request.
inline constexpr int attemptLimit = 3;

} // namespace currantreel::timing

#endif
