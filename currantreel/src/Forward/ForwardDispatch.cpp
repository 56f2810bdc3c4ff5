#include "ForwardSystem.h"

#include <algorithm>

/// @file
/// The queue of requests, and how they are sent to backend servers.

namespace currantreel {

namespace {

/// Estimated size of one answer token on the wire.
constexpr std::size_t bytesPerAnswerToken = 16;
/// Lowest priority that engines accept; a higher value is less urgent.
constexpr std::uint32_t lowestEnginePriority = 9;

} // namespace

void ForwardSystem::enqueue(Call &call)
{
    call.state = State::Queued;
    m_queues[call.service].add(
        call.id, { QueuePool{ call.rank }, call.sharer, call.missesTarget, call.targetAt });
}

void ForwardSystem::dequeue(const Call &call)
{
    m_queues[call.service].remove(call.id);
}

PlacementCriteria ForwardSystem::criteriaOf(TimePoint now, const Call &call) const
{
    PlacementCriteria criteria;
    criteria.service = call.service;
    criteria.failureDomain = m_failureDomain;
    criteria.rank = call.rank;
    criteria.tried = call.tried;
    criteria.bytes = call.bytes + bytesPerAnswerToken * call.prompt.maxAnswerTokens;
    criteria.partition = call.partition;
    criteria.partitionCount = call.partitionCount;
    if (call.route->hasPrompt)
        criteria.prompt = &call.prompt;
    criteria.isLongPrompt = call.isLongPrompt;
    criteria.target = call.route->target;
    criteria.waited = now - call.arrivedAt;
    criteria.tieBreaker = m_tieBreakerSeed ^ call.id.value;
    return criteria;
}

void ForwardSystem::dispatchQueued(TimePoint now)
{
    for (auto &[service, queue] : m_queues)
        dispatchQueued(now, queue);
}

void ForwardSystem::dispatchQueued(TimePoint now, Queue &queue)
{
    // Strict order: a request never overtakes one before it that found no capacity in the same
    // partition.
    std::set<std::size_t> fullPartitions;
    queue.visit([&](RequestId id) { return tryQueued(now, *m_calls.find(id), fullPartitions); });
}

QueueStep ForwardSystem::tryQueued(TimePoint now, Call &call, std::set<std::size_t> &fullPartitions)
{
    if (now < call.retryAt || isHeld(now, call))
        return {};
    assignPartition(call);
    if (fullPartitions.contains(call.partition))
        return {};
    if (isBlocked(now, call))
        return { call.partitionCount == 1 ? QueueStep::Kind::SkipWorkspace
                                          : QueueStep::Kind::Left };
    if (dispatch(now, call))
        return { QueueStep::Kind::Taken, call.state == State::Sent ? costOf(call) : 0.0 };
    fullPartitions.insert(call.partition);
    return { fullPartitions.size() >= call.partitionCount ? QueueStep::Kind::Stop
                                                          : QueueStep::Kind::Left };
}

double ForwardSystem::costOf(const Call &call)
{
    constexpr double costOfPlainRequest = 1.0;
    return call.route->hasPrompt ? call.prompt.cost(call.uncached) : costOfPlainRequest;
}

bool ForwardSystem::dispatch(TimePoint now, Call &call)
{
    if (const HostId owner = ownerOf(now, call); owner.isValid()) {
        requestGrant(now, call, owner);
        return true;
    }
    ForwardServer *server = chooseServer(m_directory, m_groups, criteriaOf(now, call), now);
    if (!server) {
        // The owner may place it at servers that warm up.
        if (m_directory.warmUp().isWarmingUp(now, call.service))
            call.choosesLocally = false;
        return false;
    }
    call.uncached = server->cache.uncachedTokens(call.prompt);
    if (call.isLongPrompt)
        m_groups.countPrefill(call.service, now, call.uncached);
    else if (call.route->hasPrompt)
        m_groups.countStreamStart(call.service, now);
    if (call.uncached > 0)
        call.tokensToFirstEvent = server->tokensToFirstEvent(call.rank, call.uncached);
    send(now, call, *server, newAttempt());
    return true;
}

void ForwardSystem::send(TimePoint now, Call &call, ForwardServer &server, AttemptId attempt)
{
    DecisionRecord choice = recordOf(now, call, DecisionKind::Chosen);
    choice.instance = server.announced.instance;
    choice.load = server.load().requests;
    choice.owner = call.owner;
    choice.requestDigest = call.digest();
    choice.promptTokens = call.prompt.tokens;
    choice.uncached = call.uncached;
    choice.prefillTokensPerSecond = static_cast<std::uint32_t>(
        m_groups.prefillModel(call.service).tokensPerSecond(now) / server.slowness.value(now));
    addRecord(std::move(choice));
    ++m_counters.attempts;
    if (WorkspaceCounters *own = countersOf(call)) {
        ++own->attempts;
        own->servedCost += costOf(call);
    }
    call.state = State::Sent;
    call.attempt = attempt;
    call.choosesLocally = false;
    call.progress = PlacementProgress::Ended;
    call.server = server.id;
    call.run = server.run();
    call.sentAt = now;
    call.progressAt = now;
    call.isWritten = false;
    call.isProven = false;
    call.checkedRun = {};
    call.heldUntil.reset();
    call.attemptEventAt.reset();
    const bool wasTried =
        std::find(call.tried.begin(), call.tried.end(), server.id) != call.tried.end();
    call.tried.push_back(server.id);
    m_directory.warmUp().countPlacement(now, server.id, call.service);
    m_directory.cachePrompt(server, call.prompt);
    server.own.start(call.rank, call.uncached, call.prompt.reservedTokens());
    m_attempts[call.attempt] = call.id;

    StartForward start;
    start.request = call.id;
    start.attempt = call.attempt;
    start.address = server.announced.address;
    start.instance = server.announced.instance;
    start.workspace = call.workspace;
    start.timeLeft = call.endAt - now;
    start.priority = static_cast<std::uint8_t>(std::min(call.rank, lowestEnginePriority));
    start.hasPriority = server.memoryTokens > 0;
    // The server may just be closing an idle connection, so requests that may not be repeated use a
    // new one. So do those that this server was sent before: it may write its earlier answer again.
    const bool isRepeatable =
        call.route->repeat == RepeatRule::Idempotent || call.route->isResumable;
    start.mayReuseConnection = isRepeatable && !wasTried;
    m_effects.emplace_back(std::move(start));
}

} // namespace currantreel
