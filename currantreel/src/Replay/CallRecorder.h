#ifndef CURRANTREEL_REPLAY_CALLRECORDER_H
#define CURRANTREEL_REPLAY_CALLRECORDER_H

#include "../Core/Outcome.h"
#include "../Core/ResultCode.h"
#include "../Keys/KeyTable.h"
#include "ReplayReport.h"
#include "Trace.h"
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace currantreel {

class BackendBench;

/// How a call ended for its caller.
enum class CallEnd : std::uint8_t { Pending, InTarget, Late, NotRun, Unknown, Abandoned };

/// One request of a caller, over all its tries.
struct Call
{
    TraceArrival arrival;
    ClassId requestClass;
    std::string key;
    TimePoint arrivedAt; ///< When the first try reached its host.
    std::optional<TimePoint> firstTokenAt;
    CallEnd end = CallEnd::Pending;
    std::uint32_t runs = 0; ///< Attempts which a backend server began to run.
    int tries = 0;
    bool wasToldNotRun = false; ///< By a reply under its key or by the key's state.
};

/// What a host has passed on to a caller, or keeps under a key.
struct ReplayedAnswer
{
    std::size_t call = 0; ///< The call that it answers.
    std::uint32_t tokens = 0;
    bool isWhole = false;
};

/// One exchange of a caller with a host.
struct Exchange
{
    RequestId id;
    std::size_t call = 0;
    std::size_t host = 0;
    std::string domain; ///< Failure domain of the host.
    RequestId origin; ///< Exchange at the host which passed this one on.
    TimePoint arrivedAt;
    std::optional<ReplayedAnswer> answer;
    std::uint64_t relayedJob = 0;
    bool isOpen = true;
    bool isQuestion = false; ///< Asks for a key or for a key's state.
    bool wasLeft = false; ///< The caller left.
    bool wasStarted = false; ///< It had an attempt.
    bool isWaiting = true; ///< Neither started nor refused.
    bool hasRun = false;
    bool wasToldNotRun = false;
    std::uint64_t lowerStartsBefore = 0; ///< Starts of lower tiers in its domain when it arrived.
};

/// One attempt, as the bench sees it.
struct Attempt
{
    std::uint64_t job = 0;
    AttemptId id;
    std::size_t host = 0;
    std::uint64_t incarnation = 0;
    RequestId exchange;
    BackendServerId server;
    ReplayedAnswer received;
    bool isOpen = true; ///< The host has not ended it.
    bool isSilent = false; ///< A partition broke its connection.
    bool hasRun = false;
    std::optional<WasteCause> waste;
};

/// Notes every call, exchange and attempt of a run, and checks what callers are told.
class CallBook
{
public:
    CallBook(std::string trace, const Configuration &configuration);

    std::size_t addCall(const TraceArrival &arrival, TimePoint arrivesAt);
    /// @param domain failure domain of the host.
    Exchange &addExchange(std::size_t call, std::size_t host, const std::string &domain,
                          TimePoint now);
    /// An exchange that asks for a key or for a key's state.
    Exchange &addQuestion(std::size_t call, std::size_t host, TimePoint now);
    Attempt &addAttempt(RequestId exchange, AttemptId id, std::size_t host,
                        std::uint64_t incarnation, BackendServerId server);

    [[nodiscard]] Call &call(std::size_t index) { return m_calls[index]; }
    [[nodiscard]] const RequestClass &classOf(std::size_t call) const;
    [[nodiscard]] Exchange *exchange(RequestId id);
    [[nodiscard]] Attempt *attempt(std::uint64_t job);
    [[nodiscard]] std::deque<Call> &calls() { return m_calls; }
    [[nodiscard]] std::deque<Attempt> &attempts() { return m_attempts; }
    [[nodiscard]] std::deque<Exchange> &exchanges() { return m_exchanges; }

    /// An attempt of the exchange starts on a server of failure domain @p domain.
    void onStart(Exchange &exchange, const std::string &domain, TimePoint now);
    /// A backend server began to run the attempt.
    void onRun(Attempt &attempt);
    /// The first token reached the caller.
    void onFirstToken(const Exchange &exchange, TimePoint now);
    /// The caller received the end of its answer.
    void onAnswer(Exchange &exchange, const std::optional<ReplayedAnswer> &answer, TimePoint now);
    /// The caller was refused.
    void onRefusal(Exchange &exchange, ResultCode code, Outcome outcome);
    /// The caller's connection broke without a reply.
    void onConnectionLost(Exchange &exchange);
    /// The caller was told the state of its key.
    void onKeyState(std::size_t call, KeyState state);
    /// The wait of @p exchange for its first attempt is over.
    void endWait(Exchange &exchange, TimePoint now);
    /// Starts of tiers below @p tier in @p domain so far.
    [[nodiscard]] std::uint64_t lowerStarts(const std::string &domain, Tier tier) const;
    /// The exchange waits for another one, not for a grant.
    void voidWait(Exchange &exchange);
    void countPreemption(const Exchange &exchange);

    /// Sums everything up at the end of the run.
    [[nodiscard]] ReplayReport report(const BackendBench &bench) const;

private:
    void countCalls(ReplayReport &report) const;
    void countAttempts(ReplayReport &report, const BackendBench &bench) const;
    void countExchanges(ReplayReport &report) const;
    [[nodiscard]] std::optional<WasteCause> wasteOf(const Attempt &attempt,
                                                    const BackendBench &bench) const;

    const Configuration *m_configuration;
    ReplayReport m_report;
    Tier m_lowestTier = 0;
    std::deque<Call> m_calls;
    std::deque<Exchange> m_exchanges; ///< Exchange n has identifier n + 1.
    std::deque<Attempt> m_attempts; ///< Attempt n has job n + 1.
    std::map<std::string, std::array<std::uint64_t, tierCount>> m_starts; ///< By failure domain.
    std::map<std::string, std::uint64_t> m_lowestWaiting; ///< By failure domain.
};

} // namespace currantreel

#endif
