#include "ServerPlacement.h"

#include <algorithm>
#include <xxhash.h>

namespace currantreel {

namespace {

/// Cost of one request that runs at a server, in prompt tokens.
constexpr double tokensPerRunningRequest = 60.0;
/// Cost of leaving the failure domain, in prompt tokens.
constexpr double tokensPerCrossing = 4'000.0;
/// Cost of a server that is still slow after its start, or of one request too many.
constexpr double tokensPerQueuedRequest = 1'000.0;
constexpr double coldFactor = 2.0;
/// Cost per unit of recent failure share.
constexpr double tokensPerFailureShare = 20'000.0;
/// Share of the subject's tokens that the preferred server is taken to have in memory, while this host
/// has not sent it the subject itself.
constexpr double assumedKeptShare = 0.6;
/// Share of an engine's memory that lower tiers may fill.
constexpr double lowerTierMemoryShare = 0.9;

/// Rank of @p server for @p subject; the highest one is preferred.
std::uint64_t rendezvousRank(const ForwardServer &server, std::uint64_t subject)
{
    return XXH3_64bits_withSeed(&server.id.value, sizeof(server.id.value), subject);
}

const ForwardServer *preferredServer(const std::vector<ForwardServer *> &servers,
                                     const PlacementRequest &request)
{
    if (!request.prompt || request.prompt->parts.empty())
        return nullptr;
    const std::uint64_t subject = request.prompt->subject();
    const ForwardServer *best = nullptr;
    bool isBestNear = false;
    for (const ForwardServer *server : servers) {
        const bool isNear = server->announced.failureDomain == request.failureDomain;
        const bool isBetter =
            !best || (isNear && !isBestNear)
            || (isNear == isBestNear
                && rendezvousRank(*server, subject) > rendezvousRank(*best, subject));
        if (isBetter) {
            best = server;
            isBestNear = isNear;
        }
    }
    return best;
}

bool hasRoom(const ForwardServer &server, const PlacementRequest &request)
{
    const ServerLoad load = server.load();
    if (load.requests >= server.mostRequests)
        return false;
    if (server.memoryTokens == 0 || request.isUrgent || !request.prompt)
        return true;
    const double needed = static_cast<double>(load.heldTokens) + request.prompt->tokens;
    return load.requests == 0
           || needed <= lowerTierMemoryShare * static_cast<double>(server.memoryTokens);
}

double unreadTokens(const ForwardServer &server, const PlacementRequest &request,
                    const ForwardServer *preferred)
{
    if (!request.prompt)
        return 0.0;
    const double whole = request.prompt->tokens;
    double kept = server.cache.keptTokens(*request.prompt);
    if (&server == preferred && request.prompt->parts.size() > 1) {
        const double own = request.prompt->parts.back().tokens;
        kept = std::max(kept, assumedKeptShare * (whole - own));
    }
    return std::max(whole - kept, 0.0);
}

double costOf(const ForwardServer &server, const PlacementRequest &request,
              const ForwardServer *preferred, TimePoint now)
{
    const ServerLoad load = server.load();
    double cost = static_cast<double>(load.unreadTokens) + unreadTokens(server, request, preferred);
    cost += tokensPerRunningRequest * load.requests;
    const std::uint32_t slots = server.announced.slots;
    if (load.requests >= slots)
        cost += tokensPerQueuedRequest * (load.requests - slots + 1);
    if (now < server.coldUntil)
        cost = cost * coldFactor + tokensPerQueuedRequest;
    if (server.announced.failureDomain != request.failureDomain)
        cost += tokensPerCrossing;
    return cost + tokensPerFailureShare * server.health.failureShare();
}

} // namespace

ForwardServer *chooseServer(ServerDirectory &directory, const PlacementRequest &request,
                            TimePoint now)
{
    const std::vector<ForwardServer *> servers = directory.usable(request.service);
    const ForwardServer *preferred = preferredServer(servers, request);
    ForwardServer *best = nullptr;
    double bestCost = 0.0;
    int bestRank = 0;
    for (ForwardServer *server : servers) {
        if (!hasRoom(*server, request))
            continue;
        const bool isTried = std::find(request.tried.begin(), request.tried.end(), server->id)
                             != request.tried.end();
        // Servers that failed this request come last, avoided ones before them.
        const int rank = isTried ? 2 : (server->health.isAvoided(now) ? 1 : 0);
        const double cost = costOf(*server, request, preferred, now);
        if (!best || rank < bestRank || (rank == bestRank && cost < bestCost)) {
            best = server;
            bestCost = cost;
            bestRank = rank;
        }
    }
    return best;
}

bool hasServer(ServerDirectory &directory, const PlacementRequest &request)
{
    return !directory.usable(request.service).empty();
}

} // namespace currantreel
