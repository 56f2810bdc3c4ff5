#ifndef CURRANTREEL_WORLD_SERVERPOOL_H
#define CURRANTREEL_WORLD_SERVERPOOL_H

#include "../Admission/ServerChoice.h"
#include "../Limits/ServerLatency.h"
#include "../Limits/SlotLimit.h"
#include "../Ownership/TargetLoad.h"
#include "HostEntry.h"
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace currantreel {

/// Result and times of an attempt on a backend server, from which the pool learns.
struct ServerReport
{
    BackendServerId server;
    LeaseEnd end = LeaseEnd::Completed;
    Duration firstToken{};
    Duration interToken{};
    Duration firstTokenTarget{};
};

/// The backend servers that this host owns: slots in use, learned concurrency limits, pauses after
/// failures, and an order by load for each target. The cost of a choice does not depend on the
/// servers of other targets, and no work is done without events.
class ServerPool
{
public:
    /// Adds the server, or applies a changed declaration.
    void declare(const BackendServer &server, std::vector<TargetId> targets);
    /// Removes every server that was not declared since the last call.
    void removeUndeclared();
    /// Marks exactly these servers as leaving; they get no further grants.
    void setLeaving(const std::set<BackendServerId> &leaving);

    /// True if @p server is declared.
    [[nodiscard]] bool contains(BackendServerId server) const { return m_servers.find(server); }
    /// Slots and free slots of every target that has servers; queue lengths are left at zero.
    [[nodiscard]] std::vector<TargetLoad> loads() const;

    /// True if a server that is not leaving serves @p target.
    [[nodiscard]] bool hasServer(TargetId target) const;

    /// Free servers of @p target whose memory has room for @p tokens, by identifier: at most
    /// `maxCandidates` of the least loaded ones, and @p preferred if it is free.
    [[nodiscard]] std::vector<ServerCandidate> candidates(TargetId target, std::uint64_t tokens,
                                                          BackendServerId preferred) const;
    [[nodiscard]] bool hasFreeSlot(TargetId target) const;

    void acquire(BackendServerId server, std::uint64_t tokens);
    void release(BackendServerId server, std::uint64_t tokens);

    /// Updates limit, latency and pause of a server from the end of an attempt.
    void learn(TimePoint now, const ServerReport &report);

    /// Ends pauses that are over and ejects stragglers.
    void run(TimePoint now);

    /// Slots of all servers of @p target that are free or will be once they are released.
    [[nodiscard]] std::uint64_t slots(TargetId target) const;
    /// Slots of @p target that are free now.
    [[nodiscard]] std::uint64_t freeSlots(TargetId target) const;
    [[nodiscard]] std::uint32_t inFlight(BackendServerId server) const;
    /// Learned concurrency limit of @p server; 0 while it is paused or leaving.
    [[nodiscard]] std::uint32_t limit(BackendServerId server) const;

    /// Maximum number of least loaded servers that a grant chooses from.
    static constexpr std::size_t maxCandidates = 16;

private:
    struct ServerRow
    {
        BackendServerId id;
        std::vector<TargetId> targets;
        std::uint32_t inFlight = 0;
        std::uint64_t kvTokens = 0; ///< KV cache capacity; 0 if not configured.
        std::uint64_t reservedTokens = 0;
        SlotLimit limit;
        ServerLatency latency;
        double slowdown = 1.0;
        std::uint32_t failures = 0; ///< Consecutive failures.
        TimePoint pausedUntil;
        bool isPaused = false;
        bool isLeaving = false;
        bool isDeclared = true;
        bool isFree = false; ///< Listed among the free servers of its targets.
        double load = 0.0; ///< Sort key in that list.
        std::uint64_t lastGrantSequence = 0; ///< Sort key among equal loads.
        std::uint32_t countedSlots = 0; ///< Contribution to the slots of its targets.
        std::uint32_t countedInFlight = 0;
        std::size_t countedEjected = 0;
    };

    /// Load, sequence number of the last grant, server.
    using FreeKey = std::tuple<double, std::uint64_t, BackendServerId>;

    struct TargetRow
    {
        std::vector<BackendServerId> servers;
        std::set<FreeKey> free;
        std::uint64_t slots = 0;
        std::uint64_t inFlight = 0;
        std::size_t ejected = 0; ///< Number of paused servers.
    };

    static FreeKey keyOf(const ServerRow &row)
    {
        return { row.load, row.lastGrantSequence, row.id };
    }
    static std::uint32_t usableSlots(const ServerRow &row);
    void detach(ServerRow &row);
    void attach(ServerRow &row);
    void remove(BackendServerId server);
    void pause(TimePoint now, ServerRow &row, Duration basePause);
    void onFailed(TimePoint now, ServerRow &row);
    [[nodiscard]] bool mayEject(const ServerRow &row) const;
    void ejectStragglers(TimePoint now, TargetRow &target);
    [[nodiscard]] Duration median(const TargetRow &target,
                                  Duration (ServerLatency::*time)() const) const;
    static ServerCandidate candidateOf(const ServerRow &row, const TargetRow &target);
    [[nodiscard]] static bool hasMemoryFor(const ServerRow &row, std::uint64_t tokens);

    Table<ServerRow> m_servers;
    std::map<TargetId, TargetRow> m_targets;
    std::set<std::pair<TimePoint, BackendServerId>> m_pauses;
    std::set<TargetId>
        m_measuredTargets; ///< Targets measured since the last search for stragglers.
    TimePoint m_stragglersCheckedAt;
    std::uint64_t m_grants = 0;
};

} // namespace currantreel

#endif
