#ifndef CURRANTREEL_PLACEMENT_SERVERDIRECTORY_H
#define CURRANTREEL_PLACEMENT_SERVERDIRECTORY_H

#include "../Core/Table.h"
#include "../Quarantine/SegmentReport.h"
#include "../Routes/RouteConfiguration.h"
#include "../Settings/Address.h"
#include "DomainHealth.h"
#include "EvacuatedDomains.h"
#include "PrefillModel.h"
#include "PromptCache.h"
#include "ServerHealth.h"
#include "ServerLoad.h"
#include "WarmUpLimit.h"
#include <map>
#include <optional>
#include <string>
#include <vector>
#include <xxhash.h>

namespace currantreel {

/// Announcement of a backend server.
struct ServerAnnouncement
{
    std::string instance; ///< Name of the server instance.
    ServiceId service;
    Address address;
    FailureDomainId failureDomain;
    std::uint32_t slots = 1; ///< Number of requests that it runs concurrently.
    bool isLeaving = false; ///< It is about to stop and takes no new requests.
    Duration coldLeft{}; ///< Remaining time of its warm-up.
    std::uint64_t startedAt = 0; ///< Unix time in milliseconds; 0 if not stated.
    std::uint64_t sequence = 0; ///< Rises with each announcement of a run; 0 if not stated.
    std::uint32_t era = 0; ///< Of the store in which it was announced.
};

/// A backend server and its load, cache and health as known to this host.
struct ForwardServer
{
    BackendServerId id;
    ServerAnnouncement announced;
    TimePoint coldUntil;
    ServerLoad own; ///< Load by requests of this host.
    ServerLoad others; ///< Load by requests of other hosts that this host granted as owner.
    PromptCache cache;
    ServerHealth health;
    EngineSlowness slowness;
    bool hasReportedLeaving = false; ///< Its run told this host that it is about to stop.
    std::uint64_t memoryTokens = 0; ///< Size of the KV cache; 0 if the server is no model engine.
    /// Limit of concurrent requests from all hosts, not counting those that are less urgent.
    std::uint32_t maxRequests = 0;
    std::uint32_t maxRequestsOfAllRanks = 0; ///< The same, counting all.

    /// The run of the server's process, the same on all hosts.
    [[nodiscard]] ServerRunId run() const
    {
        return ServerRunId{ XXH3_64bits_withSeed(&id.value, sizeof(id.value),
                                                 announced.startedAt) };
    }

    /// Whether the server takes no new requests, since it is about to stop.
    [[nodiscard]] bool isLeaving() const { return announced.isLeaving || hasReportedLeaving; }

    /// Load by all requests.
    [[nodiscard]] LoadAmount load() const { return load(rankCount - 1); }
    /// Load by the requests of @p rank and of more urgent ones.
    [[nodiscard]] LoadAmount load(std::uint32_t rank) const
    {
        LoadAmount sum = own.upTo(rank);
        sum.add(others.upTo(rank));
        return sum;
    }
    /// Prompt tokens that the engine prefills until the first event of a request of @p rank; none if
    /// that request waits for a slot, so that the time to its first event tells nothing.
    /// @param uncached the request's uncached tokens.
    [[nodiscard]] std::optional<std::uint64_t> tokensToFirstEvent(std::uint32_t rank,
                                                                  std::uint64_t uncached) const
    {
        if (load().requests >= announced.slots)
            return std::nullopt;
        return load(rank).uncachedTokens + uncached;
    }
};

/// @p server as the limit on servers that warm up sees it.
[[nodiscard]] inline WarmUpServer warmUpOf(const ForwardServer &server, std::size_t partition)
{
    return { server.id, server.announced.service, partition, server.coldUntil };
}

/// All known backend servers and their services.
class ServerDirectory
{
public:
    /// Adds or updates a server. A restarted server of the same name loses its cache and health
    /// records. What its run reported itself holds on.
    void announce(TimePoint now, const ServerAnnouncement &server);

    /// Removes a server that left or was lost.
    void remove(const std::string &instance);

    /// The announcement of a server was withdrawn in @p era of the store. If the server was leaving,
    /// an older copy of its announcement does not bring it back.
    void withdraw(TimePoint now, const std::string &instance, std::uint32_t era);

    /// Applies the limits of services in @p configuration.
    void configure(const RouteConfiguration &configuration);

    [[nodiscard]] ForwardServer *find(BackendServerId id) { return m_servers.find(id); }
    [[nodiscard]] const ForwardServer *find(BackendServerId id) const { return m_servers.find(id); }

    /// Servers of @p service that accept new requests. The order is the same on all hosts and
    /// alternates between failure domains. Valid until the next change of the directory.
    [[nodiscard]] const std::vector<ForwardServer *> &usable(ServiceId service);

    /// Number of partitions into which the servers of @p service are divided among owners. Servers in
    /// evacuated failure domains count too, so that no partition changes while they get no requests;
    /// unless a partition would have no usable server.
    [[nodiscard]] std::size_t partitionCount(ServiceId service);

