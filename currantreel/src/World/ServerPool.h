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

/// How an attempt on a backend server ended, as the pool learns from it.
struct ServerReport
{
    BackendServerId server;
    LeaseEnd end = LeaseEnd::Completed;
    Duration firstToken{};
    Duration interToken{};
    Duration firstTokenTarget{};
};

/// The backend servers that this host owns: slots in use, learned limits, pauses after failures, and
/// an order by load for each target. Cost of a choice does not grow with servers of other targets, and
/// nothing is done while nothing happens.
class ServerPool
{
public:
    /// Adds the server, or takes over a changed declaration.
    void declare(const BackendServer &server, std::vector<TargetId> targets);
    /// Removes every server that was not declared since the last call.
    void removeUndeclared();
    /// Marks exactly these servers as leaving; they get no further grants.
    void setLeaving(const std::set<BackendServerId> &leaving);

    /// True if @p server is declared.
    [[nodiscard]] bool contains(BackendServerId server) const { return m_servers.find(server); }
    /// Slots and free slots of every target that has servers; the queues are not known here.
    [[nodiscard]] std::vector<TargetLoad> loads() const;

    /// True if a server that is not leaving serves @p target.
    [[nodiscard]] bool hasServer(TargetId target) const;

    /// Free servers of @p target whose memory has room for @p tokens, least loaded first unless there
    /// are few; at most `maxCandidates`, and @p preferred if it is free.
    [[nodiscard]] std::vector<ServerCandidate> candidates(TargetId target, std::uint64_t tokens,
                                                          BackendServerId preferred) const;
    [[nodiscard]] bool hasFreeSlot(TargetId target) const;

    void acquire(BackendServerId server, std::uint64_t tokens);
    void release(BackendServerId server, std::uint64_t tokens);

    /// Learns from the end of an attempt: limits, pace, pauses.
    void learn(TimePoint now, const ServerReport &report);

    /// Ends pauses that are over and ejects stragglers.
    void run(TimePoint now);

    /// Slots that may be granted now or once they are released, over all servers of @p target.
    [[nodiscard]] std::uint64_t slots(TargetId target) const;
    /// Slots of @p target that are free now.
    [[nodiscard]] std::uint64_t freeSlots(TargetId target) const;
    [[nodiscard]] std::uint32_t inFlight(BackendServerId server) const;
    /// Learned limit of @p server; 0 while it is paused or leaving.
    [[nodiscard]] std::uint32_t limit(BackendServerId server) const;

    /// Most servers among which a grant chooses.
    static constexpr std::size_t maxCandidates = 16;

private:
    struct Row
    {
        BackendServerId id;
        std::vector<TargetId> targets;
        std::uint32_t inFlight = 0;
        std::uint64_t kvTokens = 0; ///< 0 if not stated.
        std::uint64_t reservedTokens = 0;
        SlotLimit limit;
        ServerLatency pace;
        double slowdown = 1.0;
        std::uint32_t failures = 0; ///< In a row.
        TimePoint pausedUntil;
        bool isPaused = false;
        bool isLeaving = false;
        bool isDeclared = true;
        bool isFree = false; ///< Stands in the order of free servers of its targets.
        double load = 0.0; ///< Key in that order.
        std::uint64_t lastGrantSequence = 0; ///< Key in that order among equal loads.
        std::uint32_t countedSlots = 0; ///< Part of its targets' slots.
        std::uint32_t countedInFlight = 0;
        std::size_t countedEjected = 0;
    };

    /// Load, place of the last grant, server.
    using FreeKey = std::tuple<double, std::uint64_t, BackendServerId>;

    struct TargetRow
    {
        std::vector<BackendServerId> servers;
        std::set<FreeKey> free;
        std::uint64_t slots = 0;
        std::uint64_t inFlight = 0;
        std::size_t ejected = 0; ///< Servers paused now.
    };

    static FreeKey keyOf(const Row &row) { return { row.load, row.lastGrantSequence, row.id }; }
    static std::uint32_t usableSlots(const Row &row);
    void detach(Row &row);
    void attach(Row &row);
    void remove(BackendServerId server);
    void pause(TimePoint now, Row &row, Duration first);
    void onFailed(TimePoint now, Row &row);
    [[nodiscard]] bool mayEject(const Row &row) const;
    void ejectStragglers(TimePoint now, TargetRow &target);
    [[nodiscard]] Duration median(const TargetRow &target,
                                  Duration (ServerLatency::*time)() const) const;
    static ServerCandidate candidateOf(const Row &row, const TargetRow &target);
    [[nodiscard]] static bool hasRoom(const Row &row, std::uint64_t tokens);

    Table<Row> m_servers;
    std::map<TargetId, TargetRow> m_targets;
    std::set<std::pair<TimePoint, BackendServerId>> m_pauses;
    std::set<TargetId> m_changed; ///< Targets with measurements since stragglers were looked for.
    TimePoint m_lookedAt;
    std::uint64_t m_grants = 0;
};

} // namespace currantreel

#endif
