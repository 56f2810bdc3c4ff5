#include "ServerPlacement.h"

#include <algorithm>
#include <xxhash.h>

namespace currantreel {

namespace {

/// Cost of each request running at a server, in prompt tokens.
constexpr double tokensPerRunningRequest = 60.0;
/// Cost of a kilobyte sent to another failure domain, in prompt tokens.
constexpr double tokensPerCrossingKilobyte = 20.0;
/// Cost of each request beyond the server's slots, in prompt tokens.
constexpr double tokensPerQueuedRequest = 1'000.0;
/// Cost factor of a server that is still warming up.
constexpr double coldFactor = 2.0;
/// Cost of a recent failure share of 1, in prompt tokens.
constexpr double tokensPerFailureShare = 20'000.0;
/// Weight of the request's own uncached tokens: their prefill also delays the engine's other work.
constexpr double ownPrefillWeight = 20.0;
/// Share of the shared prefix assumed to be cached at the preferred server, even if this host has
/// not sent it the prefix.
constexpr double assumedCachedShare = 0.9;
/// Share of an engine's memory that running requests may fill.
constexpr double maxMemoryShare = 0.9;
/// Cost of an engine of the group for the other prompt length, in prompt tokens.
constexpr double tokensPerShortInLongGroup = 6'000.0;
constexpr double tokensPerLongInShortGroup = 25'000.0;
/// Prefill backlog up to which concurrent streams do not pause noticeably, and the cost of
/// exceeding it with a long prompt in the group for short ones, in prompt tokens.
constexpr double harmlessBacklogTokens = 12'000.0;
constexpr double tokensPerStreamPause = 80'000.0;

/// Limit of an engine's prefill backlog, as a multiple of the request's target. A longer backlog
/// would make this request and all that follow it late.
constexpr double maxBacklogTargets = 1.5;

/// Rendezvous hash of @p server for @p sharedPrefix; the server with the highest one is preferred.
std::uint64_t rendezvousRank(const ForwardServer &server, std::uint64_t sharedPrefix)
{
    return XXH3_64bits_withSeed(&server.id.value, sizeof(server.id.value), sharedPrefix);
}

/// The engines for requests with this prompt length; all servers if the service is not split.
std::span<ForwardServer *const> groupOf(const std::vector<ForwardServer *> &servers,
                                        EngineGroups &groups, const PlacementCriteria &criteria,
                                        TimePoint now)
{
    const std::span<ForwardServer *const> all(servers);
    if (!criteria.prompt || servers.empty())
        return all;
    const std::uint32_t slots = servers.front()->announced.slots;
    const std::size_t longServers =
        groups.longPromptEngines(criteria.service, now, servers.size(), slots);
    if (longServers == 0 || longServers >= all.size())
        return all;
    return criteria.isLongPrompt ? all.first(longServers) : all.subspan(longServers);
}

const ForwardServer *preferredServer(std::span<ForwardServer *const> group,
                                     const PlacementCriteria &criteria)
{
    if (!criteria.prompt || criteria.prompt->segments.empty())
        return nullptr;
    const std::uint64_t sharedPrefix = criteria.prompt->sharedPrefix();
    const ForwardServer *best = nullptr;
    for (const ForwardServer *server : group) {
        if (!best || rendezvousRank(*server, sharedPrefix) > rendezvousRank(*best, sharedPrefix))
            best = server;
    }
    return best;
}

/// Whether an engine has prefill time and memory for the request.
/// @param ahead load by requests that the engine runs before this one or beside it.
bool hasEngineCapacity(const ForwardServer &server, const PlacementCriteria &criteria,
                       const LoadAmount &ahead, double uncached)
{
    const double maxBacklog = EngineGroups::prefillTokensPerSecond * maxBacklogTargets
                              * std::chrono::duration<double>(criteria.target).count();
    const bool isBacklogged = ahead.uncachedTokens > 0
                              && static_cast<double>(ahead.uncachedTokens) + uncached > maxBacklog;
    if (maxBacklog > 0.0 && isBacklogged)
        return false;
    const double needed = static_cast<double>(ahead.reservedTokens) + criteria.prompt->tokens;
    return ahead.requests == 0
           || needed <= maxMemoryShare * static_cast<double>(server.memoryTokens);
}

/// Whether the server has capacity for the request. Less urgent requests count only against the
/// limit of all requests.
/// @param uncached the request's uncached tokens at the server.
bool hasCapacity(const ForwardServer &server, const PlacementCriteria &criteria, double uncached,
                 TimePoint now)
{
    const std::uint32_t requests = server.load().requests;
    if (requests > 0 && server.health.isOnProbation(now))
        return false;
    const LoadAmount ahead = server.load(criteria.rank);
    if (ahead.requests >= server.maxRequests || requests >= server.maxRequestsOfAllRanks)
        return false;
    const bool isEngine = server.memoryTokens > 0 && criteria.prompt;
    return !isEngine || hasEngineCapacity(server, criteria, ahead, uncached);
}

/// Assumed upper bound of the uncached tokens at the preferred server, even if this host has not
/// sent it the shared prefix.
double maxUncachedAtPreferred(const Prompt &prompt)
{
    const double tokens = prompt.tokens;
    if (prompt.segments.size() <= 1)
        return tokens;
    return tokens - assumedCachedShare * (tokens - prompt.segments.back().tokens);
}

/// Whether a server is expected to serve the request, best first.
enum class Suitability : std::uint8_t { Sound, Avoided, Failed };

Suitability suitabilityOf(const ForwardServer &server, const ServerDirectory &directory,
                          const PlacementCriteria &criteria, TimePoint now)
{
    const auto &tried = criteria.tried;
    if (std::find(tried.begin(), tried.end(), server.id) != tried.end())
        return Suitability::Failed;
    return directory.isAvoided(server, now) ? Suitability::Avoided : Suitability::Sound;
}

/// Inputs common to all servers in one choice.
struct Choice
{
    const PlacementCriteria *criteria;
    const ForwardServer *preferred;
    TimePoint now;
};

double groupCost(double backlog, bool isInGroup, const PlacementCriteria &criteria)
{
    if (isInGroup)
        return 0.0;
    if (!criteria.isLongPrompt)
        return tokensPerShortInLongGroup;
    return backlog <= harmlessBacklogTokens ? tokensPerLongInShortGroup : tokensPerStreamPause;
}

double costOf(const ForwardServer &server, double uncached, bool isInGroup, const Choice &choice)
{
    const PlacementCriteria &criteria = *choice.criteria;
    const LoadAmount load = server.load(criteria.rank);
    const double own = &server == choice.preferred
                           ? std::min(uncached, maxUncachedAtPreferred(*criteria.prompt))
                           : uncached;
    const double backlog = static_cast<double>(load.uncachedTokens) + own;
    double cost = static_cast<double>(load.uncachedTokens) + ownPrefillWeight * own;
    cost += groupCost(backlog, isInGroup, criteria);
    cost += tokensPerRunningRequest * load.requests;
    const std::uint32_t slots = server.announced.slots;
    if (load.requests >= slots)
        cost += tokensPerQueuedRequest * (load.requests - slots + 1);
    if (choice.now < server.coldUntil)
        cost = cost * coldFactor + tokensPerQueuedRequest;
    if (server.announced.failureDomain != criteria.failureDomain) {
        constexpr double bytesPerKilobyte = 1'000.0;
        cost += tokensPerCrossingKilobyte * static_cast<double>(criteria.bytes) / bytesPerKilobyte;
    }
    return cost + tokensPerFailureShare * server.health.failureShare();
}

} // namespace

ForwardServer *chooseServer(ServerDirectory &directory, EngineGroups &groups,
                            const PlacementCriteria &criteria, TimePoint now)
{
    const std::vector<ForwardServer *> servers =
        directory.partition(criteria.service, criteria.partition, criteria.partitionCount);
    const auto group = groupOf(servers, groups, criteria, now);
    const Choice choice{ &criteria, preferredServer(group, criteria), now };
    ForwardServer *best = nullptr;
    double bestCost = 0.0;
    Suitability bestSuitability = Suitability::Failed;
    const auto groupBegin = static_cast<std::size_t>(group.data() - servers.data());
    for (std::size_t i = 0; i < servers.size(); ++i) {
        ForwardServer *server = servers[i];
        const Suitability suitability = suitabilityOf(*server, directory, criteria, now);
        if (suitability > bestSuitability)
            continue;
        if (suitability < bestSuitability) {
            best = nullptr;
            bestSuitability = suitability;
        }
        const double uncached =
            criteria.prompt ? server->cache.uncachedTokens(*criteria.prompt) : 0.0;
        if (!hasCapacity(*server, criteria, uncached, now))
            continue;
        const bool isInGroup = i >= groupBegin && i < groupBegin + group.size();
        const double cost = costOf(*server, uncached, isInGroup, choice);
        if (!best || cost < bestCost) {
            best = server;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace currantreel
