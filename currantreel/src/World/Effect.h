#ifndef CURRANTREEL_WORLD_EFFECT_H
#define CURRANTREEL_WORLD_EFFECT_H

#include "../Core/Id.h"
#include "../Core/Outcome.h"
#include "../Core/Result.h"
#include "../Core/ResultCode.h"
#include "../Core/Time.h"
#include "../Keys/IdempotencyKey.h"
#include "../Keys/KeyTable.h"
#include "../Settings/Address.h"
#include "PeerMessage.h"
#include <string>
#include <variant>
#include <vector>

namespace currantreel {

/// Send the request to a backend server.
struct StartAttempt
{
    AttemptId attempt;
    RequestId request;
    BackendServerId server;
    Address address;
    Tier tier = 0; ///< Priority passed to the engine.
    TimePoint notAfter; ///< End of the lease; nothing may be sent after it.
};

/// Stop an attempt and close its connection.
struct CancelAttempt
{
    AttemptId attempt;
};

/// Relay the attempt's answer to the caller from now on.
struct RelayAttempt
{
    RequestId request;
    AttemptId attempt;
};

/// End the reply: the answer is complete.
struct FinishReply
{
    RequestId request;
};

/// Reply with the error @ref code; in a stream that has begun, as its last event.
struct RefuseRequest
{
    RequestId request;
    ResultCode code = ResultCode::RequestMalformed;
    Outcome outcome = Outcome::NotRun;
    Duration retryAfter{}; ///< Suggested delay before a retry; zero: none.
};

/// Forward the request to another host and relay its answer.
struct ForwardRequest
{
    RequestId request;
    HostId host;
    Address address;
};

/// Return a new idempotency key to the caller.
struct KeyIssued
{
    RequestId request;
    std::string key;
};

/// Return in a reply header the key that was generated for a request without one.
struct KeyAssigned
{
    RequestId request;
    std::string key;
};

/// Reply to a query for the state of a key.
struct KeyStateReported
{
    RequestId request;
    KeyState state = KeyState::Unknown;
};

/// Store the request's answer, which has just been completed, under the key.
struct StoreAnswer
{
    RequestId request;
    KeyId key;
};

/// Reply with the answer stored under the key.
struct ReplayAnswer
{
    RequestId request;
    KeyId key;
};

/// Delete the answer stored under the key.
struct DropAnswer
{
    KeyId key;
};

/// Close the exchange; it needs no further reply.
struct CloseExchange
{
    RequestId request;
};

/// Send a message to another host.
struct SendPeer
{
    HostId to;
    Address address;
    PeerMessage message;
};

/// Replace the connection to another host by a new one: the peer is unresponsive on the current
/// one.
struct ReconnectPeer
{
    HostId host;
    Address address;
};

/// A configuration became active.
struct ConfigurationActivated
{
    std::uint64_t version = 0;
};

/// A published patch was rejected or is held back, or another host's log has diverged.
struct PatchRefused
{
    std::uint64_t number = 0;
    Error error;
};

/// Watch the platform until it publishes a head above position @ref after.
struct WatchPlatform
{
    std::uint64_t after = 0;
};

/// Read a published value.
struct ReadPlatform
{
    std::string path; ///< Relative to the platform's values, as in patch/7.
};

/// Read the platform's list of hosts and backend servers.
struct ReadHostList
{
};

/// All requests in progress have ended after StopRequested; the process may exit.
struct StopCompleted
{
};

/// Any output of the state machine.
using Effect = std::variant<StartAttempt, CancelAttempt, RelayAttempt, FinishReply, RefuseRequest,
                            ForwardRequest, KeyIssued, KeyAssigned, KeyStateReported, StoreAnswer,
                            ReplayAnswer, DropAnswer, CloseExchange, SendPeer, ReconnectPeer,
                            ConfigurationActivated, PatchRefused, WatchPlatform, ReadPlatform,
                            ReadHostList, StopCompleted>;

using EffectList = std::vector<Effect>;

} // namespace currantreel

#endif
