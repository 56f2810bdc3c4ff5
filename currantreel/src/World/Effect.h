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
    Tier tier = 0; ///< Priority to tell the engine.
    TimePoint notAfter; ///< End of the lease: nothing may be sent later.
};

/// Stop an attempt and close its connection.
struct CancelAttempt
{
    AttemptId attempt;
};

/// Pass the attempt's answer on to the caller from now on.
struct RelayAttempt
{
    RequestId request;
    AttemptId attempt;
};

/// The answer is whole: end the reply.
struct FinishReply
{
    RequestId request;
};

/// Answer with a numbered error; in a stream that has begun, as its last event.
struct RefuseRequest
{
    RequestId request;
    ResultCode code = ResultCode::RequestMalformed;
    Outcome outcome = Outcome::NotRun;
    Duration retryAfter{}; ///< Zero: no advice.
};

/// Pass the whole exchange on to another host.
struct ForwardRequest
{
    RequestId request;
    HostId host;
    Address address;
};

/// A key was made; give it to the caller.
struct KeyIssued
{
    RequestId request;
    std::string key;
};

/// A key was made for a request that came without one; name it in the reply's header.
struct KeyAssigned
{
    RequestId request;
    std::string key;
};

/// Answer a question about a key.
struct KeyStateReported
{
    RequestId request;
    KeyState state = KeyState::Unknown;
};

/// Keep the request's answer, which has just been received whole, under the key.
struct StoreAnswer
{
    RequestId request;
    KeyId key;
};

/// Answer with what is kept under the key.
struct ReplayAnswer
{
    RequestId request;
    KeyId key;
};

/// Forget what is kept under the key.
struct DropAnswer
{
    KeyId key;
};

/// The exchange is over and needs no reply.
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

/// Open a new connection to another host and use it: the present one is silent.
struct ReconnectPeer
{
    HostId host;
    Address address;
};

/// A configuration came into force.
struct ConfigurationActivated
{
    std::uint64_t version = 0;
};

/// A published patch was rejected or is held, or another host's log differs.
struct PatchRefused
{
    std::uint64_t number = 0;
    Error error;
};

/// Wait until the platform publishes a head beyond @ref after.
struct WatchPlatform
{
    std::uint64_t after = 0;
};

/// Read a published value.
struct ReadPlatform
{
    std::string path; ///< Below the platform's values, as in patch/7.
};

/// Read the platform's list of hosts and backend servers.
struct ReadHostList
{
};

/// Every request in progress has ended after StopRequested; the process may exit.
struct StopCompleted
{
};

/// Everything that a host does.
using Effect = std::variant<StartAttempt, CancelAttempt, RelayAttempt, FinishReply, RefuseRequest,
                            ForwardRequest, KeyIssued, KeyAssigned, KeyStateReported, StoreAnswer,
                            ReplayAnswer, DropAnswer, CloseExchange, SendPeer, ReconnectPeer,
                            ConfigurationActivated, PatchRefused, WatchPlatform, ReadPlatform,
                            ReadHostList, StopCompleted>;

using EffectList = std::vector<Effect>;

} // namespace currantreel

#endif
