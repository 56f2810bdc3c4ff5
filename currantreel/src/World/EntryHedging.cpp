#include "EntrySystem.h"
#include "Timing.h"

namespace currantreel {

HedgePolicy &EntrySystem::hedgePolicyOf(ClassId id)
{
    if (HedgePolicy *policy = m_hedges.find(id))
        return *policy;
    return m_hedges.insert(HedgePolicy(id));
}

bool EntrySystem::mayHedge(const StepContext &context, const RequestRow &row) const
{
    const AttemptRow *attempt = m_attempts.find(row.attempt);
    const bool mayBeSlow = row.state == State::Running && !row.isHedged && row.hasCaller
                           && !row.key.isValid() && attempt && !attempt->isRelayed;
    if (!mayBeSlow)
        return false;
    const RequestClass *requestClass = context.configuration->classes.find(row.requestClass);
    // Preemptible requests yield their slots to others, so they do not take a second one.
    return requestClass && requestClass->repeat == RepeatRule::Idempotent
           && !requestClass->isPreemptible && !isWorthless(context, row);
}

void EntrySystem::requestHedges(StepContext &context)
{
    for (RequestRow &row : m_requests) {
        if (!mayHedge(context, row))
            continue;
        const AttemptRow &attempt = *m_attempts.find(row.attempt);
        if (!hedgePolicyOf(row.requestClass).hedge(context.now - attempt.startedAt))
            continue;
        row.isHedged = true;
        row.isHedgePending = true;
        requestGrant(context, row, attempt.server);
    }
}

void EntrySystem::onHedgeGranted(StepContext &context, Counters &counters, RequestRow &row,
                                 const Granted &message)
{
    row.isHedgePending = false;
    const AttemptRow *first = m_attempts.find(row.attempt);
    const BackendServer *server = context.configuration->backendServers.find(message.server);
    const bool isUseful = first && server && first->server != message.server
                          && !isStale(context, row, message) && !isWorthless(context, row);
    if (!isUseful) {
        context.send(
            row.owner,
            LeaseReleased{
                message.id, message.lease, message.server, LeaseEnd::Cancelled, 0, {}, {} });
        return;
    }
    const AttemptId running = row.attempt;
    startAttempt(context, counters, row, *server, message);
    row.hedge = std::exchange(row.attempt, running);
    ++counters.hedges;
}

void EntrySystem::cancelOtherAttempt(StepContext &context, Counters &counters, RequestRow &row,
                                     AttemptId winner)
{
    const AttemptId loser = winner == row.attempt ? row.hedge : row.attempt;
    if (row.isHedgePending)
        withdraw(context, row);
    row.isHedgePending = false;
    row.attempt = winner;
    row.hedge = AttemptId();
    if (const AttemptRow *running = m_attempts.find(loser))
        cancel(context, counters.duplicatedTokens, *running);
}

bool EntrySystem::continueWithOther(RequestRow &row, AttemptId failed)
{
    row.isHedgePending = false;
    if (!row.hedge.isValid())
        return false;
    const AttemptId other = failed == row.hedge ? row.attempt : row.hedge;
    row.attempt = other;
    row.hedge = AttemptId();
    return true;
}

void EntrySystem::cancelAll(StepContext &context, std::uint64_t &wastedTokens,
                            const RequestRow &row)
{
    for (const AttemptId id : { row.attempt, row.hedge }) {
        if (const AttemptRow *running = m_attempts.find(id))
            cancel(context, wastedTokens, *running);
    }
}

} // namespace currantreel
