#ifndef CURRANTREEL_FORWARD_FORWARDSYSTEM_H
#define CURRANTREEL_FORWARD_FORWARDSYSTEM_H

#include "../Core/Table.h"
#include "EngineGroups.h"
#include "ForwardCounters.h"
#include "ForwardMessages.h"
#include "RetryBudget.h"
#include "RouteTable.h"
#include "ServerDirectory.h"
#include "ServerPlacement.h"
#include <functional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace currantreel {

/// Order of waiting requests: the more urgent tier first, then those that can still meet their target,
/// then the earlier target.
struct QueuePosition
{
    std::uint32_t rank = 0;
    bool isBehind = false; ///< Too late for its target.
    TimePoint targetAt;
    RequestId request;

    friend auto operator<=>(const QueuePosition &, const QueuePosition &) = default;
};

/// Follows each forwarded request from arrival to its end: finds its route, queues it, chooses backend
/// servers, repeats it where that is allowed, and refuses it where that is true.
///
/// Pure: time comes as an argument and what is to be done goes out as effects. Answers for the queue,
/// the refusals and the choice of servers under any load.
///
/// Servers of model engines are chosen by their owner, which sees the requests of all hosts; this host
/// chooses itself where it is the owner, and where the owner does not answer in time.
class ForwardSystem
{
public:
    /// Tells the owner of a part of a service's servers; invalid if it is this host.
    using OwnerLookup =
        std::function<HostId(TimePoint now, ServiceId service, std::size_t partition)>;

    /// @param failureDomain of this host. @param seed of random draws.
    ForwardSystem(FailureDomainId failureDomain, std::uint64_t seed);

    /// Without a lookup this host chooses all servers itself.
    void setOwnerLookup(OwnerLookup ownerOf) { m_ownerOf = std::move(ownerOf); }

    void onArrived(TimePoint now, const CallArrived &event);
    /// The caller closed its connection.
    void onCallerDisconnected(TimePoint now, RequestId request);
    /// The first byte was handed to the backend server's connection.
    void onWritten(AttemptId attempt);
    /// Whole events of a stream arrived; @p answer is the status of its head.
    void onEvents(TimePoint now, AttemptId attempt, const AnswerStatus &answer);
    /// The answer arrived whole.
    void onAnswer(TimePoint now, AttemptId attempt, const AnswerStatus &answer);
    void onFailed(TimePoint now, AttemptId attempt, AttemptFailure failure);
    /// The owner @p from chose a server.
    void onGrant(TimePoint now, HostId from, const PlacementGrant &grant);

    /// Servers changed, or other hosts told of their work.
    void onServersChanged(TimePoint now) { dispatchWaiting(now); }
    /// A configuration was read. Returns whether it came into force.
    bool onConfiguration(std::shared_ptr<const RouteConfiguration> configuration);

    /// Ends requests whose time is over, gives up on silent servers, and sends what waits.
    void run(TimePoint now);

    /// What is to be done since the last call.
    [[nodiscard]] std::vector<ForwardEffect> takeEffects() { return std::exchange(m_effects, {}); }

    [[nodiscard]] ServerDirectory &directory() { return m_directory; }
    [[nodiscard]] const ServerDirectory &directory() const { return m_directory; }
    [[nodiscard]] EngineGroups &groups() { return m_groups; }
    [[nodiscard]] const EngineGroups &groups() const { return m_groups; }
    [[nodiscard]] RetryBudget &retries() { return m_retries; }
    [[nodiscard]] const RouteTable &routes() const { return m_routes; }
    [[nodiscard]] const ForwardCounters &counters() const { return m_counters; }
    [[nodiscard]] std::size_t size() const { return m_calls.size(); }
    [[nodiscard]] std::size_t queued() const;

private:
    enum class State : std::uint8_t { Waiting, Asked, Sent, Relayed };

