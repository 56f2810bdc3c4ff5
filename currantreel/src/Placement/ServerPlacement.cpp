#include "ServerPlacement.h"

#include <algorithm>
#include <optional>
#include <xxhash.h>

namespace currantreel {

namespace {

/// Cost of each request running at a server, in prompt tokens.
constexpr double tokensPerRunningRequest = 60.0;
/// Cost of a kilobyte sent to another failure domain, in prompt tokens.
constexpr double tokensPerCrossingKilobyte = 20.0;
/// Cost factor of a server that is still warming up.
constexpr double coldFactor = 2.0;
/// Cost of a server that is still warming up, in prompt tokens.
constexpr double tokensPerColdServer = 1'000.0;
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
/// Prefill time of an engine's backlog up to which concurrent streams do not pause noticeably.
constexpr double harmlessBacklogSeconds = 0.15;

/// Limit of an engine's prefill backlog, as a multiple of the request's target. A longer backlog
/// would make this request and all that follow it late.
constexpr double maxBacklogTargets = 1.5;
/// The same for a request that the engine would have to prefill although another engine has it
/// cached. With a higher limit, one engine's overload evicts prefixes at all others, whose prefill
/// then costs more than is gained.
constexpr double maxRepeatedPrefillTargets = 0.2;
/// Limit of the expected wait for a slot, as a multiple of the request's target. A request that would
/// wait longer is kept where the slots of all engines are known, and where requests that can still
/// meet their target go first.
constexpr double maxSlotWaitTargets = 0.4;
/// Share of a prompt from which prefilling it again counts as repeated prefill.
constexpr double minRepeatedShare = 0.25;

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
    const ServerDirectory *directory;
    const ForwardServer *preferred;
    double minUncached = 0.0; ///< Fewest uncached tokens at any server.
    double prefillRate = PrefillModel::defaultTokensPerSecond; ///< Of the service's engines.
    double slotSeconds = 0.0; ///< Mean time for which a request holds a slot of the service.
    TimePoint now;
};

/// Time to the request's target, in seconds; none if it has no target.
std::optional<double> secondsToTarget(const PlacementCriteria &criteria)
{
    if (criteria.target == Duration::zero())
        return std::nullopt;
    return std::chrono::duration<double>(criteria.target - criteria.waited).count();
}

/// Expected time until a request with @p requests ahead of it gets a slot of @p server, in seconds.
double slotWaitSeconds(const ForwardServer &server, std::uint32_t requests, const Choice &choice)
{
    const std::uint32_t slots = std::max(server.announced.slots, 1U);
    if (requests < slots)
        return 0.0;
    const double freedPerSecond = slots / choice.slotSeconds;
    return server.slowness.value(choice.now) * (requests - slots + 1) / freedPerSecond;
}

/// A server as a candidate for the request.
struct Candidate
{
    ForwardServer *server;
    bool isInGroup; ///< It is in the group for the request's prompt length.
    double uncached; ///< The request's uncached tokens at the server.
};

/// Expected time until an engine has prefilled the request and its answer begins, in seconds.
double startSeconds(const Candidate &candidate, const LoadAmount &ahead, const Choice &choice)
{
    const ForwardServer &server = *candidate.server;
    const double tokens = static_cast<double>(ahead.uncachedTokens) + candidate.uncached;
    return slotWaitSeconds(server, ahead.requests, choice)
           + server.slowness.value(choice.now) * tokens / choice.prefillRate;
}

/// Whether the request's answer probably begins after its target at the server. A prefix that an
/// engine still holds is worth the wait only until then.
bool isExpectedLate(const Candidate &candidate, const Choice &choice)
{
    const std::optional<double> left = secondsToTarget(*choice.criteria);
    const ForwardServer &server = *candidate.server;
    if (!left || !choice.criteria->prompt || server.memoryTokens == 0)
        return false;
    return startSeconds(candidate, server.load(choice.criteria->rank), choice) > *left;
}

/// Whether an engine has prefill time and memory for the request.
/// @param ahead load by requests that the engine runs before this one or beside it.
bool hasEngineCapacity(const Candidate &candidate, const LoadAmount &ahead, const Choice &choice)
{
    const PlacementCriteria &criteria = *choice.criteria;
    const ForwardServer &server = *candidate.server;
    const double backlogSeconds = server.slowness.value(choice.now)
                                  * (static_cast<double>(ahead.uncachedTokens) + candidate.uncached)
                                  / choice.prefillRate;
    const bool delaysStreams = criteria.isLongPrompt && !candidate.isInGroup;
    if (delaysStreams && backlogSeconds > harmlessBacklogSeconds)
        return false;
    const bool isRepeatedPrefill =
        candidate.uncached - choice.minUncached
        > minRepeatedShare * static_cast<double>(criteria.prompt->tokens);
    if (isRepeatedPrefill && server.load().requests >= server.announced.slots)
        return false;
    const double targetSeconds = std::chrono::duration<double>(criteria.target).count();
    const double maxWaitSeconds = maxSlotWaitTargets * targetSeconds;
    if (maxWaitSeconds > 0.0 && slotWaitSeconds(server, ahead.requests, choice) > maxWaitSeconds)
        return false;
    const double maxTargets = isRepeatedPrefill ? maxRepeatedPrefillTargets : maxBacklogTargets;
    const double maxSeconds = maxTargets * targetSeconds;
    if (maxSeconds > 0.0 && ahead.uncachedTokens > 0 && backlogSeconds > maxSeconds)
        return false;
    const double needed = static_cast<double>(ahead.reservedTokens) + criteria.prompt->tokens;
    return ahead.requests == 0
           || needed <= maxMemoryShare * static_cast<double>(server.memoryTokens);
}

/// Whether the server has capacity for the request. Less urgent requests count only against the
/// limit of all requests.
bool hasCapacity(const Candidate &candidate, const Choice &choice)
{
    const ForwardServer &server = *candidate.server;
    const std::uint32_t requests = server.load().requests;
    if (requests > 0 && server.health.isOnProbation(choice.now))
        return false;
    const LoadAmount ahead = server.load(choice.criteria->rank);
    if (ahead.requests >= server.maxRequests
        || requests >= choice.directory->maxRequestsOfAllRanks(server, choice.now))
        return false;
    const bool isEngine = server.memoryTokens > 0 && choice.criteria->prompt;
    return !isEngine || hasEngineCapacity(candidate, ahead, choice);
}

double groupCost(bool isInGroup, const PlacementCriteria &criteria)
{
    if (isInGroup)
        return 0.0;
    return criteria.isLongPrompt ? tokensPerLongInShortGroup : tokensPerShortInLongGroup;
}

/// Cost of the slot or memory that the server does not have free, in prompt tokens.
double occupancyCost(const ForwardServer &server, const LoadAmount &load, const Choice &choice)
{
    const std::uint32_t slots = server.announced.slots;
    if (load.requests < slots)
        return 0.0;
    const double cost = choice.prefillRate * slotWaitSeconds(server, load.requests, choice);
    if (server.memoryTokens == 0 || server.load(choice.criteria->rank).requests >= slots)
        return cost;
    // The engine preempts a less urgent request, whose prompt it prefills again later.
    return cost + ownPrefillWeight * static_cast<double>(load.reservedTokens) / load.requests;
}

double costOf(const Candidate &candidate, const Choice &choice)
{
    const PlacementCriteria &criteria = *choice.criteria;
    const ForwardServer &server = *candidate.server;
    const LoadAmount load = server.load();
    double cost =
        server.slowness.value(choice.now)
        * (static_cast<double>(load.uncachedTokens) + ownPrefillWeight * candidate.uncached);
    cost += groupCost(candidate.isInGroup, criteria);
    cost += tokensPerRunningRequest * load.requests;
    cost += occupancyCost(server, load, choice);
    if (choice.now < server.coldUntil)
        cost = cost * coldFactor + tokensPerColdServer;
    if (server.announced.failureDomain != criteria.failureDomain) {
        constexpr double bytesPerKilobyte = 1'000.0;
        cost += tokensPerCrossingKilobyte * static_cast<double>(criteria.bytes) / bytesPerKilobyte;
    }
    return cost + tokensPerFailureShare * server.health.failureShare();
}

/// The best suited of @p servers, in their order.
std::vector<Candidate> candidatesOf(const std::vector<ForwardServer *> &servers,
                                    std::span<ForwardServer *const> group,
                                    ServerDirectory &directory, const Choice &choice)
{
    const PlacementCriteria &criteria = *choice.criteria;
    const auto groupBegin = static_cast<std::size_t>(group.data() - servers.data());
    std::vector<Candidate> candidates;
    candidates.reserve(servers.size());
    Suitability best = Suitability::Failed;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        ForwardServer *server = servers[i];
        const Suitability suitability = suitabilityOf(*server, directory, criteria, choice.now);
        if (suitability > best)
            continue;
        if (suitability < best)
            candidates.clear();
        best = suitability;
        // One that may be sent nothing more for now keeps no request from the others.
        if (!directory.warmUp().mayPlace(choice.now, warmUpOf(*server, criteria.partition)))
            continue;
        const bool isInGroup = i >= groupBegin && i < groupBegin + group.size();
        double uncached = criteria.prompt ? server->cache.uncachedTokens(*criteria.prompt) : 0.0;
        if (server == choice.preferred)
            uncached = std::min(uncached, maxUncachedAtPreferred(*criteria.prompt));
        candidates.push_back({ server, isInGroup, uncached });
    }
    return candidates;
}

