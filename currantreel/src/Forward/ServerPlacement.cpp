#include "ServerPlacement.h"

#include <algorithm>
#include <xxhash.h>

namespace currantreel {

namespace {

/// Cost of one request that runs at a server, in prompt tokens.
constexpr double tokensPerRunningRequest = 60.0;
/// Cost of a kilobyte that leaves the failure domain, in prompt tokens.
constexpr double tokensPerCrossingKilobyte = 20.0;
/// Cost of one request more than the server has slots.
constexpr double tokensPerQueuedRequest = 1'000.0;
/// Cost of a server that is still slow after its start, as a factor.
constexpr double coldFactor = 2.0;
/// Cost per unit of recent failure share.
constexpr double tokensPerFailureShare = 20'000.0;
/// Weight of tokens that this request has to read: they also keep the engine from other work.
constexpr double ownReadingWeight = 20.0;
/// Share of the subject's tokens that the preferred server is taken to have in memory, while this host
/// has not sent it the subject itself.
constexpr double assumedKeptShare = 0.9;
/// Share of an engine's memory that lower tiers may fill.
constexpr double lowerTierMemoryShare = 0.9;
/// Cost of the engines that are for the other kind of prompt.
constexpr double tokensPerShortAmongLong = 6'000.0;
constexpr double tokensPerLongAmongShort = 25'000.0;
/// Tokens that an engine may have to read at once before the streams beside it pause noticeably, and
/// the cost of going beyond.
constexpr double harmlessUnreadTokens = 12'000.0;
constexpr double tokensPerHarm = 80'000.0;

/// Targets of a request in which an engine may read all that it has to read: with more it would make
/// this request late, and all that come after.
constexpr double readShareOfTarget = 1.5;

/// Rank of @p server for @p subject; the highest one is preferred.
std::uint64_t rendezvousRank(const ForwardServer &server, std::uint64_t subject)
{
    return XXH3_64bits_withSeed(&server.id.value, sizeof(server.id.value), subject);
}

/// Servers of the group that the request belongs to.
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

/// @param unread tokens of the request that the server has to read.
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

/// Tokens that the preferred server is taken to have to read at most, though it may have been sent
/// nothing of the subject yet.
double mostUnreadAtPreferred(const Prompt &prompt)
{
    const double whole = prompt.tokens;
    if (prompt.segments.size() <= 1)
        return whole;
    return whole - assumedKeptShare * (whole - prompt.segments.back().tokens);
}

/// What is the same for all servers in one choice.
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
        // Servers that failed this request come last, avoided ones before them.
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
