#include "CallBook.h"

#include "../World/Timing.h"
#include "BackendBench.h"

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// A bound is kept at the resolution of the host's tick, plus the two messages to the owner and back.
constexpr Duration boundResolution = timing::tickInterval + Duration(2ms);

bool isAdmissionCode(ResultCode code)
{
    return code == ResultCode::QueueFull || code == ResultCode::TargetUnreachable;
}

} // namespace

CallBook::CallBook(std::string trace, const Configuration &configuration)
    : m_configuration(&configuration)
{
    m_report.trace = std::move(trace);
    for (const RequestClass &row : configuration.classes) {
        ClassReport report;
        report.id = row.id;
        report.name = row.name;
        report.tier = row.tier;
        m_report.classes.insert(report);
        m_lowestTier = std::max(m_lowestTier, row.tier);
    }
}

std::size_t CallBook::addCall(const TraceArrival &arrival, TimePoint arrivesAt)
{
    Call call;
    call.arrival = arrival;
    call.requestClass = ClassId::ofName(arrival.className);
    call.arrivedAt = arrivesAt;
    m_calls.push_back(std::move(call));
    return m_calls.size() - 1;
}

Exchange &CallBook::addQuestion(std::size_t call, std::size_t host, TimePoint now)
{
    Exchange &exchange = m_exchanges.emplace_back();
    exchange.id = RequestId{ m_exchanges.size() };
    exchange.call = call;
    exchange.host = host;
    exchange.arrivedAt = now;
    exchange.isQuestion = true;
    exchange.isWaiting = false;
    return exchange;
}

Exchange &CallBook::addExchange(std::size_t call, std::size_t host, const std::string &domain,
                                TimePoint now)
{
    Exchange &exchange = addQuestion(call, host, now);
    exchange.domain = domain;
    exchange.isQuestion = false;
    exchange.isWaiting = true;
    const Tier tier = classOf(call).tier;
    exchange.lowerStartsBefore = lowerStarts(domain, tier);
    m_lowestWaiting[domain] += tier == m_lowestTier ? 1 : 0;
    return exchange;
}

Attempt &CallBook::addAttempt(RequestId exchange, AttemptId id, std::size_t host,
                              std::uint64_t incarnation, BackendServerId server)
{
    Attempt attempt;
    attempt.job = m_attempts.size() + 1;
    attempt.id = id;
    attempt.host = host;
    attempt.incarnation = incarnation;
    attempt.exchange = exchange;
    attempt.server = server;
    attempt.received.call = this->exchange(exchange)->call;
    return m_attempts.emplace_back(attempt);
}

const RequestClass &CallBook::classOf(std::size_t call) const
{
    return *m_configuration->classes.find(m_calls[call].requestClass);
}

Exchange *CallBook::exchange(RequestId id)
{
    return id.isValid() && id.value <= m_exchanges.size() ? &m_exchanges[id.value - 1] : nullptr;
}

Attempt *CallBook::attempt(std::uint64_t job)
{
    return job > 0 && job <= m_attempts.size() ? &m_attempts[job - 1] : nullptr;
}

void CallBook::onStart(Exchange &exchange, const std::string &domain, TimePoint now)
{
    const Tier tier = classOf(exchange.call).tier;
    ++m_starts[domain][tier];
    const bool isLowest = tier == m_lowestTier;
    // A grant on arrival says nothing about the share that those who wait are paid.
    if (m_lowestWaiting[domain] > 0 && !(isLowest && exchange.arrivedAt == now)) {
        ++m_report.grantsWhileLowestWaits;
        m_report.lowestGrants += isLowest ? 1 : 0;
    }
    exchange.wasStarted = true;
}

void CallBook::voidWait(Exchange &exchange)
{
    if (std::exchange(exchange.isWaiting, false))
        m_lowestWaiting[exchange.domain] -= classOf(exchange.call).tier == m_lowestTier ? 1 : 0;
}

void CallBook::endWait(Exchange &exchange, TimePoint now)
{
    if (!exchange.isWaiting)
        return;
    voidWait(exchange);
    const RequestClass &requestClass = classOf(exchange.call);
    ClassReport &row = *m_report.classes.find(requestClass.id);
    const Duration wait = now - exchange.arrivedAt;
    row.longestWait = std::max(row.longestWait, wait);
    row.waitsBeyondBound += wait > requestClass.queueBound + boundResolution ? 1 : 0;
}

std::uint64_t CallBook::lowerStarts(const std::string &domain, Tier tier) const
{
    const auto found = m_starts.find(domain);
    std::uint64_t starts = 0;
    for (Tier lower = tier + 1; found != m_starts.end() && lower < tierCount; ++lower)
        starts += found->second.at(lower);
    return starts;
}

void CallBook::onRun(Attempt &attempt)
{
    attempt.hasRun = true;
    Exchange &exchange = *this->exchange(attempt.exchange);
    exchange.hasRun = true;
    ++m_calls[exchange.call].runs;
}

void CallBook::onFirstToken(const Exchange &exchange, TimePoint now)
{
    Call &call = m_calls[exchange.call];
    if (!call.firstTokenAt)
        call.firstTokenAt = now;
}

void CallBook::onAnswer(Exchange &exchange, const std::optional<ReplayedAnswer> &answer,
                        TimePoint now)
{
    Call &call = m_calls[exchange.call];
    const bool isOwn = answer && answer->call == exchange.call;
    const std::uint32_t expected = call.arrival.isService ? 0 : call.arrival.answerTokens;
    m_report.crossedAnswers += answer && !isOwn ? 1 : 0;
    if (!answer || !answer->isWhole || (isOwn && answer->tokens != expected))
        ++m_report.lostAnswers;
    if (call.end == CallEnd::InTarget || call.end == CallEnd::Late)
        return;
    const RequestClass &requestClass = classOf(exchange.call);
    const TimePoint firstToken = call.firstTokenAt.value_or(now);
    const bool isFirstTokenInTime =
        call.arrival.isService || firstToken - call.arrivedAt <= requestClass.firstTokenTarget;
    const bool isInTime = now - call.arrivedAt <= requestClass.answerTarget;
    call.end = isFirstTokenInTime && isInTime ? CallEnd::InTarget : CallEnd::Late;
}

void CallBook::onRefusal(Exchange &exchange, ResultCode code, Outcome outcome)
{
    Call &call = m_calls[exchange.call];
    const Tier tier = classOf(exchange.call).tier;
    const bool isOverLower = lowerStarts(exchange.domain, tier) > exchange.lowerStartsBefore;
    if (exchange.isQuestion)
        return;
    if (tier == 0 && isAdmissionCode(code) && isOverLower)
        ++m_report.topTierShed;
    if (outcome == Outcome::NotRun) {
        exchange.wasToldNotRun = true;
        call.wasToldNotRun = true;
    }
    if (call.end == CallEnd::Pending)
        call.end = outcome == Outcome::NotRun ? CallEnd::NotRun : CallEnd::Unknown;
}

void CallBook::onConnectionLost(Exchange &exchange)
{
    Call &call = m_calls[exchange.call];
    if (call.end == CallEnd::Pending)
        call.end = CallEnd::Unknown;
}

void CallBook::onKeyState(std::size_t call, KeyState state)
{
    if (state != KeyState::Revoked)
        return;
    m_calls[call].wasToldNotRun = true;
    m_calls[call].end = CallEnd::NotRun;
}

void CallBook::countPreemption(const Exchange &exchange)
{
    m_report.topTierPreempted += classOf(exchange.call).tier == 0 ? 1 : 0;
}

} // namespace currantreel
