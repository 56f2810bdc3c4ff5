#ifndef CURRANTREEL_FORWARD_FORWARDMESSAGES_H
#define CURRANTREEL_FORWARD_FORWARDMESSAGES_H

#include "../Core/Id.h"
#include "../Core/Outcome.h"
#include "../Core/ResultCode.h"
#include "../Core/Time.h"
#include "../Placement/PlacementMessages.h"
#include "../Placement/Prompt.h"
#include "../Quarantine/SegmentReport.h"
#include "../Settings/Address.h"
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace currantreel {

/// A caller's request was received completely.
struct CallArrived
{
    RequestId request;
    std::string callerId; ///< Identifier that the caller gave the request, for the log.
    std::string host;
    std::string path; ///< Includes the query.
    std::string key; ///< API key of the caller's workspace; empty if none was sent.
    Duration callerTimeout{}; ///< Timeout stated by the caller; zero if none.
    Prompt prompt;
    std::size_t bytes = 0; ///< Size of the body.
    std::uint64_t contentDigest = 0; ///< Of method, target and body.
};

/// Status of a backend server's answer, from its head.
struct AnswerStatus
{
    int status = 0;
    bool reportsNotRun = false; ///< The server states that it did not execute the request.
    bool isEventStream = false;
};

/// Why an attempt ended without a complete answer.
enum class AttemptFailure : std::uint8_t {
    NotConnected, ///< No connection was made; nothing was written.
    Broken, ///< The connection was closed early or delivered an invalid answer.
    WrongAnswer, ///< The answer belongs to another request.
    TooLarge, ///< The answer exceeded a limit of this host.
};

/// Sends the request to a backend server.
struct StartForward
{
    RequestId request;
    AttemptId attempt;
    Address address;
    std::string instance; ///< Server instance that is meant to run the request.
    std::string workspace; ///< Empty for routes that need no key.
    Duration timeLeft{};
    std::uint8_t priority = 0; ///< Priority in the engine's queue; 0 is the highest.
    bool hasPriority = false;
    bool mayReuseConnection = false; ///< The request may be sent over a reused connection.
};

/// Cancels an attempt and closes its connection.
struct CancelForward
{
    AttemptId attempt;
};

/// Relays the attempt's answer to the caller: a stream event by event, any other answer once it is
/// complete.
struct RelayForward
{
    RequestId request;
    AttemptId attempt;
};

/// Ends the reply; the relayed answer is complete.
struct FinishForward
{
    RequestId request;
};

/// Answers the caller with an error.
struct RefuseForward
{
    RequestId request;
    ResultCode code = ResultCode::NoBackendServer;
    Outcome outcome = Outcome::NotRun;
    Duration retryAfter{}; ///< Retry-After advice; zero for none.
};

/// Aborts a reply that has begun and cannot be completed, so that the caller sees it as truncated.
struct AbortForward
{
    RequestId request;
};

/// Sends a placement message to an owner.
struct SendToOwner
{
    HostId owner;
    std::variant<PlacementGrantRequest, PlacementUpdates, ActivePlacements> message;
};

/// Excludes an owner that did not answer in time, so that other hosts are asked for a while.
struct ExcludeOwner
{
    HostId owner;
};

/// Kind of a logged decision.
enum class DecisionKind : std::uint8_t { Chosen, Queued, Refused, Retried, Resumed, Ended, Broken };

/// Log record of a decision about a request.
struct DecisionRecord
{
    DecisionKind kind = DecisionKind::Ended;
    RequestId request;
    std::string callerId;
    std::string route;
    std::string instance; ///< Backend server, if one was involved.
    ResultCode code{}; ///< Reason of a refusal or abort; 0 otherwise.
    Outcome outcome = Outcome::Completed;
    int status = 0; ///< HTTP status of the backend server's answer; 0 if there is none.
    std::uint64_t version = 0; ///< Version of the configuration that the request is served with.
    HostId owner; ///< Host that chose the server; invalid if it was this one.
    /// Requests known to this host at the chosen server, not counting this one.
    std::uint32_t load = 0;
    std::uint64_t requestDigest = 0; ///< Equal for repeats of the same request.
    std::uint32_t promptTokens = 0;
    std::uint32_t uncached = 0; ///< Prompt tokens not in the chosen server's cache.
    /// Estimated prefill rate of the chosen server; as estimated by this host, also if another one
    /// chose.
    std::uint32_t prefillTokensPerSecond = 0;
    std::uint32_t queued = 0; ///< Length of the service's queue.
    Duration age{}; ///< Time since the request arrived.
    Duration firstEvent{}; ///< From arrival to a stream's first event; zero if none arrived.
    Duration maxPause{}; ///< Longest time between arrivals of a stream's events.
};

/// Finds out whether a server's run has ended: by a connection to its address, which a server that
/// has ended refuses.
struct CheckServerRun
{
    ServerRunId run;
    Address address;
};

/// Result of CheckServerRun.
enum class ServerRunState : std::uint8_t {
    Running,
    Ended,
    Unknown, ///< No answer in time.
};

/// Log record of a server that told this host, in an answer, that it is about to stop.
struct LeavingRecord
{
    std::string callerId; ///< Of the request that was answered.
    std::string instance;
};

/// Log record of an attempt that ended without a complete answer.
struct FailureRecord
{
    std::string callerId;
    std::string route;
    std::string instance;
    AttemptFailure failure = AttemptFailure::Broken;
    std::uint64_t requestDigest = 0; ///< Equal for repeats of the same request.
    std::vector<std::uint64_t> sharedSegments; ///< Of the prompt, in their order.
    Duration sent{}; ///< Time since the request was sent.
    std::optional<Duration> answered; ///< Time since the attempt's first event; none if none came.
};

using ForwardEffect = std::variant<StartForward, CancelForward, RelayForward, FinishForward,
                                   RefuseForward, AbortForward, SendToOwner, ExcludeOwner,
                                   CheckServerRun, DecisionRecord, FailureRecord, LeavingRecord>;

} // namespace currantreel

#endif
