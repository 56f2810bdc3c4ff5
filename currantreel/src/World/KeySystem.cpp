#include "KeySystem.h"

#include "Timing.h"

namespace currantreel {

namespace {

KeyDecision refusal(ResultCode code, Outcome outcome)
{
    return KeyDecision{ KeyDecision::Action::Refuse, KeyId(), HostEntry(), code, outcome };
}

KeyDecision decisionOf(KeyClaimResult claim, KeyId key)
{
    using Action = KeyDecision::Action;
    switch (claim) {
    case KeyClaimResult::Run:
        return KeyDecision{ Action::Run, key, {}, {}, {} };
    case KeyClaimResult::Join:
        return KeyDecision{ Action::Wait, key, {}, {}, {} };
    case KeyClaimResult::Replay:
        return KeyDecision{ Action::Replay, key, {}, {}, {} };
    case KeyClaimResult::Revoked:
        return refusal(ResultCode::KeyBurnt, Outcome::NotRun);
    case KeyClaimResult::Mismatch:
        // Another body ran under the key, so "not run" would be wrong of the key.
        return refusal(ResultCode::KeyMismatch, Outcome::Unknown);
    case KeyClaimResult::Full:
        // The key cannot be burnt, so a late copy of the request may still run.
        return refusal(ResultCode::KeyTableFull, Outcome::Unknown);
    case KeyClaimResult::Expired:
        return refusal(ResultCode::KeyExpired, Outcome::Unknown);
    case KeyClaimResult::Unknown:
        break;
    }
    return refusal(ResultCode::KeyRunUnknown, Outcome::Unknown);
}

} // namespace

KeySystem::KeySystem(const HostIdentity &self, const KeySecret &secret)
    : m_self(self), m_codec(secret), m_table(timing::keyCapacity)
{
}

std::string KeySystem::issue(const StepContext &context, KeyId *id)
{
    const KeyId key{ m_nextKey++ };
    if (id)
        *id = key;
    return m_codec.encode(
        IdempotencyKey{ m_self.id, m_self.incarnation, key, context.now + timing::keyValidity });
}

KeyDecision KeySystem::claimOwn(const StepContext &context, const IdempotencyKey &key,
                                const RequestArrived &request)
{
    return decisionOf(m_table.claim(key, request.request, request.bodyHash, context.now), key.id);
}

KeyDecision KeySystem::claimForeign(const StepContext &context, const IdempotencyKey &key,
                                    bool isForwarded) const
{
    // An earlier incarnation may have run the request, and nobody else can know.
    if (key.issuer == m_self.id)
        return refusal(ResultCode::KeyRunUnknown, Outcome::Unknown);
    if (isForwarded)
        return refusal(ResultCode::KeyIssuerUnreachable, Outcome::Unknown);
    const HostEntry *issuer = context.hosts.find(key.issuer);
    if (!issuer)
        return refusal(ResultCode::KeyIssuerUnreachable, Outcome::Unknown);
    return KeyDecision{ KeyDecision::Action::Forward, key.id, *issuer, {}, {} };
}

KeyDecision KeySystem::claim(const StepContext &context, const std::string &text,
                             const RequestArrived &request)
{
    const auto key = KeyCodec::decode(text);
    if (!key)
        return refusal(ResultCode::KeyMalformed, Outcome::NotRun);
    if (key->issuer != m_self.id || key->incarnation != m_self.incarnation)
        return claimForeign(context, *key, request.isForwarded);
    if (!m_codec.isGenuine(text))
        return refusal(ResultCode::KeyNotIssuedHere, Outcome::NotRun);
    return claimOwn(context, *key, request);
}

void KeySystem::onStateQueried(StepContext &context, const KeyStateQueried &event)
{
    const auto key = KeyCodec::decode(event.key);
    if (!key) {
        context.emit(
            RefuseRequest{ event.request, ResultCode::KeyMalformed, Outcome::Unknown, {} });
        return;
    }
    if (key->issuer != m_self.id || key->incarnation != m_self.incarnation) {
        const KeyDecision decision = claimForeign(context, *key, event.isForwarded);
        if (decision.action == KeyDecision::Action::Forward)
            context.emit(
                ForwardRequest{ event.request, decision.issuer.id, decision.issuer.callerAddress });
        else
            context.emit(KeyStateReported{ event.request, KeyState::Unknown });
        return;
    }
    if (!m_codec.isGenuine(event.key)) {
        context.emit(
            RefuseRequest{ event.request, ResultCode::KeyNotIssuedHere, Outcome::Unknown, {} });
        return;
    }
    const auto state = m_table.queryState(*key, context.now);
    context.emit(KeyStateReported{ event.request, state.value_or(KeyState::Unknown) });
}

std::vector<RequestId> KeySystem::finish(StepContext &context, KeyId key, RequestId runner,
                                         Outcome outcome)
{
    if (!key.isValid())
        return {};
    if (outcome == Outcome::Completed)
        context.emit(StoreAnswer{ runner, key });
    std::vector<RequestId> waiting = m_table.finish(key, outcome);
    for (const RequestId joined : waiting) {
        if (outcome == Outcome::Completed)
            context.emit(ReplayAnswer{ joined, key });
        else if (outcome == Outcome::NotRun)
            context.emit(RefuseRequest{ joined, ResultCode::KeyBurnt, outcome, {} });
        else
            context.emit(RefuseRequest{ joined, ResultCode::KeyRunUnknown, outcome, {} });
    }
    return waiting;
}

void KeySystem::run(StepContext &context)
{
    for (const KeyId key : m_table.expire(context.now))
        context.emit(DropAnswer{ key });
}

} // namespace currantreel
