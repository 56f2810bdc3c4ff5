#ifndef CURRANTREEL_FORWARD_FORWARDCOUNTERS_H
#define CURRANTREEL_FORWARD_FORWARDCOUNTERS_H

#include "../Core/ResultCode.h"
#include "DurationHistogram.h"
#include <cstdint>
#include <map>
#include <string>

namespace currantreel {

/// Counters of one workspace's requests since the process started.
struct WorkspaceCounters
{
    double servedCost = 0.0; ///< Tokens, or requests of services without prompts.
    std::uint64_t attempts = 0;
    std::uint64_t late = 0; ///< Answers that began after the target time.
    std::uint64_t refused = 0;
};

/// Counters of forwarded requests since the process started.
struct ForwardCounters
{
    std::uint64_t arrived = 0;
    std::uint64_t completed = 0; ///< Requests whose complete answer was relayed.
    std::uint64_t late = 0; ///< Answers that began after the target time.
    std::uint64_t callersDisconnected = 0;
    std::uint64_t attempts = 0;
    std::uint64_t ownerRequests = 0; ///< Requests to owners for a server.
    std::uint64_t ownerRequestsFull = 0; ///< Of these, answered that no server has capacity.
    std::uint64_t ownerRequestsUnanswered = 0; ///< Of these, unanswered within the timeout.
    std::uint64_t retries = 0; ///< Attempts beyond the first of each request.
    std::uint64_t streamsResumed = 0; ///< Streams continued at another server.
    std::uint64_t repliesAborted = 0; ///< Replies aborted after they had begun.
    std::uint64_t leavingReports = 0; ///< Servers that told this host that they are about to stop.
    std::uint64_t serverRunsChecked = 0; ///< After unproven requests broke there.
    std::uint64_t serverRunsEnded = 0; ///< Of these, found to have ended.
    std::uint64_t evacuatedGrants = 0; ///< Grants in evacuated domains, returned.
    std::uint64_t evacuatedAttempts = 0; ///< Withdrawn there before anything was written.
    std::map<ResultCode, std::uint64_t> refused;
    /// By workspace, where several share the servers.
    std::map<std::string, WorkspaceCounters> workspaces;
    /// From arrival to the first event or, without a stream, to the complete answer.
    DurationHistogram firstEvents;
    DurationHistogram pauses; ///< Longest pause between events of each stream.
};

} // namespace currantreel

#endif
