#ifndef CURRANTREEL_WORLD_EVENT_H
#define CURRANTREEL_WORLD_EVENT_H

#include "../Configuration/Configuration.h"
#include "../Core/Id.h"
#include "../Core/Time.h"
#include "HostEntry.h"
#include "PeerMessage.h"
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace currantreel {

/// Kind of a caller's request.
enum class RequestKind : std::uint8_t { ChatCompletion, Completion, Service };

/// A caller's request was received completely.
struct RequestArrived
{
    RequestId request;
    RequestKind kind = RequestKind::ChatCompletion;
    std::string className; ///< Empty: the default class of the workspace.
    std::string workspace;
    std::string target; ///< Name of the model or of the service.
    std::uint32_t promptTokens = 0;
    std::uint64_t prefixHash = 0;
    std::uint64_t bodyHash = 0;
    std::optional<Duration> deadline; ///< Caller's time limit for the complete answer.
    std::string idempotencyKey; ///< Empty if the caller sent none.
    bool isForwarded = false; ///< Received from another host.
};

/// A caller requests a new idempotency key.
struct KeyRequested
{
    RequestId request;
};

/// A caller queries the state of a key.
struct KeyStateQueried
{
    RequestId request;
    std::string key;
    bool isForwarded = false;
};

/// The caller's connection closed.
struct CallerDisconnected
{
    RequestId request;
};

/// Status and headers of a backend server's answer arrived.
struct AttemptHead
{
    AttemptId attempt;
    int status = 0;
    bool reportsNotRun = false; ///< The backend server reports that it did not run the request.
};

/// Tokens of an answer arrived.
struct AttemptTokens
{
    AttemptId attempt;
    std::uint32_t tokens = 0;
};

/// The answer is complete.
struct AttemptDone
{
    AttemptId attempt;
};

/// The attempt ended without a complete answer.
struct AttemptFailed
{
    AttemptId attempt;
    bool wasWritten = false; ///< At least one byte was written to the backend server's socket.
};

/// Forwarding a request to another host failed.
struct ForwardFailed
{
    RequestId request;
};

/// A forwarded request ended; its answer was relayed.
struct ForwardDone
{
    RequestId request;
};

/// A complete configuration was supplied directly, as in a replay, which has no platform.
struct ConfigurationRead
{
    std::shared_ptr<const Configuration> configuration;
};

/// The platform answered a read or watch of a published value.
struct PlatformValue
{
    std::string path; ///< As in ReadPlatform; "head" for a watch.
    int status = 0; ///< HTTP status code.
    std::string body;
};

/// The platform did not answer.
struct PlatformUnreachable
{
    std::string path; ///< As in ReadPlatform; "head" for a watch, "hosts" for the host list.
};

/// The platform's list of hosts and backend servers was read. The list may lag behind their state.
struct HostListRead
{
    std::vector<HostEntry> hosts;
    std::vector<BackendServerEntry> backendServers;
};

/// A message from another host arrived.
struct PeerMessageReceived
{
    HostId from;
    PeerMessage message;
    Incarnation process = {}; ///< Run of the sender's process, if it states one.
};

/// A planned shutdown was requested.
struct StopRequested
{
};

/// Any input of the state machine.
using Event = std::variant<RequestArrived, KeyRequested, KeyStateQueried, CallerDisconnected,
                           AttemptHead, AttemptTokens, AttemptDone, AttemptFailed, ForwardFailed,
                           ForwardDone, ConfigurationRead, PlatformValue, PlatformUnreachable,
                           HostListRead, PeerMessageReceived, StopRequested>;

} // namespace currantreel

#endif
