#include "ForwardSystem.h"

#include "ForwardTiming.h"
#include "RefusalStatus.h"
#include <algorithm>

namespace currantreel {

namespace {

/// Routes' priorities are ranked within the workspaces' by this factor.
constexpr std::uint32_t prioritiesPerWorkspaceRank = 3;
/// Rank of workspaces that state none.
constexpr std::uint32_t defaultWorkspacePriority = 1;
/// Size of an answer token on the way to the caller.
constexpr std::size_t bytesPerAnswerToken = 16;
/// Least urgent priority that engines know.
constexpr std::uint32_t lowestEnginePriority = 9;

std::uint32_t rankOf(const Route &route, const KeyedWorkspace *workspace)
{
    const std::uint32_t own =
        workspace ? workspace->priority.value_or(defaultWorkspacePriority) : 0;
    const auto within = std::min<std::uint32_t>(route.priority, prioritiesPerWorkspaceRank - 1);
    return own * prioritiesPerWorkspaceRank + within;
}

Duration shortestLimit(Duration caller, Duration route)
{
    if (caller == Duration::zero() && route == Duration::zero())
        return timing::defaultTimeout;
    if (caller == Duration::zero() || route == Duration::zero())
        return std::max(caller, route);
    return std::min(caller, route);
}

} // namespace

ForwardSystem::ForwardSystem(FailureDomainId failureDomain, std::uint64_t seed)
    : m_failureDomain(failureDomain), m_random(seed)
{
}

bool ForwardSystem::onConfiguration(std::shared_ptr<const RouteConfiguration> configuration)
{
    if (!m_routes.update(std::move(configuration)))
        return false;
    m_directory.configure(*m_routes.configuration());
    return true;
}

std::size_t ForwardSystem::queued() const
{
    std::size_t sum = 0;
    for (const auto &[service, queue] : m_queues)
        sum += queue.size();
    return sum;
}

void ForwardSystem::refuseArrival(const CallArrived &event, ResultCode code)
{
    ++m_counters.refused[code];
    const bool isTemporary = info(code).httpStatus == detail::statusUnavailable;
    const Duration advice = isTemporary ? timing::defaultRetryAfter : Duration::zero();
    m_effects.emplace_back(RefuseForward{ event.request, code, Outcome::NotRun, advice });
    DecisionRecord refusal;
    refusal.kind = DecisionKind::Refused;
    refusal.request = event.request;
    refusal.callerId = event.callerId;
    refusal.code = code;
    refusal.outcome = Outcome::NotRun;
    refusal.version = m_routes.version();
    note(std::move(refusal));
}

bool ForwardSystem::admit(TimePoint now, const CallArrived &event, Call &call)
{
    if (m_routes.version() == 0) {
        refuseArrival(event, ResultCode::RequestNoConfiguration);
        return false;
    }
    call.route = m_routes.find(event.host, event.path);
    if (!call.route) {
        refuseArrival(event, ResultCode::RequestUnknownRoute);
        return false;
    }
    call.configuration = m_routes.configuration();
    const KeyedWorkspace *workspace = nullptr;
    if (call.configuration->needsKeys && !call.route->isOpen) {
        workspace = m_routes.workspace(event.key);
        if (!workspace) {
            refuseArrival(event, ResultCode::RequestUnknownKey);
            return false;
        }
        call.workspace = workspace->name;
    }
    call.id = event.request;
    call.callerId = event.callerId;
    call.service = RouteTable::service(*call.route, m_random());
    call.rank = rankOf(*call.route, workspace);
    call.prompt = event.prompt;
    call.bytes = event.bytes;
    if (call.route->hasPrompt) {
        const auto route = RouteId::ofName(call.route->name);
        m_groups.countPrompt(route, call.prompt.tokens);
        call.isLongPrompt = m_groups.isLong(route);
    }
    call.arrivedAt = now;
    call.targetAt = now + call.route->target;
    const Duration limit = shortestLimit(event.callerTimeout, call.route->timeout);
    call.endAt = now + limit;
    call.queuedUntil = now + std::chrono::duration_cast<Duration>(limit * timing::queuedShare);
    return true;
}

void ForwardSystem::onArrived(TimePoint now, const CallArrived &event)
{
    ++m_counters.arrived;
    Call call;
    if (!admit(now, event, call))
        return;
    m_retries.countRequest(call.service, now);
    Call &stored = m_calls.insert(std::move(call));
    enqueue(stored);
    dispatchWaiting(now);
    const Call *queued = m_calls.find(event.request);
    if (queued && queued->state == State::Waiting)
        note(noteOf(now, *queued, DecisionKind::Queued));
}

QueuePosition ForwardSystem::positionOf(const Call &call) const
{
    return QueuePosition{ call.rank, call.isBehind, call.targetAt, call.id };
}

void ForwardSystem::enqueue(Call &call)
{
    call.state = State::Waiting;
    m_queues[call.service].insert(positionOf(call));
}

void ForwardSystem::dequeue(const Call &call)
{
    m_queues[call.service].erase(positionOf(call));
}

PlacementRequest ForwardSystem::placementOf(const Call &call) const
{
    PlacementRequest request;
    request.service = call.service;
    request.failureDomain = m_failureDomain;
    request.isUrgent = call.route->priority == topTier;
    request.tried = call.tried;
    request.bytes = call.bytes + bytesPerAnswerToken * call.prompt.maxAnswerTokens;
    request.partition = call.partition;
    request.partitionCount = call.partitionCount;
    if (call.route->hasPrompt)
        request.prompt = &call.prompt;
    request.isLongPrompt = call.isLongPrompt;
    request.target = call.route->target;
    return request;
}

void ForwardSystem::dispatchWaiting(TimePoint now)
{
    for (auto &[service, queue] : m_queues)
        dispatchWaiting(now, queue);
}

void ForwardSystem::dispatchWaiting(TimePoint now, std::set<QueuePosition> &queue)
{
    // Strict order: what is less urgent does not pass a request that finds no room in the same part.
    std::set<std::size_t> fullParts;
    auto next = queue.begin();
    while (next != queue.end()) {
        Call &call = *m_calls.find(next->request);
        if (now < call.retryAt) {
            ++next;
            continue;
        }
        assignPart(call);
        const bool isHeld = fullParts.contains(call.partition) || isBlocked(now, call);
        if (!isHeld && dispatch(now, call)) {
            next = queue.erase(next);
            continue;
        }
        fullParts.insert(call.partition);
        if (fullParts.size() >= call.partitionCount)
            return;
        ++next;
    }
}

bool ForwardSystem::dispatch(TimePoint now, Call &call)
{
    if (const HostId owner = ownerOf(now, call); owner.isValid()) {
        ask(now, call, owner);
        return true;
    }
    ForwardServer *server = chooseServer(m_directory, m_groups, placementOf(call), now);
    if (!server)
        return false;
    call.uncached = server->cache.unreadTokens(call.prompt);
    if (call.isLongPrompt)
        m_groups.countReading(call.service, now, call.uncached);
    send(now, call, *server, drawAttempt());
    return true;
}

void ForwardSystem::send(TimePoint now, Call &call, ForwardServer &server, AttemptId attempt)
{
    DecisionRecord choice = noteOf(now, call, DecisionKind::Chosen);
    choice.instance = server.announced.instance;
    choice.load = server.load().requests;
    choice.owner = call.owner;
    choice.promptTokens = call.prompt.tokens;
    choice.uncached = call.uncached;
    note(std::move(choice));
    ++m_counters.attempts;
    call.state = State::Sent;
    call.attempt = attempt;
    call.decidesHere = false;
    call.progress = PlacementProgress::Ended;
    call.server = server.id;
    call.sentAt = now;
    call.progressAt = now;
    call.isWritten = false;
    call.tried.push_back(server.id);
    server.cache.remember(call.prompt);
    server.own.start(call.uncached, call.prompt.heldTokens());
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
    start.isRepeatable = call.route->repeat == RepeatRule::Idempotent || call.route->isResumable;
    m_effects.emplace_back(std::move(start));
}

void ForwardSystem::onCallerDisconnected(TimePoint now, RequestId request)
{
    Call *call = m_calls.find(request);
    if (!call)
        return;
    ++m_counters.callersDisconnected;
    DecisionRecord left = noteOf(now, *call, DecisionKind::Ended);
    left.outcome = call->mayHaveRun || call->isWritten ? Outcome::Unknown : Outcome::NotRun;
    note(std::move(left));
    dropAttempt(*call);
    end(request);
    dispatchWaiting(now);
}

void ForwardSystem::end(RequestId request)
{
    const Call *call = m_calls.find(request);
    if (call && call->state == State::Waiting)
        dequeue(*call);
    if (call && call->pendingRequest.isValid())
        m_asks.erase(call->pendingRequest);
    m_calls.remove(request);
}

DecisionRecord ForwardSystem::noteOf(TimePoint now, const Call &call, DecisionKind kind) const
{
    DecisionRecord decision;
    decision.kind = kind;
    decision.request = call.id;
    decision.callerId = call.callerId;
    decision.route = call.route->name;
    if (const ForwardServer *server = m_directory.find(call.server))
        decision.instance = server->announced.instance;
    decision.version = call.configuration->version;
    const auto queue = m_queues.find(call.service);
    decision.queued =
        queue == m_queues.end() ? 0 : static_cast<std::uint32_t>(queue->second.size());
    decision.age = now - call.arrivedAt;
    decision.firstEvent = call.firstEvent;
    decision.maxPause = call.maxPause;
    return decision;
}

void ForwardSystem::note(DecisionRecord note)
{
    m_effects.emplace_back(std::move(note));
}

} // namespace currantreel
