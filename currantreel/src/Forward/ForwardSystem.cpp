#include "ForwardSystem.h"

#include "ForwardTiming.h"
#include "RefusalStatus.h"
#include <algorithm>

namespace currantreel {

namespace {

/// Number of route priorities within one workspace priority.
constexpr std::uint32_t routePrioritiesPerWorkspacePriority = 3;
/// Priority of workspaces that state none.
constexpr std::uint32_t defaultWorkspacePriority = 1;
/// Maximum number of workspaces with counters of their own.
constexpr std::size_t maxCountedWorkspaces = 256;
/// Tells the numbers of attempts from the other random numbers of a process.
constexpr std::uint64_t attemptSeed = 0x61'74'74'65'6d'70'74;

std::uint32_t rankOf(const Route &route, const KeyedWorkspace *workspace)
{
    const std::uint32_t workspacePriority =
        workspace ? workspace->priority.value_or(defaultWorkspacePriority) : 0;
    const auto routePriority =
        std::min<std::uint32_t>(route.priority, routePrioritiesPerWorkspacePriority - 1);
    return workspacePriority * routePrioritiesPerWorkspacePriority + routePriority;
}

Duration effectiveTimeout(Duration caller, Duration route)
{
    if (caller == Duration::zero() && route == Duration::zero())
        return timing::defaultTimeout;
    if (caller == Duration::zero() || route == Duration::zero())
        return std::max(caller, route);
    return std::min(caller, route);
}

/// Shared segments of the request's prompt, if its route has prompts, and last a digest of the whole
/// request: of its prompt, or of its content.
/// @param prompt with limited segments.
std::vector<std::uint64_t> suspectsOf(const Prompt &prompt, std::uint64_t contentDigest,
                                      const Route &route)
{
    if (!route.hasPrompt || prompt.segments.empty())
        return { contentDigest };
    std::vector<std::uint64_t> suspects = prompt.segmentIds();
    suspects.back() = prompt.digest();
    return suspects;
}

/// Number of the first attempt of a process: drawn at random, since owners may still know attempts of
/// an earlier process of this host, and its clock may have been set back since.
std::uint64_t firstAttempt(std::uint64_t seed)
{
    return std::mt19937_64(seed ^ attemptSeed)();
}

} // namespace

ForwardSystem::ForwardSystem(FailureDomainId failureDomain, std::uint64_t seed)
    : m_failureDomain(failureDomain),
      m_random(seed),
      m_tieBreakerSeed(m_random()),
      m_nextAttempt(firstAttempt(seed))
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

std::map<std::string, std::size_t> ForwardSystem::waitingByWorkspace() const
{
    std::map<std::string, std::size_t> waiting;
    for (const Call &call : m_calls) {
        if (call.sharer.isValid()
            && (call.state == State::Queued || call.state == State::Requested))
            ++waiting[call.workspace];
    }
    return waiting;
}

WorkspaceCounters *ForwardSystem::countersOf(const Call &call)
{
    if (!call.sharer.isValid())
        return nullptr;
    const auto found = m_counters.workspaces.find(call.workspace);
    if (found != m_counters.workspaces.end())
        return &found->second;
    if (m_counters.workspaces.size() >= maxCountedWorkspaces)
        return nullptr;
    return &m_counters.workspaces[call.workspace];
}

void ForwardSystem::refuseArrival(const CallArrived &event, ResultCode code, Duration retryAfter)
{
    ++m_counters.refused[code];
    m_effects.emplace_back(RefuseForward{ event.request, code, Outcome::NotRun, retryAfter });
    DecisionRecord refusal;
    refusal.kind = DecisionKind::Refused;
    refusal.request = event.request;
    refusal.callerId = event.callerId;
    refusal.code = code;
    refusal.outcome = Outcome::NotRun;
    refusal.version = m_routes.version();
    addRecord(std::move(refusal));
}

bool ForwardSystem::admit(TimePoint now, const CallArrived &event, Call &call)
{
    if (m_routes.version() == 0) {
        refuseArrival(event, ResultCode::RequestNoConfiguration, timing::defaultRetryAfter);
        return false;
    }
    call.route = m_routes.find(event.host, event.path);
    if (!call.route) {
        refuseArrival(event, ResultCode::RequestUnknownRoute, Duration::zero());
        return false;
    }
    call.configuration = m_routes.configuration();
    const KeyedWorkspace *workspace = nullptr;
    if (call.configuration->needsKeys && !call.route->isOpen) {
        workspace = m_routes.workspace(event.key);
        if (!workspace) {
            refuseArrival(event, ResultCode::RequestUnknownKey, Duration::zero());
            return false;
        }
        call.workspace = workspace->name;
        if (call.configuration->workspaces.size() > 1)
            call.sharer = WorkspaceId::ofName(workspace->name);
    }
    call.id = event.request;
    call.callerId = event.callerId;
    call.service = RouteTable::service(*call.route, m_random());
    call.rank = rankOf(*call.route, workspace);
    call.prompt = event.prompt;
    call.prompt.limitSegments();
    call.bytes = event.bytes;
    if (call.route->hasPrompt) {
        const auto route = RouteId::ofName(call.route->name);
        m_groups.countPrompt(route, call.prompt.tokens);
        call.isLongPrompt = m_groups.isLong(route);
    }
    call.suspects = suspectsOf(call.prompt, event.contentDigest, *call.route);
    call.arrivedAt = now;
    call.targetAt = now + call.route->target;
    const Duration limit = effectiveTimeout(event.callerTimeout, call.route->timeout);
    call.endAt = now + limit;
    call.queuedUntil = now + std::chrono::duration_cast<Duration>(limit * timing::maxQueuedShare);
    return true;
}

bool ForwardSystem::fitsBeforeStop(TimePoint now, const Call &call) const
{
    if (!m_stop)
        return true;
    const Duration limit = call.endAt - now;
    // While callers are still sent here, most requests are better taken than refused.
    const bool isEarly = now - m_stop->startedAt < timing::stopAcceptTime;
    const Duration longest = m_durations.longest(now, call.route->name).value_or(limit);
    const Duration expected = isEarly ? std::min(limit, longest) : limit;
    return now + expected <= m_stop->endAt;
}

void ForwardSystem::onArrived(TimePoint now, const CallArrived &event)
{
    ++m_counters.arrived;
    Call call;
    if (!admit(now, event, call))
        return;
    if (!fitsBeforeStop(now, call)) {
        refuseArrival(event, ResultCode::Stopping, timing::defaultRetryAfter);
        return;
    }
    if (const auto timeLeft = m_quarantine.quarantineOf(now, call.suspects)) {
        refuseArrival(event, ResultCode::RequestQuarantined, *timeLeft);
        return;
    }
    m_retries.countRequest(call.service, now);
    Call &stored = m_calls.insert(std::move(call));
    enqueue(stored);
    dispatchQueued(now);
    const Call *pending = m_calls.find(event.request);
    if (pending && pending->state == State::Queued)
        addRecord(recordOf(now, *pending, DecisionKind::Queued));
}

void ForwardSystem::onCallerDisconnected(TimePoint now, RequestId request)
{
    Call *call = m_calls.find(request);
    if (!call)
        return;
    ++m_counters.callersDisconnected;
    DecisionRecord ended = recordOf(now, *call, DecisionKind::Ended);
    ended.outcome = call->mayHaveRun || call->isWritten ? Outcome::Unknown : Outcome::NotRun;
    addRecord(std::move(ended));
    cancelAttempt(*call);
    end(request);
    dispatchQueued(now);
}

void ForwardSystem::end(RequestId request)
{
    Call *call = m_calls.find(request);
    if (call && call->state == State::Queued)
        dequeue(*call);
    if (call && call->pendingRequest.isValid())
        withdrawOwnerRequest(*call);
    m_calls.remove(request);
}

DecisionRecord ForwardSystem::recordOf(TimePoint now, const Call &call, DecisionKind kind) const
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

void ForwardSystem::addRecord(DecisionRecord record)
{
    m_effects.emplace_back(std::move(record));
}

void ForwardSystem::addFailureRecord(TimePoint now, const Call &call, AttemptFailure failure)
{
    FailureRecord record;
    record.callerId = call.callerId;
    record.route = call.route->name;
    if (const ForwardServer *server = m_directory.find(call.server))
        record.instance = server->announced.instance;
    record.failure = failure;
    record.requestDigest = call.digest();
    record.sharedSegments.assign(call.sharedSegments().begin(), call.sharedSegments().end());
    record.sent = now - call.sentAt;
    if (call.attemptEventAt)
        record.answered = now - *call.attemptEventAt;
    m_effects.emplace_back(std::move(record));
}

} // namespace currantreel
