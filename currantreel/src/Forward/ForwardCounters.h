#ifndef CURRANTREEL_FORWARD_FORWARDCOUNTERS_H
#define CURRANTREEL_FORWARD_FORWARDCOUNTERS_H

#include "../Core/ResultCode.h"
#include "DurationHistogram.h"
#include <cstdint>
#include <map>

namespace currantreel {

/// Counts of forwarded requests since the process started.
struct ForwardCounters
{
    std::uint64_t arrived = 0;
    std::uint64_t completed = 0; ///< A backend server's whole answer was passed on.
    std::uint64_t late = 0; ///< Of these, begun after the target.
    std::uint64_t callersDisconnected = 0;
    std::uint64_t attempts = 0;
    std::uint64_t ownerRequests = 0; ///< Choices asked of owners.
    std::uint64_t ownerRequestsFull = 0; ///< Of these, answered that no server has room.
    std::uint64_t ownerRequestsUnanswered = 0; ///< Of these, not answered in time.
    std::uint64_t retries = 0; ///< Attempts beyond the first of each request.
    std::uint64_t streamsResumed = 0; ///< Streams that went on at another server.
    std::uint64_t repliesAborted = 0; ///< Replies that were cut off.
    std::map<ResultCode, std::uint64_t> refused;
    DurationHistogram firstEvents; ///< From arrival to the first event, or to the whole answer.
    DurationHistogram pauses; ///< Longest pause of each stream.
};

} // namespace currantreel

#endif
