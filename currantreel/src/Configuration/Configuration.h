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

/// Place in the operators' order of importance; 0 goes first.
using Tier = std::uint8_t;

/// Tier that goes first. Its requests are never refused because they would be late, since the slots they
/// leave would go to lower tiers.
inline constexpr Tier topTier = 0;

/// Number of tiers, 0 to tierCount - 1.
inline constexpr Tier tierCount = 5;

/// Retries per 1000 requests of a class that states none.
inline constexpr std::uint32_t defaultRetryPermille = 80;

/// Whether a request of a class may be run more than once.
enum class RepeatRule : std::uint8_t { Idempotent, Never };

/// Whether callers of a class must bring an idempotency key.
enum class KeyRule : std::uint8_t { Optional, Required };

/// What an answer after its target is worth.
enum class LateRule : std::uint8_t { Useful, Worthless };

/// Kind of a backend server.
enum class BackendKind : std::uint8_t { Engine, Service };

/// Request class.
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
    bool isPreemptible = false; ///< Running work may be cancelled for a higher tier and run again.
    Duration queueBound{}; ///< Longest wait of an admitted request for its grant.
    std::uint32_t retryPermille = defaultRetryPermille; ///< Retries per 1000 requests.
};

/// Workspace: a customer with a share of the capacity.
struct Workspace
{
    WorkspaceId id;
    std::string name;
    ClassId defaultClass;
    double share = 1.0; ///< Weight among the workspaces of a tier.
};

/// Model that engines serve.
struct Model
{
    ModelId id;
    std::string name;
};

/// Backend server: a model engine or a plain service.
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
    std::uint32_t slots = 0; ///< Most requests at once.
    std::uint32_t kvTokens = 0; ///< Tokens that an engine's memory holds; 0 if it states none.
};

/// Everything that operators declare, at one version. The order of the rows depends on the way a host
/// came to the version; what hosts must agree on is decided in the order of identifiers or names.
struct Configuration
{
    std::uint64_t version = 0; ///< 0 before the first one is read.
    std::string digest;
    Table<RequestClass> classes;
    Table<Workspace> workspaces;
    Table<Model> models;
    Table<BackendServer> backendServers;
    /// Share of grants, in thousandths, that each tier is paid at least while it waits.
    std::vector<std::uint32_t> floorPermille = std::vector<std::uint32_t>(tierCount, 0);
};

} // namespace currantreel

#endif
