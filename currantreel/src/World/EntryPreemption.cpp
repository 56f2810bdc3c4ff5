#include "EntrySystem.h"

namespace currantreel {

void EntrySystem::onPreempted(StepContext &context, Counters &counters,
                              const LeasePreempted &message)
{
    RequestRow *row = m_requests.find(message.id.request);
    const AttemptRow *found = row ? m_attempts.find(row->attempt) : nullptr;
    if (!found || found->lease != message.lease || found->grant != message.id)
        return;
    const RequestClass *requestClass = context.configuration->classes.find(row->requestClass);
    const bool mayRepeat = requestClass && requestClass->repeat == RepeatRule::Idempotent;
    // An answer that is already being relayed must come from a single run.
    if (!mayRepeat || !requestClass->isPreemptible || found->isRelayed)
        return;
    if (row->isHedgePending)
        withdraw(context, *row);
    row->isHedgePending = false;
    cancelAll(context, counters.cancelledTokens, *row);
    row->hedge = AttemptId();
    row->state = State::Waiting;
    row->attempt = AttemptId();
    row->wasPreempted = true;
    row->mayHaveRun = true;
    requestGrant(context, *row, BackendServerId());
}

} // namespace currantreel
