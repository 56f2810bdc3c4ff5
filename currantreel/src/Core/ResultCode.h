#ifndef CURRANTREEL_CORE_RESULTCODE_H
#define CURRANTREEL_CORE_RESULTCODE_H

#include <array>
#include <cstdint>
#include <string_view>

namespace currantreel {

/// Numeric result codes. Ranges: 1000 settings, 2000 configuration, 3000 callers' requests,
/// 4000 admission and running, 5000 idempotency keys, 6000 peers, 7000 tools.
/// @see docs/RESULT-CODES.md; a test checks that it matches resultCodeTable.
enum class ResultCode : std::uint16_t {
    SettingsUnreadable = 1001,
    SettingsSyntax = 1002,
    SettingsUnknownKey = 1003,
    SettingsWrongType = 1004,
    SettingsOutOfRange = 1005,
    SettingsMissingKey = 1006,
    SettingsBadAddress = 1007,
    SettingsListenFailed = 1008,

    ConfigurationDuplicateName = 2001,
    ConfigurationUnknownReference = 2002,
    ConfigurationDigestMismatch = 2003,
    ConfigurationUnknownSchema = 2004,
    PatchMalformed = 2005,
    PatchStaleBase = 2006,
    PatchInvalidValue = 2007,
    PatchRemovesUsed = 2008,
    PatchRemovesUnknown = 2009,
    PatchEmpty = 2010,
    PatchTooLarge = 2011,
    PatchHeld = 2012,
    ConfigurationDiverged = 2013,
    SnapshotMalformed = 2014,
    PlatformAnswerMalformed = 2015,

    RequestMalformed = 3001,
    RequestUnknownClass = 3002,
    RequestUnknownWorkspace = 3003,
    RequestUnknownModel = 3004,
    RequestUnknownService = 3005,
    RequestUnknownPath = 3006,
    RequestWrongMethod = 3007,
    RequestNoConfiguration = 3008,
    RequestBadDeadline = 3009,
    RequestUnknownRoute = 3010,
    RequestUnknownKey = 3011,
    RequestBadHead = 3012,
    SegmentNotQuarantined = 3013,

    QueueFull = 4001,
    TargetUnreachable = 4002,
    NoBackendServer = 4003,
    Stopping = 4004,
    BackendServerRefused = 4005,
    BackendServerLost = 4006,
    AnswerIncomplete = 4007,
    AnswerTooLarge = 4008,
    AnswerLate = 4009,
    RequestTimedOut = 4010,
    BackendServersBusy = 4011,
    RequestQuarantined = 4012,
    BackendServersEvacuated = 4013,
    HostMemoryFull = 4014,

    KeyMalformed = 5001,
    KeyRequired = 5002,
    KeyExpired = 5003,
    KeyBurnt = 5004,
    KeyIssuerUnreachable = 5005,
    KeyTableFull = 5006,
    KeyResultDropped = 5007,
    KeyRunUnknown = 5008,
    KeyNotIssuedHere = 5009,
    KeyMismatch = 5010,

    PeerFrameMalformed = 6001,
    PeerProtocolVersion = 6002,
    PeerNotProven = 6003,
    PeerUnknown = 6004,
    PeerSequence = 6005,

    ToolUsage = 7001,
    ToolHostUnreachable = 7002,
};

/// Name, HTTP status and advice of one result code.
struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name;
    std::uint16_t httpStatus; ///< Status of HTTP replies with this code; 0 if there are none.
    std::string_view remedy; ///< Advice on what to do next.
};

