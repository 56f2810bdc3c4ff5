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
constexpr double ownReadingWeight = 20.0;
/// Share of the shared prefix assumed to be cached at the preferred server, even if this host has
/// not sent it the prefix.
constexpr double assumedKeptShare = 0.9;
/// Share of an engine's memory that requests below the top tier may fill.
constexpr double lowerTierMemoryShare = 0.9;
/// Cost of an engine of the group for the other prompt length, in prompt tokens.
constexpr double tokensPerShortAmongLong = 6'000.0;
constexpr double tokensPerLongAmongShort = 25'000.0;
/// Prefill backlog up to which concurrent streams do not pause noticeably, and the cost of
/// exceeding it with a long prompt in the group for short ones, in prompt tokens.
constexpr double harmlessUnreadTokens = 12'000.0;
constexpr double tokensPerHarm = 80'000.0;

/// Limit of an engine's prefill backlog, as a multiple of the request's target. A longer backlog
/// would make this request and all that follow it late.
constexpr double readShareOfTarget = 1.5;

/// Rendezvous hash of @p server for @p subject; the server with the highest one is preferred.
std::uint64_t rendezvousRank(const ForwardServer &server, std::uint64_t subject)
{
    return XXH3_64bits_withSeed(&server.id.value, sizeof(server.id.value), subject);
}

/// The engines for requests with this prompt length; all servers if the service is not split.
std::span<ForwardServer *const> groupOf(const std::vector<ForwardServer *> &servers,
                                        EngineGroups &groups, const PlacementRequest &request,
                                        TimePoint now)
{
    const std::span<ForwardServer *const> all(servers);
    if (!request.prompt || servers.empty())
        return all;
    const std::uint32_t slots = servers.front()->announced.slots;
    const std::size_t longServers = groups.longEngines(request.service, now, servers.size(), slots);
    if (longServers == 0 || longServers >= all.size())
        return all;
    return request.isLongPrompt ? all.first(longServers) : all.subspan(longServers);
}

const ForwardServer *preferredServer(std::span<ForwardServer *const> group,
                                     const PlacementRequest &request)
{
    if (!request.prompt || request.prompt->segments.empty())
        return nullptr;
    const std::uint64_t subject = request.prompt->subject();
    const ForwardServer *best = nullptr;
    for (const ForwardServer *server : group) {
        if (!best || rendezvousRank(*server, subject) > rendezvousRank(*best, subject))
            best = server;
    }
    return best;
}

/// Whether the server has capacity for the request.
/// @param unread the request's uncached tokens at the server.
bool hasRoom(const ForwardServer &server, const PlacementRequest &request, double uncached)
{
    const ServerLoad load = server.load();
    if (load.requests >= server.mostRequests)
        return false;
    if (server.memoryTokens == 0 || request.isUrgent || !request.prompt)
        return true;
    const double mostUnread = EngineGroups::readTokensPerSecond * readShareOfTarget
                              * std::chrono::duration<double>(request.target).count();
    const bool isBacklogged =
        load.unreadTokens > 0 && static_cast<double>(load.unreadTokens) + uncached > mostUnread;
    if (mostUnread > 0.0 && isBacklogged)
        return false;
    const double needed = static_cast<double>(load.heldTokens) + request.prompt->tokens;
    return load.requests == 0
           || needed <= lowerTierMemoryShare * static_cast<double>(server.memoryTokens);
}

/// Upper bound of the uncached tokens at the preferred server, even if this host has not sent it
/// the shared prefix.
double mostUnreadAtPreferred(const Prompt &prompt)
{
    const double whole = prompt.tokens;
    if (prompt.segments.size() <= 1)
        return whole;
    return whole - assumedKeptShare * (whole - prompt.segments.back().tokens);
}

/// Inputs common to all servers in one choice.
struct Choice
{
    const PlacementRequest *request;
    const ForwardServer *preferred;
    TimePoint now;
};

double groupCost(double backlog, bool isInGroup, const PlacementRequest &request)
{
    if (isInGroup)
        return 0.0;
    if (!request.isLongPrompt)
        return tokensPerShortAmongLong;
    return backlog <= harmlessUnreadTokens ? tokensPerLongAmongShort : tokensPerHarm;
}

double costOf(const ForwardServer &server, double uncached, bool isInGroup, const Choice &choice)
{
    const PlacementRequest &request = *choice.request;
    const ServerLoad load = server.load();
    const double own = &server == choice.preferred
                           ? std::min(uncached, mostUnreadAtPreferred(*request.prompt))
                           : uncached;
    const double backlog = static_cast<double>(load.unreadTokens) + own;
    double cost = static_cast<double>(load.unreadTokens) + ownReadingWeight * own;
    cost += groupCost(backlog, isInGroup, request);
    cost += tokensPerRunningRequest * load.requests;
    const std::uint32_t slots = server.announced.slots;
    if (load.requests >= slots)
        cost += tokensPerQueuedRequest * (load.requests - slots + 1);
    if (choice.now < server.coldUntil)
        cost = cost * coldFactor + tokensPerQueuedRequest;
    if (server.announced.failureDomain != request.failureDomain) {
        constexpr double bytesPerKilobyte = 1'000.0;
        cost += tokensPerCrossingKilobyte * static_cast<double>(request.bytes) / bytesPerKilobyte;
    }
    return cost + tokensPerFailureShare * server.health.failureShare();
}

} // namespace

ForwardServer *chooseServer(ServerDirectory &directory, EngineGroups &groups,
                            const PlacementRequest &request, TimePoint now)
{
    const std::vector<ForwardServer *> servers =
        directory.partition(request.service, request.partition, request.partitionCount);
    const auto group = groupOf(servers, groups, request, now);
    const Choice choice{ &request, preferredServer(group, request), now };
    ForwardServer *best = nullptr;
    double bestCost = 0.0;
    int bestRank = 0;
    const auto groupBegin = static_cast<std::size_t>(group.data() - servers.data());
    for (std::size_t i = 0; i < servers.size(); ++i) {
        ForwardServer *server = servers[i];
        const double uncached = request.prompt ? server->cache.unreadTokens(*request.prompt) : 0.0;
        if (!hasRoom(*server, request, uncached))
            continue;
        const bool isTried = std::find(request.tried.begin(), request.tried.end(), server->id)
                             != request.tried.end();
        // Servers that failed this request are ranked last, after those that are avoided.
        const int rank = isTried ? 2 : (directory.isAvoided(*server, now) ? 1 : 0);
        const bool isInGroup = i >= groupBegin && i < groupBegin + group.size();
        const double cost = costOf(*server, uncached, isInGroup, choice);
        if (!best || rank < bestRank || (rank == bestRank && cost < bestCost)) {
            best = server;
            bestCost = cost;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace currantreel
