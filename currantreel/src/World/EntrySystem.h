#ifndef CURRANTREEL_WORLD_ENTRYSYSTEM_H
#define CURRANTREEL_WORLD_ENTRYSYSTEM_H

#include "../Retry/Backoff.h"
#include "../Retry/HedgePolicy.h"
#include "../Retry/TokenBudget.h"
#include "Counters.h"
#include "Event.h"
#include "KeySystem.h"
#include "StepContext.h"
#include <optional>

namespace currantreel {

/// Entry role: follows each caller's request from arrival to its end.
class EntrySystem
{
public:
    /// @param incarnation makes identifiers unique across restarts of the host.
    explicit EntrySystem(Incarnation incarnation);

    /// @param isStopping refuses new requests; those under a key in use are still answered.
    void onArrived(StepContext &context, Counters &counters, KeySystem &keys,
                   const RequestArrived &event, bool isStopping);
    void onCallerDisconnected(StepContext &context, Counters &counters, KeySystem &keys,
                              const CallerDisconnected &event);
    /// @param owner host that sent the grant.
    void onGranted(StepContext &context, Counters &counters, KeySystem &keys, HostId owner,
                   const Granted &message);
    /// @param owner host that sent the refusal.
    void onShed(StepContext &context, Counters &counters, KeySystem &keys, HostId owner,
                const GrantShed &message);
    /// Frees the slot of a preempted lease and queues the request again, if its class allows and the
    /// caller has received nothing yet.
    void onPreempted(StepContext &context, Counters &counters, const LeasePreempted &message);
    /// Asks again: the host that queued the request no longer owns the servers.
    void onMoved(StepContext &context, HostId owner, const GrantMoved &message);
    void onHead(StepContext &context, Counters &counters, KeySystem &keys,
                const AttemptHead &event);
    void onTokens(StepContext &context, const AttemptTokens &event);
    void onDone(StepContext &context, Counters &counters, KeySystem &keys,
                const AttemptDone &event);
    void onFailed(StepContext &context, Counters &counters, KeySystem &keys,
                  const AttemptFailed &event);
    void onForwardEnded(StepContext &context, RequestId request, bool isRelayed);

    /// Asks another owner for what waits at @p host.
    void onHostLost(StepContext &context, HostId host);

    /// Resumes retries, renews leases, asks again where an owner was silent, ends what became
    /// worthless, and ends attempts that make no progress.
    void run(StepContext &context, Counters &counters, KeySystem &keys);

    /// Requests in progress.
    [[nodiscard]] std::size_t size() const { return m_requests.size(); }

private:
    enum class State : std::uint8_t {
        Waiting, ///< For a grant.
        BackingOff, ///< For the time of a retry.
        Running,
        Forwarded,
        Joined, ///< Waits for the run of another request under the same key.
    };

    struct RequestRow
    {
        RequestId id;
        State state = State::Waiting;
        ClassId requestClass;
        WorkspaceId workspace;
        TargetId target;
        TimePoint arrivedAt;
        TimePoint firstTokenDeadline;
        TimePoint answerDeadline;
        std::uint32_t promptTokens = 0;
        std::uint64_t prefixHash = 0;
        KeyId key;
        HostId owner; ///< Host that was asked for a grant last.
        TimePoint askedAt; ///< When it was asked.
        AttemptId attempt; ///< The running attempt.
        int attempts = 0;
        TimePoint retryAt;
        BackendServerId avoid; ///< Server that failed the last attempt.
        bool isFirstTokenLate = false;
        bool hasCaller = true;
        AttemptId hedge; ///< The second attempt beside the running one.
        bool isHedgeAsked = false; ///< A grant for the second attempt is awaited.
        bool isHedged = false; ///< Had its second attempt, or its chance of one.
        bool mayHaveRun = false; ///< An earlier attempt ended with outcome unknown.
        bool wasPreempted = false; ///< Is not preempted again.
    };

    /// Retries of one class.
    struct RetryRow
    {
        ClassId id;
        TokenBudget budget;
    };

