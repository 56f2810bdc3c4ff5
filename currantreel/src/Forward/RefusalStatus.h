#ifndef CURRANTREEL_FORWARD_REFUSALSTATUS_H
#define CURRANTREEL_FORWARD_REFUSALSTATUS_H

#include "../Core/Outcome.h"
#include "../Core/ResultCode.h"

namespace currantreel {

namespace detail {

inline constexpr int statusRequestTimeout = 408;
inline constexpr int statusMisdirected = 421;
inline constexpr int statusTooManyRequests = 429;
inline constexpr int statusBadGateway = 502;
inline constexpr int statusUnavailable = 503;

} // namespace detail

/// True for an HTTP status that tells the caller that its request has not run and never will.
[[nodiscard]] constexpr bool impliesNotRun(int status)
{
    return status == detail::statusRequestTimeout || status == detail::statusMisdirected
           || status == detail::statusTooManyRequests || status == detail::statusUnavailable;
}

/// HTTP status of a refusal with @p code. A status that implies "not run" is given only if the
/// outcome is NotRun.
[[nodiscard]] constexpr int refusalStatus(ResultCode code, Outcome outcome)
{
    const int status = info(code).httpStatus;
    // A request that was never sent did not run into its time limit at a backend server.
    if (code == ResultCode::RequestTimedOut && outcome == Outcome::NotRun)
        return detail::statusUnavailable;
    if (outcome != Outcome::NotRun && impliesNotRun(status))
        return detail::statusBadGateway;
    return status;
}

} // namespace currantreel

#endif