    /// Usable servers in one partition of @p service, in the order of usable().
    [[nodiscard]] std::vector<ForwardServer *> partition(ServiceId service, std::size_t partition,
                                                         std::size_t partitionCount);

    /// The run @p run of @p server told this host that it is about to stop: it takes no new requests
    /// from now on, whatever is announced about this run. @return false if that is known already, or
    /// if the server has been restarted since.
    bool recordLeaving(TimePoint now, BackendServerId server, ServerRunId run);
    /// Servers of @p service that reported that they are about to stop.
    [[nodiscard]] std::vector<BackendServerId> reportedLeaving(ServiceId service) const;

    /// Sends no new requests to the servers of the failure domain @p name, including those that are
    /// announced later. @return false if it is evacuated already.
    bool evacuate(TimePoint now, const std::string &name);
    /// The servers of the failure domain @p name take requests again.
    /// @return its evacuation; nothing if there is none.
    std::optional<EvacuatedDomains::Evacuation> takeBack(TimePoint now, const std::string &name);
    [[nodiscard]] const EvacuatedDomains &evacuated() const { return m_evacuated; }
    /// Whether @p server is in an evacuated failure domain.
    [[nodiscard]] bool isEvacuated(const ForwardServer &server) const
    {
        return m_evacuated.contains(server.announced.failureDomain);
    }
    /// Whether servers of @p service get no new requests only because of evacuations.
    [[nodiscard]] bool hasEvacuated(ServiceId service);
    /// Whether @p server takes new requests.
    [[nodiscard]] bool isUsable(const ForwardServer &server) const
    {
        return !server.isLeaving() && !isEvacuated(server);
    }
    /// Limit of concurrent requests of all ranks at @p server: lower for a while after an evacuation.
    [[nodiscard]] std::uint32_t maxRequestsOfAllRanks(const ForwardServer &server,
                                                      TimePoint now) const
    {
        return m_evacuated.limitAfterReturn(server.announced.failureDomain, now,
                                            server.maxRequestsOfAllRanks);
    }
    /// The run @p run of @p server told this host in an answer that it warms up for @p coldLeft.
    void recordWarmUp(TimePoint now, BackendServerId server, ServerRunId run, Duration coldLeft);
    /// Limit on requests to servers that warm up.
    [[nodiscard]] WarmUpLimit &warmUp() { return m_warmUp; }
    [[nodiscard]] const WarmUpLimit &warmUp() const { return m_warmUp; }
    /// Periodic work of the limit.
    void runWarmUp(TimePoint now);

    /// Records that @p server was sent @p prompt and caches its segments. Of all servers together,
    /// maxCachedSegments are known at most: above, the largest caches lose their oldest segments.
    void cachePrompt(ForwardServer &server, const Prompt &prompt);
    static constexpr std::size_t maxCachedSegments = 65'536;

    /// Records a failed connection to @p server.
    void recordUnreachable(ForwardServer &server, TimePoint now);
    /// Records an answer of @p server.
    void recordAnswer(const ForwardServer &server);
    /// Whether @p server is to be avoided while there are others.
    [[nodiscard]] bool isAvoided(const ForwardServer &server, TimePoint now) const;

    [[nodiscard]] std::size_t size() const { return m_servers.size(); }
    [[nodiscard]] const Table<ForwardServer> &servers() const { return m_servers; }

private:
    struct LeavingRun
    {
        BackendServerId server;
        TimePoint reportedAt;
    };

    /// A run that was known to leave when its announcement was withdrawn.
    struct WithdrawnRun
    {
        ServerAnnouncement announced;
        TimePoint withdrawnAt;
    };

    /// Announcement of @p announced's server that says that its run leaves, of an earlier era and not
    /// older than @p announced by its sequence: the store was restored from a copy before it. Nullptr
    /// if there is none.
    [[nodiscard]] const ServerAnnouncement *
    lostLeavingReport(const ServerAnnouncement &announced) const;
    [[nodiscard]] bool isNewRun(const ForwardServer &known,
                                const ServerAnnouncement &announced) const;
    void announceAs(TimePoint now, const ServerAnnouncement &server);
    void forgetLeavingRuns(TimePoint now);
    void shrinkCaches();
    void configure(ForwardServer &server) const;
    void rebuildUsable();
    void rebuildPartitionCounts();
    [[nodiscard]] bool hasEmptyPartition(ServiceId service, std::size_t partitionCount) const;

    Table<ForwardServer> m_servers;
    std::map<ServerRunId, LeavingRun> m_leavingRuns;
    std::map<BackendServerId, WithdrawnRun> m_withdrawnRuns;
    std::map<ServiceId, std::vector<ForwardServer *>> m_usable;
    std::map<ServiceId, std::size_t> m_evacuatedServers; ///< Usable but for the evacuations.
    std::map<ServiceId, std::size_t> m_partitionCounts;
    bool m_isUsableStale = true;
    std::map<ServiceId, ForwardService> m_services;
    std::map<FailureDomainId, DomainHealth> m_domains;
    EvacuatedDomains m_evacuated;
    WarmUpLimit m_warmUp;
    std::size_t m_cachedSegments = 0; ///< An upper bound.
};

} // namespace currantreel

#endif
