#ifndef CURRANTREEL_FORWARD_FORWARDSYSTEM_H
#define CURRANTREEL_FORWARD_FORWARDSYSTEM_H

#include "../Core/Table.h"
#include "../Placement/EngineGroups.h"
#include "../Placement/ServerDirectory.h"
#include "../Placement/ServerPlacement.h"
#include "../Quarantine/SegmentQuarantine.h"
#include "../Routes/RouteDurations.h"
#include "../Routes/RouteTable.h"
#include "../Shares/SharedQueue.h"
#include "ForwardCounters.h"
#include "ForwardMessages.h"
#include "RetryBudget.h"
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace currantreel {

/// State machine of forwarded requests from arrival to end: finds the route, queues the request,
/// chooses a backend server, retries where that is allowed, and refuses requests that cannot be
/// served.
///
/// Performs no I/O and reads no clock: time is passed in, and actions are returned as effects.
///
/// Model engines are chosen by the host that owns their partition, which sees the requests of all
/// hosts. This host chooses itself where it is the owner and where the owner does not answer in
/// time.
class ForwardSystem
{
public:
    /// Returns the owner of a partition of a service's servers; invalid if it is this host.
    using OwnerLookup =
        std::function<HostId(TimePoint now, ServiceId service, std::size_t partition)>;

    /// @param failureDomain failure domain of this host.
    /// @param seed seed of the random number generator.
    ForwardSystem(FailureDomainId failureDomain, std::uint64_t seed);

    /// Sets the lookup of owners. Without one, this host chooses all servers itself.
    void setOwnerLookup(OwnerLookup ownerOf) { m_ownerOf = std::move(ownerOf); }

    void onArrived(TimePoint now, const CallArrived &event);
    /// The caller closed its connection.
    void onCallerDisconnected(TimePoint now, RequestId request);
    /// The first byte of the request was written to the backend server's connection.
    void onWritten(AttemptId attempt);
    /// Complete events of a stream arrived. @param answer status from the head of the answer.
    void onEvents(TimePoint now, AttemptId attempt, const AnswerStatus &answer);
    /// The head of the attempt's answer states that its server is about to stop.
    void onLeavingReported(TimePoint now, AttemptId attempt, const AnswerStatus &answer);
    /// The head of the attempt's answer states that its server warms up.
    void onWarmUpReported(TimePoint now, AttemptId attempt, const AnswerStatus &answer,
                          Duration coldLeft);
    /// The complete answer arrived.
    void onAnswer(TimePoint now, AttemptId attempt, const AnswerStatus &answer);
    /// The attempt ended without a complete answer.
    void onFailed(TimePoint now, AttemptId attempt, AttemptFailure failure);
    /// The owner @p from answered a request for a server.
    void onGrant(TimePoint now, HostId from, const PlacementGrant &grant);
    /// A server's run was checked after a request broke there.
    void onServerRunChecked(TimePoint now, ServerRunId run, ServerRunState state);
    /// Another host reported on prompt segments under which servers ended.
    void onSegmentReports(TimePoint now, const SegmentReports &reports);

    /// A failure domain was evacuated: requests of which nothing was written to its servers yet are
    /// sent elsewhere. The others run to their end.
    void onEvacuated(TimePoint now);
    /// Servers were added or removed, or leases of other hosts changed.
    void onServersChanged(TimePoint now) { dispatchQueued(now); }
    /// A configuration was received. Returns whether it came into force.
    bool onConfiguration(std::shared_ptr<const RouteConfiguration> configuration);

    /// Starts a graceful shutdown that ends at @p endAt: a request that arrives from now on is
    /// refused if it would probably not be complete by then, and later if it is not sure to be.
    void beginStop(TimePoint now, TimePoint endAt) { m_stop = StopTimes{ now, endAt }; }
    /// Answers or aborts all requests, at the end of a graceful shutdown.
    void endAll(TimePoint now);

    /// Periodic work: ends requests past their deadline, gives up on unresponsive servers,
    /// dispatches queued requests and sends updates to owners.
    void run(TimePoint now);

    /// Effects since the last call.
    [[nodiscard]] std::vector<ForwardEffect> takeEffects() { return std::exchange(m_effects, {}); }

    [[nodiscard]] ServerDirectory &directory() { return m_directory; }
    [[nodiscard]] const ServerDirectory &directory() const { return m_directory; }
    [[nodiscard]] EngineGroups &groups() { return m_groups; }
    [[nodiscard]] const EngineGroups &groups() const { return m_groups; }
    [[nodiscard]] SegmentQuarantine &quarantine() { return m_quarantine; }
    [[nodiscard]] const SegmentQuarantine &quarantine() const { return m_quarantine; }
    [[nodiscard]] RetryBudget &retries() { return m_retries; }
    [[nodiscard]] const RouteTable &routes() const { return m_routes; }
    [[nodiscard]] const ForwardCounters &counters() const { return m_counters; }
    [[nodiscard]] std::size_t size() const { return m_calls.size(); }
    [[nodiscard]] std::size_t queued() const;
    /// Requests that wait here or at owners, by workspace, where several share the servers.
    [[nodiscard]] std::map<std::string, std::size_t> waitingByWorkspace() const;

private:
    /// Requests of one service and rank share its servers.
    struct QueuePool
    {
        std::uint32_t rank = 0;

        friend auto operator<=>(const QueuePool &, const QueuePool &) = default;
    };
    using Queue = SharedQueue<RequestId, QueuePool>;

    enum class State : std::uint8_t { Queued, Requested, Sent, Relayed };

    struct Call
    {
        RequestId id;
        std::string callerId;
        std::shared_ptr<const RouteConfiguration> configuration; ///< Keeps `route` alive.
        const Route *route = nullptr;
        ServiceId service;
        std::string workspace;
        /// Has a share of the servers; invalid if the configuration names one workspace at most.
        WorkspaceId sharer;
        std::uint32_t rank = 0; ///< Lower values are served first.
        Prompt prompt;
        /// What a server that ends under this request may have ended of: the shared segments of the
        /// prompt of a model request, and last the digest of the whole request.
        std::vector<std::uint64_t> suspects;
        std::size_t bytes = 0; ///< Size of the body.
        bool isLongPrompt = false;
        std::size_t partition = 0; ///< Partition of the service's servers.
        std::size_t partitionCount = 1;
        AttemptId pendingRequest; ///< Request to an owner in flight; invalid if none.
        HostId requestedOwner; ///< Owner that the request was sent to.
        TimePoint requestedAt; ///< When it was last sent, or when the owner queued it.
        bool isQueuedAtOwner = false; ///< The owner answered that the request waits there.
        bool choosesLocally = false; ///< The owner failed to choose; this host chooses next.
        HostId owner; ///< Holds the lease of the current attempt; invalid if there is none.
        /// Reported to the owner when the attempt ends.
        PlacementProgress progress = PlacementProgress::Ended;
        State state = State::Queued;
        TimePoint arrivedAt;
        TimePoint targetAt;
        TimePoint endAt;
        bool missesTarget = false; ///< Too late to meet its target.
        TimePoint queuedUntil; ///< Refused if still queued at this time.
        TimePoint retryAt; ///< Earliest time of the next attempt.
        AttemptId attempt;
        BackendServerId server;
        ServerRunId run; ///< Of the server, when the current attempt was sent.
        TimePoint sentAt;
        TimePoint eventAt; ///< Last arrival of events.
        std::optional<TimePoint> attemptEventAt; ///< First arrival of events of this attempt.
        TimePoint progressAt; ///< Last activity of the current attempt.
        Duration firstEvent{}; ///< From arrival to the first event; zero if none arrived.
        Duration maxPause{}; ///< Longest time between two arrivals of events.
        bool isWritten = false; ///< The current attempt wrote at least one byte.
        bool isProven = false; ///< The current attempt shows that the request ends no server.
        ServerRunId checkedRun; ///< Broke the request; it is being checked whether it ended.
        /// Until then the request is held back while its segments are suspect, since a server ended
        /// under it.
        std::optional<TimePoint> heldUntil;
        bool mayHaveRun = false; ///< An attempt may have executed the request.
        bool hasBegun = false; ///< The caller received the beginning of the answer.
        std::uint32_t sends = 0; ///< Attempts that wrote at least one byte.
        std::uint32_t connectFailures = 0;
        std::uint32_t uncached = 0; ///< Prompt tokens counted at `server` as still to be prefilled.
        /// Prefilled by `server` until the first event, if known here.
        std::optional<std::uint64_t> tokensToFirstEvent;
        std::vector<BackendServerId> tried; ///< Servers of earlier attempts.

        [[nodiscard]] std::uint64_t digest() const { return suspects.back(); }
        [[nodiscard]] std::span<const std::uint64_t> sharedSegments() const
        {
            return std::span(suspects).first(suspects.size() - 1);
        }
    };

    struct StopTimes
    {
        TimePoint startedAt;
        TimePoint endAt;
    };

    [[nodiscard]] bool fitsBeforeStop(TimePoint now, const Call &call) const;
    [[nodiscard]] bool admit(TimePoint now, const CallArrived &event, Call &call);
    void refuseArrival(const CallArrived &event, ResultCode code, Duration retryAfter);
    [[nodiscard]] Call *callOf(AttemptId attempt);
    void enqueue(Call &call);
    void dequeue(const Call &call);
    [[nodiscard]] PlacementCriteria criteriaOf(TimePoint now, const Call &call) const;
    void dispatchQueued(TimePoint now);
    void dispatchQueued(TimePoint now, Queue &queue);
    [[nodiscard]] QueueStep tryQueued(TimePoint now, Call &call,
                                      std::set<std::size_t> &fullPartitions);
    /// What the request costs its server: tokens, or 1 for a service without prompts.
    [[nodiscard]] static double costOf(const Call &call);
    /// Counters of the request's workspace; nullptr if it has no share.
    [[nodiscard]] WorkspaceCounters *countersOf(const Call &call);
    void assignPartition(Call &call);
    [[nodiscard]] bool dispatch(TimePoint now, Call &call);
    [[nodiscard]] HostId ownerOf(TimePoint now, const Call &call);
    void requestGrant(TimePoint now, Call &call, HostId owner);
    void sendGrantRequest(TimePoint now, Call &call);
    void endOwnerRequest(Call &call);
    void withdrawOwnerRequest(Call &call);
    void onQueuedAtOwner(TimePoint now, Call &call);
    void checkOwnerQueue(TimePoint now, Call &call);
    void onOwnerRestarted(TimePoint now, HostId owner);
    [[nodiscard]] Duration timeSinceHeard(TimePoint now, HostId owner) const;
    void checkQueued(TimePoint now, Call &call);
    void sendGranted(TimePoint now, Call &call, HostId owner, const PlacementGrant &grant);
    void checkOwnerRequest(TimePoint now, Call &call);
    [[nodiscard]] bool isBlocked(TimePoint now, const Call &call) const;
    void reportProgress(const Call &call, PlacementProgress progress);
    void checkOwners(TimePoint now);
    void sendActivePlacements(TimePoint now, HostId owner, ServiceId service,
                              std::size_t partition);
    void flushUpdates();
    void send(TimePoint now, Call &call, ForwardServer &server, AttemptId attempt);
    [[nodiscard]] AttemptId newAttempt() { return AttemptId{ m_nextAttempt++ }; }
    void releaseLoad(Call &call);
    void settlePrefill(Call &call);
    void recordFirstEvent(TimePoint now, const Call &call);
    void countLate(const Call &call);
    void cancelAttempt(Call &call);
    [[nodiscard]] bool mayRetry(const Call &call, bool hasRun) const;
    [[nodiscard]] bool hasUntriedServer(const Call &call);
    [[nodiscard]] bool retry(TimePoint now, Call &call, bool hasRun);
    void recordOutcome(TimePoint now, Call &call, const AnswerStatus &answer);
    void relay(TimePoint now, Call &call, const AnswerStatus &answer);
    void refuseOrAbort(TimePoint now, Call &call, ResultCode code);
    void finish(TimePoint now, Call &call, const AnswerStatus &answer);
    void end(RequestId request);
    void demote(TimePoint now, Call &call);
    void checkCall(TimePoint now, Call &call);
    [[nodiscard]] bool isUnresponsive(TimePoint now, const Call &call) const;
    [[nodiscard]] DecisionRecord recordOf(TimePoint now, const Call &call, DecisionKind kind) const;
    void addRecord(DecisionRecord record);
    void recordProof(TimePoint now, Call &call);
    void checkServerRun(TimePoint now, const Call &call, const ForwardServer &server);
    void holdUntilChecked(TimePoint now, Call &call, ServerRunId run);
    [[nodiscard]] bool areSegmentsKnownSound(const Call &call) const;
    [[nodiscard]] bool isHeld(TimePoint now, const Call &call) const;
    [[nodiscard]] bool refuseIfQuarantined(TimePoint now, Call &call);
    void refuseQuarantined(TimePoint now);
    /// Identifiers of all requests, so that some may be removed while they are gone through.
    [[nodiscard]] std::vector<RequestId> callIds() const;
    void addFailureRecord(TimePoint now, const Call &call, AttemptFailure failure);

    /// Partition of a service's servers.
    using Partition = std::pair<ServiceId, std::size_t>;
    /// What this host last received from an owner.
    struct OwnerContact
    {
        Incarnation incarnation;
        TimePoint heardAt;
    };
    /// Backoff of a workspace at a partition whose owner reported no capacity.
    struct OwnerBackoff
    {
        std::uint32_t rank = 0; ///< Requests of this rank or a less urgent one are held back.
        TimePoint until;
    };

    FailureDomainId m_failureDomain;
    std::mt19937_64 m_random;
    std::uint64_t m_tieBreakerSeed; ///< Differs between hosts.
    OwnerLookup m_ownerOf;
    std::map<Partition, HostId> m_owners; ///< Owners as last looked up.
    std::map<HostId, OwnerContact> m_ownerContacts;
    std::map<Partition, std::map<WorkspaceId, OwnerBackoff>> m_ownerBackoffs;
    std::map<HostId, PlacementUpdates> m_updates; ///< Sent by the next run().
    std::unordered_map<AttemptId, RequestId> m_ownerRequests;
    RouteTable m_routes;
    ServerDirectory m_directory;
    RetryBudget m_retries;
    EngineGroups m_groups;
    SegmentQuarantine m_quarantine;
    /// Shared segments of unproven requests that broke at a run that is being checked.
    std::map<ServerRunId, std::vector<std::uint64_t>> m_checkedRuns;
    Table<Call> m_calls;
    std::unordered_map<AttemptId, RequestId> m_attempts;
    std::map<ServiceId, Queue> m_queues;
    std::uint64_t m_nextAttempt;
    RouteDurations m_durations;
    std::optional<StopTimes> m_stop; ///< Of the graceful shutdown, if there is one.
    ForwardCounters m_counters;
    std::vector<ForwardEffect> m_effects;
};

} // namespace currantreel

#endif
