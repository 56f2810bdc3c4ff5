#ifndef CURRANTREEL_FORWARD_FORWARDCOUNTERS_H
#define CURRANTREEL_FORWARD_FORWARDCOUNTERS_H

#include "../Core/ResultCode.h"
#include "DurationHistogram.h"
#include <cstdint>
#include <map>

namespace currantreel {

/// Counters of forwarded requests since the process started.
struct ForwardCounters
{
    std::uint64_t arrived = 0;
    std::uint64_t completed = 0; ///< Requests whose complete answer was relayed.
    std::uint64_t late = 0; ///< Answers that began after the target time.
    std::uint64_t callersLeft = 0;
    std::uint64_t attempts = 0;
    std::uint64_t asked = 0; ///< Requests to owners for a server.
    std::uint64_t full = 0; ///< Of these, answered that no server has capacity.
    std::uint64_t ownersSilent = 0; ///< Of these, unanswered within the timeout.
    std::uint64_t repeats = 0; ///< Attempts beyond the first of each request.
    std::uint64_t resumed = 0; ///< Streams continued at another server.
    std::uint64_t broken = 0; ///< Replies aborted after they had begun.
    std::map<ResultCode, std::uint64_t> refused;
    /// From arrival to the first event or, without a stream, to the complete answer.
    DurationHistogram firstEvents;
    DurationHistogram pauses; ///< Longest pause between events of each stream.
};

} // namespace currantreel

#endif
