#include "DecisionLog.h"

#include <fmt/format.h>

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

} // namespace

std::string hexOf(HostId host)
{
    return fmt::format("{:x}", host.value);
}

void writeDecision(const Log &log, const DecisionRecord &note)
{
    const auto milliseconds = [](Duration time) { return std::to_string(toMilliseconds(time)); };
    switch (note.kind) {
    case DecisionKind::Chosen:
    case DecisionKind::Queued:
        log.write(nameOf(note.kind),
                  { { "request", note.callerId },
                    { "route", note.route },
                    { "server", note.instance },
                    { "chosen_by", note.owner.isValid() ? hexOf(note.owner) : "self" },
                    { "load", std::to_string(note.load) },
                    { "prompt_tokens", std::to_string(note.promptTokens) },
                    { "unread_tokens", std::to_string(note.uncached) },
                    { "waiting", std::to_string(note.queued) },
                    { "version", std::to_string(note.version) },
                    { "age_ms", milliseconds(note.age) } });
        break;
    case DecisionKind::Ended:
    case DecisionKind::Retried:
    case DecisionKind::Resumed:
        log.write(nameOf(note.kind), { { "request", note.callerId },
                                       { "route", note.route },
                                       { "server", note.instance },
                                       { "status", std::to_string(note.status) },
                                       { "outcome", std::string(name(note.outcome)) },
                                       { "age_ms", milliseconds(note.age) },
                                       { "first_event_ms", milliseconds(note.firstEvent) },
                                       { "longest_pause_ms", milliseconds(note.maxPause) } });
        break;
    case DecisionKind::Refused:
    case DecisionKind::Broken:
        log.write(nameOf(note.kind), { { "request", note.callerId },
                                       { "route", note.route },
                                       { "server", note.instance },
                                       { "code", std::to_string(number(note.code)) },
                                       { "name", std::string(info(note.code).name) },
                                       { "outcome", std::string(name(note.outcome)) },
                                       { "waiting", std::to_string(note.queued) },
                                       { "version", std::to_string(note.version) },
                                       { "age_ms", milliseconds(note.age) } });
        break;
    }
}

} // namespace currantreel
