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

/// True for an HTTP status that tells the caller that its request was not and will not be executed.
[[nodiscard]] constexpr bool impliesNotRun(int status)
{
    return status == detail::statusRequestTimeout || status == detail::statusMisdirected
           || status == detail::statusTooManyRequests || status == detail::statusUnavailable;
}

/// HTTP status of a refusal with @p code. A status that implies that the request was not executed
/// is returned only if @p outcome is NotRun.
[[nodiscard]] constexpr int refusalStatus(ResultCode code, Outcome outcome)
{
    const int status = info(code).httpStatus;
    // The request expired before it was sent, so 504 for a backend server's timeout would be wrong.
    if (code == ResultCode::RequestTimedOut && outcome == Outcome::NotRun)
        return detail::statusUnavailable;
    if (outcome != Outcome::NotRun && impliesNotRun(status))
        return detail::statusBadGateway;
    return status;
}

} // namespace currantreel

#endif