    struct AttemptRow
    {
        AttemptId id;
        RequestId request;
        GrantId grant;
        LeaseId lease;
        BackendServerId server;
        HostId owner;
        Tier tier = 0;
        TimePoint startedAt;
        TimePoint lastProgressAt;
        TimePoint firstTokenAt;
        std::uint32_t tokens = 0;
        bool isRelayed = false;
    };

    static std::optional<ResultCode> resolve(const StepContext &context,
                                             const RequestArrived &event, RequestRow &row);
    static std::optional<ResultCode> resolveService(const Configuration &configuration,
                                                    const RequestArrived &event, RequestRow &row);
    static std::optional<ResultCode> resolveModel(const Configuration &configuration,
                                                  const RequestArrived &event, RequestRow &row);
    bool claimKey(StepContext &context, KeySystem &keys, const RequestArrived &event,
                  RequestRow &row);
    static std::optional<ResultCode> assignKey(StepContext &context, KeySystem &keys,
                                               const RequestArrived &event, RequestRow &row);
    static bool isStale(const StepContext &context, const RequestRow &row, const Granted &message);
    static bool isWorthless(const StepContext &context, const RequestRow &row);
    static Outcome outcomeOf(const RequestRow &row, Outcome outcome);
    void startAttempt(StepContext &context, Counters &counters, RequestRow &row,
                      const BackendServer &server, const Granted &message);
    void askAgain(StepContext &context);
    /// This host if its failure domain can serve @p target, else a live host of one that can.
    static HostId ownerFor(StepContext &context, const RequestRow &row, Tier tier);
    void askForGrant(StepContext &context, RequestRow &row, BackendServerId avoid);
    void withdraw(StepContext &context, const RequestRow &row);
    void finishKey(StepContext &context, KeySystem &keys, KeyId key, RequestId runner,
                   Outcome outcome);
    /// Cancels an attempt and adds its tokens to the count of waste @p wastedTokens.
    void cancel(StepContext &context, std::uint64_t &wastedTokens, const AttemptRow &running);
    TokenBudget &retryBudgetOf(ClassId id);
    void resumeRetries(StepContext &context);
    void endWorthless(StepContext &context, Counters &counters, KeySystem &keys);
    void endWorthless(StepContext &context, Counters &counters, KeySystem &keys,
                      const RequestRow &row);
    HedgePolicy &hedgePolicyOf(ClassId id);
    void askForHedges(StepContext &context);
    [[nodiscard]] bool mayHedge(const StepContext &context, const RequestRow &row) const;
    /// Starts the second attempt, or gives the grant back.
    void onHedgeGranted(StepContext &context, Counters &counters, RequestRow &row,
                        const Granted &message);
    /// Ends the other attempts of the request of @p winner.
    void cancelLosers(StepContext &context, Counters &counters, RequestRow &row, AttemptId winner);
    /// True if another attempt of the request goes on after @p failed.
    static bool fallBack(RequestRow &row, AttemptId failed);
    void cancelAll(StepContext &context, std::uint64_t &wastedTokens, const RequestRow &row);
    void release(StepContext &context, const AttemptRow &attempt, LeaseEnd end);
    void retryOrRefuse(StepContext &context, Counters &counters, KeySystem &keys,
                       const AttemptRow &attempt, ResultCode code, Outcome outcome);
    void refuse(StepContext &context, Counters &counters, KeySystem &keys, RequestRow row,
                ResultCode code, Outcome outcome, Duration retryAfter);
    void countEnd(Counters &counters, const RequestRow &row, const AttemptRow &attempt,
                  TimePoint now);
    void endStalledAttempts(StepContext &context, Counters &counters, KeySystem &keys);
    void renewLeases(StepContext &context);
    static ClassCounters &countersOf(Counters &counters, ClassId id);

    Table<RequestRow> m_requests;
    Table<AttemptRow> m_attempts;
    std::uint64_t m_nextAttempt;
    Table<RetryRow> m_retries;
    Table<HedgePolicy> m_hedges;
    Backoff m_backoff;
    TimePoint m_renewedAt;
};

} // namespace currantreel

#endif
