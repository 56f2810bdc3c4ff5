#include "ForwardSystem.h"

#include "ForwardTiming.h"
#include <algorithm>

/// @file
/// Requests to owners for a backend server, and the updates sent to owners.

namespace currantreel {

namespace {

/// Time for which a request with @p target waits for its owner's answer.
Duration ownerTimeout(Duration target)
{
    const auto share =
        std::chrono::duration_cast<Duration>(target * timing::ownerRequestShareOfTarget);
    return std::clamp(share, timing::ownerRequestTimeout, timing::maxOwnerRequestTimeout);
}

} // namespace

void ForwardSystem::assignPartition(Call &call)
{
    if (!m_ownerOf || !call.route->hasPrompt)
        return;
    call.partitionCount = std::max<std::size_t>(m_directory.partitionCount(call.service), 1);
    call.partition = call.prompt.sharedPrefix() % call.partitionCount;
}

HostId ForwardSystem::ownerOf(TimePoint now, const Call &call)
{
    // While servers warm up, the owner holds most of their limit.
    const bool isOwned =
        call.route->hasPrompt || m_directory.warmUp().isWarmingUp(now, call.service);
    if (!m_ownerOf || !isOwned)
        return {};
    const HostId owner = m_ownerOf(now, call.service, call.partition);
    m_owners.try_emplace({ call.service, call.partition }, owner);
    return call.choosesLocally ? HostId() : owner;
}

void ForwardSystem::requestGrant(TimePoint now, Call &call, HostId owner)
{
    ++m_counters.ownerRequests;
    // While an owner reports no capacity, only one request to it is in flight at a time.
    const auto backoffs = m_ownerBackoffs.find({ call.service, call.partition });
    if (backoffs != m_ownerBackoffs.end()) {
        const auto own = backoffs->second.find(call.sharer);
        if (own != backoffs->second.end() && call.rank >= own->second.rank)
            own->second.until = now + timing::ownerRequestTimeout;
    }
    call.state = State::Requested;
    call.pendingRequest = newAttempt();
    call.requestedOwner = owner;
    m_ownerRequests[call.pendingRequest] = call.id;
    sendGrantRequest(now, call);
}

void ForwardSystem::sendGrantRequest(TimePoint now, Call &call)
{
    call.requestedAt = now;
    call.isQueuedAtOwner = false;
    const PlacementCriteria criteria = criteriaOf(now, call);
    PlacementGrantRequest request;
    request.attempt = call.pendingRequest;
    request.service = call.service;
    request.partition = static_cast<std::uint32_t>(call.partition);
    request.partitionCount = static_cast<std::uint32_t>(call.partitionCount);
    request.failureDomain = m_failureDomain;
    request.prompt = call.prompt;
    request.bytes = criteria.bytes;
    request.isLongPrompt = criteria.isLongPrompt;
    request.rank = criteria.rank;
    request.target = criteria.target;
    request.timeLeft = call.endAt - now;
    request.waited = now - call.arrivedAt;
    request.mayWait = true;
    request.workspace = call.sharer;
    request.avoid = call.tried;
    // The owner may not know yet that they are about to stop.
    for (const BackendServerId server : m_directory.reportedLeaving(call.service)) {
        if (request.avoid.size() < timing::maxAvoidedServers)
            request.avoid.push_back(server);
    }
    for (const ForwardServer *server : m_directory.usable(call.service)) {
        if (request.avoid.size() < timing::maxAvoidedServers && m_directory.isAvoided(*server, now))
            request.avoid.push_back(server->id);
    }
    m_effects.emplace_back(SendToOwner{ call.requestedOwner, std::move(request) });
}

void ForwardSystem::endOwnerRequest(Call &call)
{
    m_ownerRequests.erase(call.pendingRequest);
    call.pendingRequest = {};
    call.isQueuedAtOwner = false;
}

void ForwardSystem::withdrawOwnerRequest(Call &call)
{
    m_updates[call.requestedOwner].updates.push_back(
        { call.pendingRequest, PlacementProgress::Ended });
    endOwnerRequest(call);
}

void ForwardSystem::onQueuedAtOwner(TimePoint now, Call &call)
{
    call.requestedAt = now;
    if (call.isQueuedAtOwner)
        return;
    call.isQueuedAtOwner = true;
    DecisionRecord queued = recordOf(now, call, DecisionKind::Queued);
    queued.owner = call.requestedOwner;
    addRecord(std::move(queued));
}

Duration ForwardSystem::timeSinceHeard(TimePoint now, HostId owner) const
{
    const auto found = m_ownerContacts.find(owner);
    return found == m_ownerContacts.end() ? Duration::max() : now - found->second.heardAt;
}

void ForwardSystem::onOwnerRestarted(TimePoint now, HostId owner)
{
    // Its queue is lost.
    for (Call &call : m_calls) {
        if (call.isQueuedAtOwner && call.requestedOwner == owner)
            sendGrantRequest(now, call);
    }
}

void ForwardSystem::checkOwnerQueue(TimePoint now, Call &call)
{
    const auto known = m_owners.find({ call.service, call.partition });
    const bool isStillOwner = known != m_owners.end() && known->second == call.requestedOwner;
    if (!isStillOwner) {
        withdrawOwnerRequest(call);
        enqueue(call);
        dispatchQueued(now);
        return;
    }
    const Duration waited = now - call.requestedAt;
    const bool isOwnerQuiet = timeSinceHeard(now, call.requestedOwner) >= timing::ownerQueueRefresh;
    const bool isDue = isOwnerQuiet && waited >= timing::ownerQueueRefresh;
    if (isDue || waited >= timing::lostMessageRefresh)
        sendGrantRequest(now, call);
    checkQueued(now, call);
}

void ForwardSystem::checkOwnerRequest(TimePoint now, Call &call)
{
    if (call.isQueuedAtOwner) {
        checkOwnerQueue(now, call);
        return;
    }
    const Duration timeout = ownerTimeout(call.route->target);
    if (now - call.requestedAt < timeout)
        return;
    ++m_counters.ownerRequestsUnanswered;
    if (timeSinceHeard(now, call.requestedOwner) >= timeout)
        m_effects.emplace_back(ExcludeOwner{ call.requestedOwner });
    withdrawOwnerRequest(call);
    call.choosesLocally = true;
    enqueue(call);
    dispatchQueued(now);
}

bool ForwardSystem::isBlocked(TimePoint now, const Call &call) const
{
    const auto backoffs = m_ownerBackoffs.find({ call.service, call.partition });
    if (backoffs == m_ownerBackoffs.end())
        return false;
    const auto own = backoffs->second.find(call.sharer);
    if (own != backoffs->second.end() && now < own->second.until && call.rank >= own->second.rank)
        return true;
    // Less urgent requests of other workspaces are held back too.
    return std::any_of(backoffs->second.begin(), backoffs->second.end(), [&](const auto &item) {
        return now < item.second.until && call.rank > item.second.rank;
    });
}

void ForwardSystem::onGrant(TimePoint now, HostId from, const PlacementGrant &grant)
{
    OwnerContact &contact = m_ownerContacts[from];
    const bool isRestarted = contact.incarnation.isValid() && contact.incarnation != grant.owner;
    contact = OwnerContact{ grant.owner, now };
    const auto found = m_ownerRequests.find(grant.attempt);
    Call *call = found == m_ownerRequests.end() ? nullptr : m_calls.find(found->second);
    if (!call) {
        // The request ended or was placed by this host in the meantime; return the lease.
        if (grant.server.isValid())
            m_updates[from].updates.push_back({ grant.attempt, PlacementProgress::Ended });
        return;
    }
    const Partition partition{ call->service, call->partition };
    if (grant.isQueued) {
        onQueuedAtOwner(now, *call);
    } else if (grant.server.isValid()) {
        endOwnerRequest(*call);
        // Other workspaces that the owner refused stay held back.
        m_ownerBackoffs[partition].erase(call->sharer);
        sendGranted(now, *call, from, grant);
    } else {
        endOwnerRequest(*call);
        ++m_counters.ownerRequestsFull;
        m_ownerBackoffs[partition][call->sharer] =
            OwnerBackoff{ call->rank, now + timing::ownerRetryDelay };
        enqueue(*call);
    }
    if (isRestarted) {
        onOwnerRestarted(now, from);
        sendActivePlacements(now, from, partition.first, partition.second);
    }
    if (grant.server.isValid())
        dispatchQueued(now);
}

void ForwardSystem::sendGranted(TimePoint now, Call &call, HostId owner,
                                const PlacementGrant &grant)
{
    ForwardServer *server = m_directory.find(grant.server);
    const bool isUsable =
        server && server->announced.service == call.service && m_directory.isUsable(*server)
        && m_directory.warmUp().maySendGranted(now, warmUpOf(*server, call.partition));
    if (!isUsable) {
        if (server && m_directory.isEvacuated(*server))
            ++m_counters.evacuatedGrants;
        m_updates[owner].updates.push_back({ grant.attempt, PlacementProgress::Ended });
        call.choosesLocally = true;
        enqueue(call);
        return;
    }
    call.owner = owner;
    call.uncached = grant.uncached;
    call.tokensToFirstEvent.reset();
    send(now, call, *server, grant.attempt);
}

void ForwardSystem::reportProgress(const Call &call, PlacementProgress progress)
{
    if (call.owner.isValid())
        m_updates[call.owner].updates.push_back({ call.attempt, progress });
}

void ForwardSystem::flushUpdates()
{
    for (auto &[owner, updates] : m_updates)
        m_effects.emplace_back(SendToOwner{ owner, std::move(updates) });
    m_updates.clear();
}

void ForwardSystem::checkOwners(TimePoint now)
{
    if (!m_ownerOf)
        return;
    for (auto &[partition, known] : m_owners) {
        const HostId owner = m_ownerOf(now, partition.first, partition.second);
        if (owner == known)
            continue;
        known = owner;
        if (owner.isValid())
            sendActivePlacements(now, owner, partition.first, partition.second);
    }
}

void ForwardSystem::sendActivePlacements(TimePoint now, HostId owner, ServiceId service,
                                         std::size_t partition)
{
    ActivePlacements active;
    active.service = service;
    active.partition = static_cast<std::uint32_t>(partition);
    for (Call &call : m_calls) {
        const bool isAtServer = call.state == State::Sent || call.state == State::Relayed;
        if (!isAtServer || !call.attempt.isValid() || call.service != service
            || call.partition != partition)
            continue;
        call.owner = owner;
        active.placements.push_back({ call.attempt, call.server, call.uncached,
                                      call.prompt.reservedTokens(), call.rank, call.endAt - now });
    }
    m_effects.emplace_back(SendToOwner{ owner, std::move(active) });
}

} // namespace currantreel
