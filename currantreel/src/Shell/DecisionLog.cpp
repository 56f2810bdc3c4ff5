#include "DecisionLog.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace currantreel {

namespace {

std::string_view nameOf(DecisionKind kind)
{
    switch (kind) {
    case DecisionKind::Chosen:
        return "server_chosen";
    case DecisionKind::Queued:
        return "request_queued";
    case DecisionKind::Refused:
        return "request_refused";
    case DecisionKind::Retried:
        return "request_retried";
    case DecisionKind::Resumed:
        return "stream_resumed";
    case DecisionKind::Ended:
        return "request_ended";
    case DecisionKind::Broken:
        return "reply_broken_off";
    }
    return "request_ended";
}

std::string_view nameOf(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NotConnected:
        return "not_connected";
    case AttemptFailure::Broken:
        return "broken";
    case AttemptFailure::WrongAnswer:
        return "wrong_answer";
    case AttemptFailure::TooLarge:
        return "too_large";
    }
    return "broken";
}

std::string_view nameOf(ServerRunState state)
{
    switch (state) {
    case ServerRunState::Running:
        return "running";
    case ServerRunState::Ended:
        return "ended";
    case ServerRunState::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view nameOf(SegmentQuarantine::Belief belief)
{
    switch (belief) {
    case SegmentQuarantine::Belief::Quarantined:
        return "segment_quarantined";
    case SegmentQuarantine::Belief::Cleared:
        return "segment_cleared";
    case SegmentQuarantine::Belief::Expired:
        return "segment_quarantine_expired";
    }
    return "segment_quarantined";
}

} // namespace

std::string hexOf(std::uint64_t identifier)
{
    return fmt::format("{:x}", identifier);
}

std::string hexOf(HostId host)
{
    return hexOf(host.value);
}

void writeDecision(const Log &log, const DecisionRecord &decision)
{
    const auto milliseconds = [](Duration time) { return std::to_string(toMilliseconds(time)); };
    switch (decision.kind) {
    case DecisionKind::Chosen:
    case DecisionKind::Queued:
        log.write(nameOf(decision.kind),
                  { { "request", decision.callerId },
                    { "route", decision.route },
                    { "server", decision.instance },
                    { "chosen_by", decision.owner.isValid() ? hexOf(decision.owner) : "self" },
                    { "load", std::to_string(decision.load) },
                    { "request_digest", hexOf(decision.requestDigest) },
                    { "prompt_tokens", std::to_string(decision.promptTokens) },
                    { "unread_tokens", std::to_string(decision.uncached) },
                    { "prefill_tokens_per_s", std::to_string(decision.prefillTokensPerSecond) },
                    { "waiting", std::to_string(decision.queued) },
                    { "version", std::to_string(decision.version) },
                    { "age_ms", milliseconds(decision.age) } });
        break;
    case DecisionKind::Ended:
    case DecisionKind::Retried:
    case DecisionKind::Resumed:
        log.write(nameOf(decision.kind),
                  { { "request", decision.callerId },
                    { "route", decision.route },
                    { "server", decision.instance },
                    { "status", std::to_string(decision.status) },
                    { "outcome", std::string(name(decision.outcome)) },
                    { "age_ms", milliseconds(decision.age) },
                    { "first_event_ms", milliseconds(decision.firstEvent) },
                    { "longest_pause_ms", milliseconds(decision.maxPause) } });
        break;
    case DecisionKind::Refused:
    case DecisionKind::Broken:
        log.write(nameOf(decision.kind), { { "request", decision.callerId },
                                           { "route", decision.route },
                                           { "server", decision.instance },
                                           { "code", std::to_string(number(decision.code)) },
                                           { "name", std::string(info(decision.code).name) },
                                           { "outcome", std::string(name(decision.outcome)) },
                                           { "waiting", std::to_string(decision.queued) },
                                           { "version", std::to_string(decision.version) },
                                           { "age_ms", milliseconds(decision.age) } });
        break;
    }
}

void writeFailure(const Log &log, const FailureRecord &record)
{
    const auto milliseconds = [](Duration time) { return std::to_string(toMilliseconds(time)); };
    log.write("attempt_failed",
              { { "request", record.callerId },
                { "route", record.route },
                { "server", record.instance },
                { "failure", std::string(nameOf(record.failure)) },
                { "request_digest", hexOf(record.requestDigest) },
                { "shared_segments", fmt::format("{:x}", fmt::join(record.sharedSegments, ",")) },
                { "sent_ms", milliseconds(record.sent) },
                { "answered_ms", record.answered ? milliseconds(*record.answered) : "none" } });
}

void writeServerRun(const Log &log, ServerRunId run, ServerRunState state)
{
    log.write("server_run_checked",
              { { "run", hexOf(run.value) }, { "state", std::string(nameOf(state)) } });
}

void writeQuarantine(const Log &log, const SegmentQuarantine::Change &change)
{
    log.write(nameOf(change.belief),
              { { "segment", hexOf(change.segment) },
                { "ends", std::to_string(change.ends) },
                { "spread_ms", std::to_string(toMilliseconds(change.spread)) },
                { "was_sound", change.wasSound ? "true" : "false" } });
}

} // namespace currantreel
