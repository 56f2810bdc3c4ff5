#include "ServerDirectory.h"

#include <algorithm>
#include <xxhash.h>

namespace currantreel {

namespace {

/// Requests that an engine is sent beyond its slots, as a share of the slots. They fill slots that
/// become free before their end is reported; others wait where all engines are known.
constexpr double engineQueueShare = 1.0;
/// The same for services without model engines, whose queues are short.
constexpr double serviceQueueShare = 1.0;
/// The same for requests of all ranks, so that urgent ones are sent beside less urgent ones.
constexpr double maxQueueShare = 1.5;
/// Maximum number of servers of a service in one partition.
constexpr std::size_t maxServersPerPartition = 96;
/// Time for which a removed server is remembered to be about to stop, in case it is announced again.
constexpr Duration leavingMemory = std::chrono::minutes(10);

/// Partition of @p server among @p partitionCount.
std::size_t partitionOf(const ForwardServer &server, std::size_t partitionCount)
{
    return XXH3_64bits(&server.id.value, sizeof(server.id.value)) % partitionCount;
}

} // namespace

bool ServerDirectory::isNewRun(const ForwardServer &known,
                               const ServerAnnouncement &announced) const
{
    if (announced.startedAt == 0)
        return known.announced.startedAt != 0 || known.announced.address != announced.address;
    return known.announced.startedAt != announced.startedAt;
}

const ServerAnnouncement *
ServerDirectory::lostLeavingReport(const ServerAnnouncement &announced) const
{
    const auto id = BackendServerId::ofName(announced.instance);
    const ForwardServer *known = m_servers.find(id);
    const auto withdrawn = m_withdrawnRuns.find(id);
    const ServerAnnouncement *report = known ? &known->announced : nullptr;
    if (!report && withdrawn != m_withdrawnRuns.end())
        report = &withdrawn->second.announced;
    if (!report || !report->isLeaving || announced.isLeaving)
        return nullptr;
    const bool isSameRun =
        report->startedAt == announced.startedAt && report->address == announced.address;
    const bool isOlderCopy =
        isSameRun && announced.era > report->era && announced.sequence <= report->sequence;
    return isOlderCopy ? report : nullptr;
}

void ServerDirectory::announce(TimePoint now, const ServerAnnouncement &server)
{
    const ServerAnnouncement *report = lostLeavingReport(server);
    if (!report) {
        announceAs(now, server);
        return;
    }
    ServerAnnouncement leaving = server;
    leaving.isLeaving = true;
    leaving.sequence = report->sequence;
    announceAs(now, leaving);
}

void ServerDirectory::announceAs(TimePoint now, const ServerAnnouncement &server)
{
    m_withdrawnRuns.erase(BackendServerId::ofName(server.instance));
    const auto id = BackendServerId::ofName(server.instance);
    ForwardServer *known = m_servers.find(id);
    if (!known || isNewRun(*known, server)) {
        ForwardServer added;
        added.id = id;
        // Without a start time, the runs of a server have one identifier.
        if (server.startedAt == 0)
            m_leavingRuns.erase(added.run());
        // Attempts at the previous process are still subtracted when they end.
        if (known)
            added.own = known->own;
        known = &m_servers.insert(std::move(added));
    }
    m_isUsableStale = true;
    known->announced = server;
    known->coldUntil = now + server.coldLeft;
    m_warmUp.recordWarmUp(server.service, known->coldUntil);
    known->hasReportedLeaving = m_leavingRuns.contains(known->run());
    configure(*known);
}

void ServerDirectory::remove(const std::string &instance)
{
    m_servers.remove(BackendServerId::ofName(instance));
    m_isUsableStale = true;
}

void ServerDirectory::withdraw(TimePoint now, const std::string &instance, std::uint32_t era)
{
    std::erase_if(m_withdrawnRuns, [now](const auto &entry) {
        return now - entry.second.withdrawnAt >= leavingMemory;
    });
    const auto id = BackendServerId::ofName(instance);
    if (const ForwardServer *known = m_servers.find(id); known && known->announced.isLeaving) {
        WithdrawnRun &run = m_withdrawnRuns[id] = WithdrawnRun{ known->announced, now };
        run.announced.era = std::max(run.announced.era, era);
    }
    remove(instance);
}

bool ServerDirectory::recordLeaving(TimePoint now, BackendServerId server, ServerRunId run)
{
    ForwardServer *known = m_servers.find(server);
    if (!known || known->run() != run || known->hasReportedLeaving)
        return false;
    known->hasReportedLeaving = true;
    m_isUsableStale = true;
    forgetLeavingRuns(now);
    m_leavingRuns[run] = LeavingRun{ server, now };
    return true;
}

void ServerDirectory::recordWarmUp(TimePoint now, BackendServerId server, ServerRunId run,
                                   Duration coldLeft)
{
    ForwardServer *known = m_servers.find(server);
    if (!known || known->run() != run)
        return;
    known->coldUntil = std::max(known->coldUntil, now + coldLeft);
    m_warmUp.recordWarmUp(known->announced.service, known->coldUntil);
}

void ServerDirectory::runWarmUp(TimePoint now)
{
    m_warmUp.run(now, [this](ServiceId service) { return partitionCount(service); });
}

void ServerDirectory::forgetLeavingRuns(TimePoint now)
{
    std::erase_if(m_leavingRuns, [&](const auto &entry) {
        const ForwardServer *known = m_servers.find(entry.second.server);
        const bool isKnown = known && known->run() == entry.first;
        return !isKnown && now - entry.second.reportedAt >= leavingMemory;
    });
}

std::vector<BackendServerId> ServerDirectory::reportedLeaving(ServiceId service) const
{
    std::vector<BackendServerId> leaving;
    for (const auto &[run, reported] : m_leavingRuns) {
        const ForwardServer *server = m_servers.find(reported.server);
        if (server && server->run() == run && server->announced.service == service)
            leaving.push_back(reported.server);
    }
    return leaving;
}

void ServerDirectory::configure(const RouteConfiguration &configuration)
{
    m_services.clear();
    for (const ForwardService &service : configuration.services)
        m_services[service.id] = service;
    m_warmUp.configure(configuration);
    for (ForwardServer &server : m_servers)
        configure(server);
}

void ServerDirectory::configure(ForwardServer &server) const
{
    const auto found = m_services.find(server.announced.service);
    const bool isEngine = found != m_services.end() && found->second.engine.has_value();
    const double share = isEngine ? engineQueueShare : serviceQueueShare;
    const double slots = std::max<double>(server.announced.slots, 1.0);
    server.maxRequests = static_cast<std::uint32_t>(slots * (1.0 + share));
    server.maxRequestsOfAllRanks = static_cast<std::uint32_t>(slots * (1.0 + maxQueueShare));
    server.memoryTokens = isEngine ? found->second.engine->memoryTokens : 0;
    server.cache.setCapacity(server.memoryTokens);
}

const std::vector<ForwardServer *> &ServerDirectory::usable(ServiceId service)
{
    if (m_isUsableStale)
        rebuildUsable();
    return m_usable[service];
}

void ServerDirectory::rebuildUsable()
{
    m_isUsableStale = false;
    m_usable.clear();
    m_evacuatedServers.clear();
    std::map<std::pair<ServiceId, FailureDomainId>, std::vector<ForwardServer *>> byDomain;
    for (ForwardServer &server : m_servers) {
        if (isUsable(server))
            byDomain[{ server.announced.service, server.announced.failureDomain }].push_back(
                &server);
        else if (!server.isLeaving())
            ++m_evacuatedServers[server.announced.service];
    }
    std::map<ServiceId, std::vector<std::pair<std::size_t, ForwardServer *>>> turns;
    for (auto &[key, servers] : byDomain) {
        std::sort(servers.begin(), servers.end(),
                  [](const ForwardServer *left, const ForwardServer *right) {
                      return left->id < right->id;
                  });
        for (std::size_t turn = 0; turn < servers.size(); ++turn)
            turns[key.first].emplace_back(turn, servers[turn]);
    }
    for (auto &[service, servers] : turns) {
        std::stable_sort(servers.begin(), servers.end(), [](const auto &left, const auto &right) {
            return left.first < right.first;
        });
        for (const auto &[turn, server] : servers)
            m_usable[service].push_back(server);
    }
    rebuildPartitionCounts();
}

void ServerDirectory::rebuildPartitionCounts()
{
    std::map<ServiceId, std::size_t> servers = m_evacuatedServers;
    for (const auto &[service, usableServers] : m_usable)
        servers[service] += usableServers.size();
    m_partitionCounts.clear();
    for (const auto &[service, count] : servers) {
        std::size_t partitions = (count + maxServersPerPartition - 1) / maxServersPerPartition;
        while (partitions > 1 && hasEmptyPartition(service, partitions))
            --partitions;
        m_partitionCounts[service] = partitions;
    }
}

bool ServerDirectory::hasEmptyPartition(ServiceId service, std::size_t partitionCount) const
{
    std::vector<bool> isFilled(partitionCount, false);
    if (const auto found = m_usable.find(service); found != m_usable.end()) {
        for (const ForwardServer *server : found->second)
            isFilled[partitionOf(*server, partitionCount)] = true;
    }
    return std::find(isFilled.begin(), isFilled.end(), false) != isFilled.end();
}

bool ServerDirectory::evacuate(TimePoint now, const std::string &name)
{
    m_isUsableStale = true;
    return m_evacuated.evacuate(now, name);
}

std::optional<EvacuatedDomains::Evacuation> ServerDirectory::takeBack(TimePoint now,
                                                                      const std::string &name)
{
    m_isUsableStale = true;
    return m_evacuated.takeBack(now, name);
}

bool ServerDirectory::hasEvacuated(ServiceId service)
{
    if (m_isUsableStale)
        rebuildUsable();
    return m_evacuatedServers.contains(service);
}

void ServerDirectory::cachePrompt(ForwardServer &server, const Prompt &prompt)
{
    const std::size_t before = server.cache.size();
    server.cache.addPrompt(prompt);
    m_cachedSegments += server.cache.size() - std::min(before, server.cache.size());
    if (m_cachedSegments > maxCachedSegments)
        shrinkCaches();
}

void ServerDirectory::shrinkCaches()
{
    // Some room is left, so that this is not done for each prompt.
    constexpr std::size_t kept = maxCachedSegments / 8 * 7;
    std::vector<PromptCache *> caches;
    for (ForwardServer &server : m_servers)
        caches.push_back(&server.cache);
    std::sort(caches.begin(), caches.end(), [](const PromptCache *left, const PromptCache *right) {
        return left->size() < right->size();
    });
    // The smaller caches leave a part of their equal share to the larger ones.
    m_cachedSegments = 0;
    for (std::size_t i = 0; i < caches.size(); ++i) {
        const std::size_t share = (kept - m_cachedSegments) / (caches.size() - i);
        caches[i]->shrink(share);
        m_cachedSegments += caches[i]->size();
    }
}

void ServerDirectory::recordUnreachable(ForwardServer &server, TimePoint now)
{
    server.health.recordUnreachable(now);
    m_domains[server.announced.failureDomain].recordUnreachable(server.id, now);
}

void ServerDirectory::recordAnswer(const ForwardServer &server)
{
    const auto found = m_domains.find(server.announced.failureDomain);
    if (found != m_domains.end())
        found->second.recordAnswer();
}

bool ServerDirectory::isAvoided(const ForwardServer &server, TimePoint now) const
{
    if (server.health.isAvoided(now))
        return true;
    const auto found = m_domains.find(server.announced.failureDomain);
    return found != m_domains.end() && found->second.isAvoided(now);
}

std::size_t ServerDirectory::partitionCount(ServiceId service)
{
    if (m_isUsableStale)
        rebuildUsable();
    const auto found = m_partitionCounts.find(service);
    return found == m_partitionCounts.end() ? 0 : found->second;
}

std::vector<ForwardServer *> ServerDirectory::partition(ServiceId service, std::size_t partition,
                                                        std::size_t partitionCount)
{
    const std::vector<ForwardServer *> &all = usable(service);
    if (partitionCount <= 1)
        return all;
    std::vector<ForwardServer *> chosen;
    for (ForwardServer *server : all) {
        if (partitionOf(*server, partitionCount) == partition)
            chosen.push_back(server);
    }
    return chosen;
}

} // namespace currantreel
