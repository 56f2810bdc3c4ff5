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

/// Kind of a caller's exchange.
enum class RequestKind : std::uint8_t { ChatCompletion, Completion, Service };

/// A caller's request was read whole.
struct RequestArrived
{
    RequestId request;
    RequestKind kind = RequestKind::ChatCompletion;
    std::string className; ///< Empty: the workspace's default.
    std::string workspace;
    std::string target; ///< Name of the model or of the service.
    std::uint32_t promptTokens = 0;
    std::uint64_t prefixHash = 0;
    std::uint64_t bodyHash = 0;
    std::optional<Duration> deadline; ///< Caller's own limit on the whole answer.
    std::string idempotencyKey; ///< Empty if the caller sent none.
    bool isForwarded = false; ///< Another host passed it on.
};

/// A caller asks for a new idempotency key.
struct KeyRequested
{
    RequestId request;
};

/// A caller asks what became of a key.
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

/// The head of the backend server's answer arrived.
struct AttemptHead
{
    AttemptId attempt;
    int status = 0;
    bool reportsNotRun = false; ///< The backend server says that it did not run the request.
};

/// Tokens arrived.
struct AttemptTokens
{
    AttemptId attempt;
    std::uint32_t tokens = 0;
};

/// The answer arrived whole.
struct AttemptDone
{
    AttemptId attempt;
};

/// The attempt ended without a whole answer.
struct AttemptFailed
{
    AttemptId attempt;
    bool wasWritten = false; ///< A byte was handed to the backend server's socket.
};

/// Passing a request on to another host failed.
struct ForwardFailed
{
    RequestId request;
};

/// Passing a request on to another host ended; its answer was relayed.
struct ForwardDone
{
    RequestId request;
};

/// A whole configuration was given, as in a replay, which has no platform.
struct ConfigurationRead
{
    std::shared_ptr<const Configuration> configuration;
};

/// The platform answered a read or watch of a published value.
struct PlatformValue
{
    std::string path; ///< As in ReadPlatform; "head" for a watch.
    int status = 0; ///< Of HTTP.
    std::string body;
};

/// The platform did not answer.
struct PlatformUnreachable
{
    std::string path; ///< As in ReadPlatform; "head" for a watch, "hosts" for the host list.
};

/// The platform's lagging list was read.
struct HostListRead
{
    std::vector<HostEntry> hosts;
    std::vector<BackendServerEntry> backendServers;
};

/// A message of another host arrived.
struct PeerMessageReceived
{
    HostId from;
    PeerMessage message;
};

/// A planned stop was ordered.
struct StopRequested
{
};

/// Everything that can happen to a host.
using Event = std::variant<RequestArrived, KeyRequested, KeyStateQueried, CallerDisconnected,
                           AttemptHead, AttemptTokens, AttemptDone, AttemptFailed, ForwardFailed,
                           ForwardDone, ConfigurationRead, PlatformValue, PlatformUnreachable,
                           HostListRead, PeerMessageReceived, StopRequested>;

} // namespace currantreel

#endif
