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

/// Entry role: tracks each caller's request from arrival to its end.
class EntrySystem
{
public:
    /// @param incarnation makes identifiers unique across restarts of the host.
    explicit EntrySystem(Incarnation incarnation);

    /// @param isStopping rejects new requests; those with a key in use are still answered.
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
    /// Cancels the attempt of a preempted lease and requests a new grant, if the class allows
    /// repeats and preemption and the caller has received nothing yet.
    void onPreempted(StepContext &context, Counters &counters, const LeasePreempted &message);
    /// Requests a new grant: the host that queued the request no longer owns the servers.
    void onMoved(StepContext &context, HostId owner, const GrantMoved &message);
    void onHead(StepContext &context, Counters &counters, KeySystem &keys,
                const AttemptHead &event);
    void onTokens(StepContext &context, const AttemptTokens &event);
    void onDone(StepContext &context, Counters &counters, KeySystem &keys,
                const AttemptDone &event);
    void onFailed(StepContext &context, Counters &counters, KeySystem &keys,
                  const AttemptFailed &event);
    void onForwardEnded(StepContext &context, RequestId request, bool isRelayed);

    /// Requests new grants for the requests queued at @p host.
    void onHostLost(StepContext &context, HostId host);

    /// Resumes retries, requests hedges, renews leases, repeats unanswered grant requests, and ends
    /// worthless requests and attempts without progress.
    void run(StepContext &context, Counters &counters, KeySystem &keys);

    /// Requests in progress.
    [[nodiscard]] std::size_t size() const { return m_requests.size(); }

private:
    enum class State : std::uint8_t {
        Waiting, ///< For a grant from an owner.
        BackingOff, ///< Until the delay before a retry is over.
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
        HostId owner; ///< Recipient of the last grant request.
        TimePoint requestedAt; ///< When the last grant request was sent.
        AttemptId attempt; ///< The running attempt.
        int attempts = 0;
        TimePoint retryAt;
        BackendServerId avoid; ///< Server on which the last attempt failed.
        bool isFirstTokenLate = false;
        bool hasCaller = true;
        AttemptId hedge; ///< The second attempt, in parallel to the running one.
        bool isHedgePending = false; ///< A grant for the second attempt is pending.
        bool isHedged = false; ///< A second attempt was requested; there is at most one.
        bool mayHaveRun = false; ///< An earlier attempt ended with outcome unknown.
        bool wasPreempted = false; ///< Must not be preempted again.
    };

    /// Retry budget of one class.
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
    void repeatUnansweredRequests(StepContext &context);
    /// Host to request the grant from, as chosen by the router; this host if no owner is known.
    static HostId ownerFor(StepContext &context, const RequestRow &row, Tier tier);
    void requestGrant(StepContext &context, RequestRow &row, BackendServerId avoid);
    void withdraw(StepContext &context, const RequestRow &row);
    void finishKey(StepContext &context, KeySystem &keys, KeyId key, RequestId runner,
                   Outcome outcome);
    /// Cancels an attempt and adds its tokens to the counter @p wastedTokens.
    void cancel(StepContext &context, std::uint64_t &wastedTokens, const AttemptRow &running);
    TokenBudget &retryBudgetOf(ClassId id);
    void resumeRetries(StepContext &context);
    void endWorthless(StepContext &context, Counters &counters, KeySystem &keys);
    void endWorthless(StepContext &context, Counters &counters, KeySystem &keys,
                      const RequestRow &row);
    HedgePolicy &hedgePolicyOf(ClassId id);
    void requestHedges(StepContext &context);
    [[nodiscard]] bool mayHedge(const StepContext &context, const RequestRow &row) const;
    /// Starts the second attempt, or releases the lease if the attempt is no longer useful.
    void onHedgeGranted(StepContext &context, Counters &counters, RequestRow &row,
                        const Granted &message);
    /// Cancels the other attempt, and a pending grant, of the request of @p winner.
    void cancelOtherAttempt(StepContext &context, Counters &counters, RequestRow &row,
                            AttemptId winner);
    /// Continues with the other attempt of the request after @p failed.
    /// @return whether there is one.
    static bool continueWithOther(RequestRow &row, AttemptId failed);
    void cancelAll(StepContext &context, std::uint64_t &wastedTokens, const RequestRow &row);
    void release(StepContext &context, const AttemptRow &attempt, LeaseEnd end);
    void retryOrRefuse(StepContext &context, Counters &counters, KeySystem &keys,
                       const AttemptRow &attempt, ResultCode code, Outcome outcome);
    void refuse(StepContext &context, Counters &counters, KeySystem &keys, RequestRow row,
                ResultCode code, Outcome outcome, Duration retryAfter);
    void countCompletion(Counters &counters, const RequestRow &row, const AttemptRow &attempt,
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
