#ifndef CURRANTREEL_CONFIGURATION_CONFIGURATION_H
#define CURRANTREEL_CONFIGURATION_CONFIGURATION_H

#include "../Core/Id.h"
#include "../Core/Table.h"
#include "../Core/Time.h"
#include "../Settings/Address.h"
#include <cstdint>
#include <string>
#include <vector>

namespace currantreel {

/// Priority level of a request class; 0 is the highest priority.
using Tier = std::uint8_t;

/// Tier of the highest priority. Its requests are never refused for being late, since the slots
/// that they give up would go to lower tiers.
inline constexpr Tier topTier = 0;

/// Number of tiers, 0 to tierCount - 1.
inline constexpr Tier tierCount = 5;

/// Retries per 1000 requests of a class that does not set `retry_permille`.
inline constexpr std::uint32_t defaultRetryPermille = 80;

/// Whether a request of a class may be run more than once.
enum class RepeatRule : std::uint8_t { Idempotent, Never };

/// Whether callers of a class must send an idempotency key.
enum class KeyRule : std::uint8_t { Optional, Required };

/// Whether an answer that misses its target is still of use to the caller.
enum class LateRule : std::uint8_t { Useful, Worthless };

/// Kind of a backend server.
enum class BackendKind : std::uint8_t { Engine, Service };

/// Class of requests with common latency targets and rules for retries, keys and preemption.
struct RequestClass
{
    ClassId id;
    std::string name;
    Tier tier = 0;
    Duration firstTokenTarget{}; ///< From arrival to the first token.
    Duration answerTarget{}; ///< From arrival to the end of the answer.
    RepeatRule repeat = RepeatRule::Idempotent;
    KeyRule keys = KeyRule::Optional;
    LateRule late = LateRule::Useful;
    bool isPreemptible = false; ///< Running requests may be cancelled for a higher tier and rerun.
    Duration queueBound{}; ///< Maximum time an admitted request waits for its grant.
    std::uint32_t retryPermille = defaultRetryPermille; ///< Retries per 1000 requests.
};

/// Customer with a share of the capacity.
struct Workspace
{
    WorkspaceId id;
    std::string name;
    ClassId defaultClass;
    double share = 1.0; ///< Weight among the workspaces of a tier.
};

/// Model served by engines.
struct Model
{
    ModelId id;
    std::string name;
};

/// Model engine or plain service that runs requests.
struct BackendServer
{
    BackendServerId id;
    std::string name;
    BackendKind kind = BackendKind::Engine;
    FailureDomainId failureDomain;
    std::string failureDomainName;
    Address address;
    std::vector<ModelId> models; ///< Models an engine serves.
    ServiceId service; ///< Service a plain service offers.
    std::string serviceName;
    std::uint32_t slots = 0; ///< Maximum number of concurrent requests.
    std::uint32_t kvTokens = 0; ///< Capacity of an engine's KV cache, in tokens; 0 if not declared.
};

/// Everything that operators declare, at one version. The order of the rows depends on the patches
/// and snapshots by which a host reached the version, so decisions on which hosts must agree go by
/// the order of identifiers or names.
struct Configuration
{
    std::uint64_t version = 0; ///< 0 before the first configuration is read.
    std::string digest;
    Table<RequestClass> classes;
    Table<Workspace> workspaces;
    Table<Model> models;
    Table<BackendServer> backendServers;
    /// Minimum share of grants, in thousandths, that each tier gets while its requests wait.
    std::vector<std::uint32_t> floorPermille = std::vector<std::uint32_t>(tierCount, 0);
};

} // namespace currantreel

#endif