/// All result codes in ascending order.
inline constexpr std::array resultCodeTable{
    ResultCodeInfo{ ResultCode::SettingsUnreadable, "settings_unreadable", 0,
                    "check that the file exists and may be read" },
    ResultCodeInfo{ ResultCode::SettingsSyntax, "settings_syntax", 0,
                    "correct the TOML at the line named" },
    ResultCodeInfo{ ResultCode::SettingsUnknownKey, "settings_unknown_key", 0,
                    "remove the key or correct its spelling" },
    ResultCodeInfo{ ResultCode::SettingsWrongType, "settings_wrong_type", 0,
                    "give a value of the type named" },
    ResultCodeInfo{ ResultCode::SettingsOutOfRange, "settings_out_of_range", 0,
                    "give a value in the range named" },
    ResultCodeInfo{ ResultCode::SettingsMissingKey, "settings_missing_key", 0, "add the key" },
    ResultCodeInfo{ ResultCode::SettingsBadAddress, "settings_bad_address", 0,
                    "give an IP number and a port, as in 127.0.0.1:8080" },
    ResultCodeInfo{ ResultCode::SettingsListenFailed, "settings_listen_failed", 0,
                    "free the address or choose another one" },
    ResultCodeInfo{ ResultCode::ConfigurationDuplicateName, "configuration_duplicate_name", 0,
                    "give each entry of a kind its own name" },
    ResultCodeInfo{ ResultCode::ConfigurationUnknownReference, "configuration_unknown_reference", 0,
                    "declare the entry that is referred to" },
    ResultCodeInfo{ ResultCode::ConfigurationDigestMismatch, "configuration_digest_mismatch", 0,
                    "publish the value and its digest together" },
    ResultCodeInfo{ ResultCode::ConfigurationUnknownSchema, "configuration_unknown_schema", 0,
                    "upgrade the hosts before publishing this schema level" },
    ResultCodeInfo{ ResultCode::PatchMalformed, "patch_malformed", 0,
                    "correct the TOML or the key named; see docs/CONFIGURATION.md" },
    ResultCodeInfo{ ResultCode::PatchStaleBase, "patch_stale_base", 0,
                    "look at what changed by config diff, then rebase by config propose --rebase" },
    ResultCodeInfo{ ResultCode::PatchInvalidValue, "patch_invalid_value", 0,
                    "give a value in the range named" },
    ResultCodeInfo{ ResultCode::PatchRemovesUsed, "patch_removes_used", 0,
                    "remove or change what refers to the entry in the same patch" },
    ResultCodeInfo{ ResultCode::PatchRemovesUnknown, "patch_removes_unknown", 0,
                    "correct the kind or the name of the entry to remove" },
    ResultCodeInfo{ ResultCode::PatchEmpty, "patch_empty", 0, "state at least one change" },
    ResultCodeInfo{ ResultCode::PatchTooLarge, "patch_too_large", 0,
                    "split the patch: a published value holds 1,000,000 bytes" },
    ResultCodeInfo{ ResultCode::PatchHeld, "patch_held", 0,
                    "upgrade the host: the patch has a newer schema than the host understands" },
    ResultCodeInfo{ ResultCode::ConfigurationDiverged, "configuration_diverged", 0,
                    "compare config audit of both hosts; a published patch was changed" },
    ResultCodeInfo{ ResultCode::SnapshotMalformed, "snapshot_malformed", 0,
                    "publish the snapshot again: its parts do not make a whole document" },
    ResultCodeInfo{ ResultCode::PlatformAnswerMalformed, "platform_answer_malformed", 0,
                    "correct what the platform publishes at the field named" },
    ResultCodeInfo{ ResultCode::RequestMalformed, "request_malformed", 400,
                    "send a JSON object as documented in docs/CALLERS.md" },
    ResultCodeInfo{ ResultCode::RequestUnknownClass, "request_unknown_class", 400,
                    "name a class of the configuration in Currantreel-Class" },
    ResultCodeInfo{ ResultCode::RequestUnknownWorkspace, "request_unknown_workspace", 403,
                    "name a workspace of the configuration in Currantreel-Workspace" },
    ResultCodeInfo{ ResultCode::RequestUnknownModel, "request_unknown_model", 404,
                    "name a model of the configuration" },
    ResultCodeInfo{ ResultCode::RequestUnknownService, "request_unknown_service", 404,
                    "name a service of the configuration" },
    ResultCodeInfo{ ResultCode::RequestUnknownPath, "request_unknown_path", 404,
                    "use a path of docs/CALLERS.md" },
    ResultCodeInfo{ ResultCode::RequestWrongMethod, "request_wrong_method", 405,
                    "use the method of docs/CALLERS.md" },
    ResultCodeInfo{ ResultCode::RequestNoConfiguration, "request_no_configuration", 503,
                    "retry: this host has no configuration yet" },
    ResultCodeInfo{ ResultCode::RequestBadDeadline, "request_bad_deadline", 400,
                    "give Currantreel-Deadline-Ms as a whole number of milliseconds from 1" },
    ResultCodeInfo{ ResultCode::RequestUnknownRoute, "request_unknown_route", 404,
                    "use a host and path of a published route" },
    ResultCodeInfo{ ResultCode::RequestUnknownKey, "request_unknown_key", 401,
                    "send a key of a workspace of the configuration" },
    ResultCodeInfo{ ResultCode::RequestBadHead, "request_bad_head", 400,
                    "send one Host and an unambiguous length; the detail says what is wrong" },
    ResultCodeInfo{ ResultCode::SegmentNotQuarantined, "segment_not_quarantined", 404,
                    "name a segment that quarantine list shows, as it shows it" },
    ResultCodeInfo{ ResultCode::QueueFull, "queue_full", 503, "retry after the time given" },
    ResultCodeInfo{ ResultCode::TargetUnreachable, "target_unreachable", 503,
                    "retry after the time given: the answer would have come too late" },
    ResultCodeInfo{ ResultCode::NoBackendServer, "no_backend_server", 503,
                    "retry after the time given: no backend server can take the request" },
    ResultCodeInfo{ ResultCode::Stopping, "stopping", 503, "retry at another host" },
    ResultCodeInfo{ ResultCode::BackendServerRefused, "backend_server_refused", 502,
                    "retry: the backend server refused the request and did not run it" },
    ResultCodeInfo{ ResultCode::BackendServerLost, "backend_server_lost", 502,
                    "the connection was lost; read the outcome before retrying" },
    ResultCodeInfo{ ResultCode::AnswerIncomplete, "answer_incomplete", 502,
                    "the answer ended without its end mark; read the outcome before retrying" },
    ResultCodeInfo{ ResultCode::AnswerTooLarge, "answer_too_large", 502,
                    "ask for a shorter answer or a streamed one" },
    ResultCodeInfo{ ResultCode::AnswerLate, "answer_late", 504,
                    "the class calls a late answer worthless; read the outcome before retrying" },
    ResultCodeInfo{ ResultCode::RequestTimedOut, "request_timed_out", 504,
                    "the time limit of the caller or of the route is over" },
    ResultCodeInfo{ ResultCode::BackendServersBusy, "backend_servers_busy", 503,
                    "retry after the time given: the backend server did not run the request" },
    ResultCodeInfo{ ResultCode::RequestQuarantined, "request_quarantined", 503,
                    "do not repeat it soon: backend servers ended under a segment of its prompt" },
    ResultCodeInfo{ ResultCode::BackendServersEvacuated, "backend_servers_evacuated", 503,
                    "repeat the request later: all servers of its service are in failure domains "
                    "that an operator evacuated" },
    ResultCodeInfo{ ResultCode::HostMemoryFull, "host_memory_full", 503,
                    "retry after the time given: requests in progress take all memory that this "
                    "host has for them" },
    ResultCodeInfo{ ResultCode::KeyMalformed, "key_malformed", 400,
                    "get a key by POST /v1/idempotency-keys" },
    ResultCodeInfo{ ResultCode::KeyRequired, "key_required", 428,
                    "get a key by POST /v1/idempotency-keys and send it in Idempotency-Key" },
    ResultCodeInfo{ ResultCode::KeyExpired, "key_expired", 410,
                    "ask for the state of the old key, then get a new one" },
    ResultCodeInfo{ ResultCode::KeyBurnt, "key_burnt", 409,
                    "the key was reported not run and will never run; get a new one" },
    ResultCodeInfo{ ResultCode::KeyIssuerUnreachable, "key_issuer_unreachable", 503,
                    "the host that issued the key is out of reach; ask again later" },
    ResultCodeInfo{ ResultCode::KeyTableFull, "key_table_full", 503, "retry after the time given" },
    ResultCodeInfo{ ResultCode::KeyResultDropped, "key_result_dropped", 410,
                    "the request completed once; its answer is no longer kept" },
    ResultCodeInfo{ ResultCode::KeyRunUnknown, "key_run_unknown", 409,
                    "the run may or may not have happened; check with the service itself" },
    ResultCodeInfo{ ResultCode::KeyNotIssuedHere, "key_not_issued_here", 400,
                    "get a key by POST /v1/idempotency-keys" },
    ResultCodeInfo{ ResultCode::KeyMismatch, "key_mismatch", 422,
                    "the key was used with another body; get a new key" },
    ResultCodeInfo{ ResultCode::PeerFrameMalformed, "peer_frame_malformed", 0,
                    "check what connects to the peers' port" },
    ResultCodeInfo{ ResultCode::PeerProtocolVersion, "peer_protocol_version", 0,
                    "bring the hosts to neighbouring versions" },
    ResultCodeInfo{ ResultCode::PeerNotProven, "peer_not_proven", 0,
                    "give all hosts the same cluster secret" },
    ResultCodeInfo{ ResultCode::PeerUnknown, "peer_unknown", 0,
                    "enter the host into the platform's list" },
    ResultCodeInfo{ ResultCode::PeerSequence, "peer_sequence", 0,
                    "the link was closed and is opened anew" },
    ResultCodeInfo{ ResultCode::ToolUsage, "tool_usage", 0, "see currantreel --help" },
    ResultCodeInfo{ ResultCode::ToolHostUnreachable, "tool_host_unreachable", 0,
                    "check the address of the host's operator port" },
};

/// Table entry of @p code; the first entry if the table lacks the code.
[[nodiscard]] constexpr const ResultCodeInfo &info(ResultCode code)
{
    for (const ResultCodeInfo &entry : resultCodeTable) {
        if (entry.code == code)
            return entry;
    }
    return resultCodeTable.front();
}

/// Numeric value of @p code, as logged and documented.
[[nodiscard]] constexpr int number(ResultCode code)
{
    return static_cast<int>(code);
}

} // namespace currantreel

#endif