    struct Call
    {
        RequestId id;
        std::string callerId;
        std::shared_ptr<const RouteConfiguration> configuration; ///< Keeps `route` alive.
        const Route *route = nullptr;
        ServiceId service;
        std::string workspace;
        std::uint32_t rank = 0; ///< Lower is more urgent.
        Prompt prompt;
        std::size_t bytes = 0; ///< Of the request.
        bool isLongPrompt = false;
        std::size_t partition = 0; ///< Of the service's servers, of `parts`.
        std::size_t partitionCount = 1;
        AttemptId pendingRequest; ///< Of the ask on its way; invalid if there is none.
        HostId askedOf;
        TimePoint askedAt;
        bool decidesHere = false; ///< The owner did not answer: the next choice is made here.
        HostId owner; ///< Holds the lease of the present attempt; invalid if nobody does.
        PlacementProgress progress = PlacementProgress::Ended; ///< Told when the attempt ends.
        State state = State::Waiting;
        TimePoint arrivedAt;
        TimePoint targetAt;
        TimePoint endAt;
        bool isBehind = false; ///< Waited until it was too late for its target.
        TimePoint queuedUntil; ///< Refused if it still waits then.
        TimePoint retryAt; ///< Not sent again before.
        AttemptId attempt;
        BackendServerId server;
        TimePoint sentAt;
        TimePoint eventAt; ///< Last arrival of events.
        TimePoint progressAt; ///< Last sign of life of the present attempt.
        Duration firstEvent{}; ///< From arrival to the first event; zero if none came.
        Duration maxPause{}; ///< Between two arrivals of events.
        bool isWritten = false; ///< Of the present attempt.
        bool mayHaveRun = false; ///< Some attempt may have run the request.
        bool hasBegun = false; ///< The caller has part of the answer.
        std::uint32_t sends = 0; ///< Servers that were sent a byte.
        std::uint32_t connectFailures = 0;
        std::uint32_t uncached = 0; ///< Tokens counted as unread at `server`.
        std::vector<BackendServerId> tried;
    };

    [[nodiscard]] bool admit(TimePoint now, const CallArrived &event, Call &call);
    void refuseArrival(const CallArrived &event, ResultCode code);
    [[nodiscard]] Call *callOf(AttemptId attempt);
    void enqueue(Call &call);
    void dequeue(const Call &call);
    [[nodiscard]] QueuePosition positionOf(const Call &call) const;
    [[nodiscard]] PlacementRequest placementOf(const Call &call) const;
    void dispatchWaiting(TimePoint now);
    void dispatchWaiting(TimePoint now, std::set<QueuePosition> &queue);
    void assignPart(Call &call);
    [[nodiscard]] bool dispatch(TimePoint now, Call &call);
    [[nodiscard]] HostId ownerOf(TimePoint now, const Call &call);
    void ask(TimePoint now, Call &call, HostId owner);
    void stopAsking(Call &call);
    void sendTo(TimePoint now, Call &call, HostId owner, const PlacementGrant &grant);
    void checkAsk(TimePoint now, Call &call);
    [[nodiscard]] bool isBlocked(TimePoint now, const Call &call) const;
    void tell(const Call &call, PlacementProgress progress);
    void checkOwners(TimePoint now);
    void tellHeld(TimePoint now, HostId owner, ServiceId service, std::size_t partition);
    void flushNotes();
    void send(TimePoint now, Call &call, ForwardServer &server, AttemptId attempt);
    [[nodiscard]] AttemptId drawAttempt() { return AttemptId{ m_nextAttempt++ }; }
    void settleLoad(Call &call);
    void settleRead(Call &call);
    void dropAttempt(Call &call);
    [[nodiscard]] bool mayRepeat(const Call &call, bool hasRun) const;
    [[nodiscard]] bool hasUntriedServer(const Call &call);
    [[nodiscard]] bool tryAgain(TimePoint now, Call &call, bool hasRun);
    void judgeServer(TimePoint now, Call &call, const AnswerStatus &answer);
    void passOn(TimePoint now, Call &call, const AnswerStatus &answer);
    void giveUp(TimePoint now, Call &call, ResultCode code);
    void finish(TimePoint now, Call &call, const AnswerStatus &answer);
    void end(RequestId request);
    void putBehind(TimePoint now, Call &call);
    void checkCall(TimePoint now, Call &call);
    [[nodiscard]] bool isSilent(TimePoint now, const Call &call) const;
    [[nodiscard]] DecisionRecord noteOf(TimePoint now, const Call &call, DecisionKind kind) const;
    void note(DecisionRecord note);

    /// Part of a service's servers.
    using Part = std::pair<ServiceId, std::size_t>;
    /// Requests of a rank and below that find no room for a while.
    struct Full
    {
        std::uint32_t rank = 0;
        TimePoint until;
    };

    FailureDomainId m_failureDomain;
    std::mt19937_64 m_random;
    OwnerLookup m_ownerOf;
    std::map<Part, HostId> m_owners; ///< As last looked up.
    std::map<HostId, Incarnation> m_ownerIncarnations;
    std::map<Part, Full> m_full;
    std::map<HostId, PlacementUpdates> m_notes; ///< To be told with the next tick.
    std::unordered_map<AttemptId, RequestId> m_asks;
    RouteTable m_routes;
    ServerDirectory m_directory;
    RetryBudget m_retries;
    EngineGroups m_groups;
    Table<Call> m_calls;
    std::unordered_map<AttemptId, RequestId> m_attempts;
    std::map<ServiceId, std::set<QueuePosition>> m_queues;
    std::uint64_t m_nextAttempt = 1;
    ForwardCounters m_counters;
    std::vector<ForwardEffect> m_effects;
};

} // namespace currantreel

#endif
