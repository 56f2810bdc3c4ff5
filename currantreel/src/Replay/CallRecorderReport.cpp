#include "BackendSimulator.h"
#include "CallRecorder.h"

namespace currantreel {

namespace {

std::size_t index(WasteCause cause)
{
    return static_cast<std::size_t>(cause);
}

} // namespace

void CallBook::countCalls(ReplayReport &report) const
{
    for (const Call &call : m_calls) {
        ClassReport &row = *report.classes.find(call.requestClass);
        const std::uint32_t tokens = call.arrival.isService ? 0 : call.arrival.answerTokens;
        ++row.sent;
        row.offeredTokens += tokens;
        row.usefulTokens += call.end == CallEnd::InTarget ? tokens : 0;
        row.inTarget += call.end == CallEnd::InTarget ? 1 : 0;
        row.late += call.end == CallEnd::Late ? 1 : 0;
        row.notRun += call.end == CallEnd::NotRun ? 1 : 0;
        row.unknown += call.end == CallEnd::Unknown ? 1 : 0;
        row.abandoned += call.end == CallEnd::Abandoned || call.end == CallEnd::Pending ? 1 : 0;
        const bool mayRunOnce =
            m_configuration->classes.find(call.requestClass)->repeat == RepeatRule::Never;
        if (mayRunOnce && call.runs > 1)
            report.doubledRuns += call.runs - 1;
        // A key that was reported not run must never run, whenever the report came.
        if (!call.key.empty() && call.wasToldNotRun && call.runs > 0)
            ++report.untrueNotRun;
    }
}

void CallBook::countExchanges(ReplayReport &report) const
{
    for (const Exchange &exchange : m_exchanges) {
        const Call &call = m_calls[exchange.call];
        if (call.key.empty() && exchange.wasToldNotRun && exchange.hasRun)
            ++report.untrueNotRun;
        if (exchange.isOpen)
            ++report.lostAnswers;
        if (!exchange.isQuestion && !exchange.origin.isValid())
            ++report.requests;
    }
}

std::optional<WasteCause> CallBook::wasteOf(const Attempt &attempt, const BackendBench &bench) const
{
    const Exchange &exchange = m_exchanges[attempt.exchange.value - 1];
    const Call &call = m_calls[exchange.call];
    const bool isAnswer = attempt.received.isWhole && exchange.relayedJob == attempt.job;
    if (isAnswer && call.end == CallEnd::InTarget)
        return std::nullopt;
    if (isAnswer)
        return call.end == CallEnd::Late ? WasteCause::Late : WasteCause::Abandoned;
    if (bench.isBroken(attempt.job) || attempt.isSilent)
        return WasteCause::Broken;
    if (exchange.relayedJob != 0 && exchange.relayedJob != attempt.job)
        return WasteCause::Duplicate;
    return attempt.waste.value_or(WasteCause::Abandoned);
}

void CallBook::countAttempts(ReplayReport &report, const BackendBench &bench) const
{
    report.attempts = m_attempts.size();
    for (const Attempt &attempt : m_attempts) {
        const std::uint32_t made = bench.made(attempt.job);
        report.madeTokens += made;
        if (const auto cause = wasteOf(attempt, bench))
            report.wasted.at(index(*cause)) += made;
    }
}

ReplayReport CallBook::report(const BackendBench &bench) const
{
    ReplayReport report = m_report;
    countCalls(report);
    countExchanges(report);
    countAttempts(report, bench);
    return report;
}

} // namespace currantreel
