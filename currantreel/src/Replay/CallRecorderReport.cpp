#include "BackendSimulator.h"
#include "CallRecorder.h"

namespace currantreel {

namespace {

std::size_t index(WasteCause cause)
{
    return static_cast<std::size_t>(cause);
}

} // namespace

void CallRecorder::countCalls(ReplayReport &report) const
{
    for (const Call &call : m_calls) {
        ClassReport &row = *report.classes.find(call.requestClass);
        const std::uint32_t tokens = call.arrival.isService ? 0 : call.arrival.answerTokens;
        ++row.sent;
        row.offeredTokens += tokens;
        row.usefulTokens += call.result == CallResult::InTarget ? tokens : 0;
        row.inTarget += call.result == CallResult::InTarget ? 1 : 0;
        row.late += call.result == CallResult::Late ? 1 : 0;
        row.notRun += call.result == CallResult::NotRun ? 1 : 0;
        row.unknown += call.result == CallResult::Unknown ? 1 : 0;
        row.abandoned +=
            call.result == CallResult::Abandoned || call.result == CallResult::Pending ? 1 : 0;
        const bool runsAtMostOnce =
            m_configuration->classes.find(call.requestClass)->repeat == RepeatRule::Never;
        if (runsAtMostOnce && call.runs > 1)
            report.doubledRuns += call.runs - 1;
        // A key that was reported as not run must not have run, before or after the report.
        if (!call.key.empty() && call.wasReportedNotRun && call.runs > 0)
            ++report.untrueNotRun;
    }
}

void CallRecorder::countExchanges(ReplayReport &report) const
{
    for (const Exchange &exchange : m_exchanges) {
        const Call &call = m_calls[exchange.call];
        if (call.key.empty() && exchange.wasReportedNotRun && exchange.hasRun)
            ++report.untrueNotRun;
        if (exchange.isOpen)
            ++report.lostAnswers;
        if (!exchange.isKeyRequest && !exchange.origin.isValid())
            ++report.requests;
    }
}

std::optional<WasteCause> CallRecorder::wasteCauseOf(const Attempt &attempt,
                                                     const BackendSimulator &backends) const
{
    const Exchange &exchange = m_exchanges[attempt.exchange.value - 1];
    const Call &call = m_calls[exchange.call];
    const bool isAnswer = attempt.received.isComplete && exchange.relayedJob == attempt.job;
    if (isAnswer && call.result == CallResult::InTarget)
        return std::nullopt;
    if (isAnswer)
        return call.result == CallResult::Late ? WasteCause::Late : WasteCause::Abandoned;
    if (backends.isBroken(attempt.job) || attempt.wasPartitioned)
        return WasteCause::Broken;
    if (exchange.relayedJob != 0 && exchange.relayedJob != attempt.job)
        return WasteCause::Duplicate;
    return attempt.wasteCause.value_or(WasteCause::Abandoned);
}

void CallRecorder::countAttempts(ReplayReport &report, const BackendSimulator &backends) const
{
    report.attempts = m_attempts.size();
    for (const Attempt &attempt : m_attempts) {
        const std::uint32_t generated = backends.generatedTokens(attempt.job);
        report.generatedTokens += generated;
        if (const auto cause = wasteCauseOf(attempt, backends))
            report.wasted.at(index(*cause)) += generated;
    }
}

ReplayReport CallRecorder::report(const BackendSimulator &backends) const
{
    ReplayReport report = m_report;
    countCalls(report);
    countExchanges(report);
    countAttempts(report, backends);
    return report;
}

} // namespace currantreel
