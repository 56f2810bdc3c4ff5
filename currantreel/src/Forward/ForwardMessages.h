#ifndef CURRANTREEL_FORWARD_FORWARDMESSAGES_H
#define CURRANTREEL_FORWARD_FORWARDMESSAGES_H

#include "../Core/Id.h"
#include "../Core/Outcome.h"
#include "../Core/ResultCode.h"
#include "../Core/Time.h"
#include "../Settings/Address.h"
#include "PlacementMessages.h"
#include "Prompt.h"
#include <string>
#include <variant>
#include <vector>

namespace currantreel {

/// A caller's request was read whole.
struct CallArrived
{
    RequestId request;
    std::string callerId; ///< The caller's own identifier of the request, for the log.
    std::string host;
    std::string path; ///< With query.
    std::string key; ///< Key of the caller's workspace; empty if it sent none.
    Duration callerTimeout{}; ///< How long the caller waits; zero if it does not say.
    Prompt prompt;
    std::size_t bytes = 0; ///< Of the body.
};

/// Head or whole of a backend server's answer.
struct AnswerStatus
{
    int status = 0;
    bool reportsNotRun = false; ///< The server states that it did not run the request.
};

/// How an attempt ended without a whole answer.
enum class AttemptFailure : std::uint8_t {
    NotConnected, ///< Nothing was written.
    Broken, ///< The connection ended, or its bytes were no answer.
    WrongAnswer, ///< The answer belongs to another request.
};

/// Send the request to a backend server.
struct StartForward
{
    RequestId request;
    AttemptId attempt;
    Address address;
    std::string instance; ///< The run of the server that is meant.
    std::string workspace; ///< Empty for open routes.
    Duration timeLeft{};
    std::uint8_t priority = 0; ///< For the engine's queue, 0 goes first.
    bool hasPriority = false;
    bool isRepeatable = false; ///< May go over a connection that was used before.
};

/// Stop an attempt and close its connection.
struct CancelForward
{
    AttemptId attempt;
};

/// Pass on the attempt's answer: events as they come, anything else once it is whole.
struct RelayForward
{
    RequestId request;
    AttemptId attempt;
};

/// The relayed answer is whole; end the reply.
struct FinishForward
{
    RequestId request;
};

/// Answer with a numbered error.
struct RefuseForward
{
    RequestId request;
    ResultCode code = ResultCode::NoBackendServer;
    Outcome outcome = Outcome::NotRun;
    Duration retryAfter{}; ///< Zero: no advice.
};

/// End a reply that has begun and cannot be completed, so that the caller sees it cut off.
struct AbortForward
{
    RequestId request;
};

/// Send a message about placing to the owner @p owner.
struct SendToOwner
{
    HostId owner;
    std::variant<PlacementGrantRequest, PlacementUpdates, ActivePlacements> message;
};

/// The owner did not answer in time: let others be asked for a while.
struct ExcludeOwner
{
    HostId owner;
};

/// What a decision was about.
enum class DecisionKind : std::uint8_t { Chosen, Queued, Refused, Retried, Resumed, Ended, Broken };

/// A decision that touched a request, for the log.
struct DecisionRecord
{
    DecisionKind kind = DecisionKind::Ended;
    RequestId request;
    std::string callerId;
    std::string route;
    std::string instance; ///< Backend server, if one was involved.
    ResultCode code{}; ///< 0 if the decision is no refusal.
    Outcome outcome = Outcome::Completed;
    int status = 0; ///< Of the backend server's answer; 0 if there is none.
    std::uint64_t version = 0; ///< Of the configuration that decided.
    HostId owner; ///< Host that chose the server; invalid if it was this one.
    std::uint32_t load =
        0; ///< Requests at the chosen server that this host knows, without this one.
    std::uint32_t promptTokens = 0;
    std::uint32_t uncached = 0; ///< Of the prompt, not in the chosen server's memory.
    std::uint32_t queued = 0; ///< Requests in the queue.
    Duration age{}; ///< Since the request arrived.
    Duration firstEvent{}; ///< From arrival to the first event of a stream; zero if none came.
    Duration maxPause{}; ///< Between two arrivals of events of a stream.
};

using ForwardEffect =
    std::variant<StartForward, CancelForward, RelayForward, FinishForward, RefuseForward,
                 AbortForward, SendToOwner, ExcludeOwner, DecisionRecord>;

} // namespace currantreel

#endif