/// A candidate as it compares with others.
struct Appraisal
{
    ForwardServer *server = nullptr;
    bool isLate = false; ///< The answer probably begins after the request's target.
    double cost = 0.0;
};

bool isBetter(const Appraisal &left, const Appraisal &right, std::uint64_t tieBreaker)
{
    if (left.isLate != right.isLate)
        return right.isLate;
    if (left.cost != right.cost)
        return left.cost < right.cost;
    // Hosts that know no load would otherwise all choose the first of equal servers.
    return rendezvousRank(*left.server, tieBreaker) > rendezvousRank(*right.server, tieBreaker);
}

/// The best of the candidates that have capacity, or nullptr.
ForwardServer *bestOf(const std::vector<Candidate> &candidates, const Choice &choice)
{
    Appraisal best;
    for (const Candidate &candidate : candidates) {
        if (!hasCapacity(candidate, choice))
            continue;
        const Appraisal appraisal{ candidate.server, isExpectedLate(candidate, choice),
                                   costOf(candidate, choice) };
        if (!best.server || isBetter(appraisal, best, choice.criteria->tieBreaker))
            best = appraisal;
    }
    return best.server;
}

} // namespace

ForwardServer *chooseServer(ServerDirectory &directory, EngineGroups &groups,
                            const PlacementCriteria &criteria, TimePoint now)
{
    const std::vector<ForwardServer *> servers =
        directory.partition(criteria.service, criteria.partition, criteria.partitionCount);
    const auto group = groupOf(servers, groups, criteria, now);
    Choice choice{};
    choice.criteria = &criteria;
    choice.directory = &directory;
    choice.preferred = preferredServer(group, criteria);
    choice.prefillRate = groups.prefillModel(criteria.service).tokensPerSecond(now);
    choice.slotSeconds =
        std::chrono::duration<double>(groups.slotTime(criteria.service, now)).count();
    choice.now = now;
    const std::vector<Candidate> candidates = candidatesOf(servers, group, directory, choice);
    for (const Candidate &candidate : candidates) {
        const bool isFirst = &candidate == candidates.data();
        choice.minUncached =
            isFirst ? candidate.uncached : std::min(choice.minUncached, candidate.uncached);
    }
    return bestOf(candidates, choice);
}

} // namespace currantreel
