#ifndef CURRANTREEL_PLACEMENT_WARMUPLIMIT_H
#define CURRANTREEL_PLACEMENT_WARMUPLIMIT_H

#include "../Core/Id.h"
#include "../Core/Time.h"
#include "../Routes/RouteConfiguration.h"
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace currantreel {

/// Requests that all hosts together may send a server in one second while it warms up: the rate that
/// its service states times `ratio`, plus `slack`.
struct WarmUpBound
{
    double ratio = 1.0;
    double slack = 0.0;
};

/// Position of this host among those that it knows, in an order that differs between servers.
struct HostRank
{
    std::size_t rank = 0; ///< 0 is the first.
    std::size_t hosts = 1; ///< Hosts known, this one included.
};

/// What this host knows of the other hosts, as far as the limit needs it.
struct WarmUpHosts
{
    /// Whether no host that is present ranks before this one as owner of the partition.
    std::function<bool(TimePoint now, ServiceId service, std::size_t partition)> isOwner;
    std::function<HostRank(TimePoint now, BackendServerId server)> rankOf;
};

/// A server whose limit is asked for.
struct WarmUpServer
{
    BackendServerId id;
    ServiceId service;
    std::size_t partition = 0;
    TimePoint coldUntil; ///< End of its warm-up.
};

/// Log record of a server's limit.
struct WarmUpRecord
{
    enum class Kind : std::uint8_t {
        Began, ///< The server warms up.
        UsedUp, ///< This host may send it nothing more for now; once in each warm-up.
    };

    Kind kind = Kind::Began;
    BackendServerId server;
    Duration coldLeft{};
    std::size_t share = 0; ///< Requests that this host may send or grant within a window.
};

/// Limit on the requests sent to servers that warm up, held by all hosts together without messages
/// between them.
///
/// The bound of a server is divided into fixed shares, so that their sum stays below it whatever
/// hosts believe of each other: one for the host that has owned the server's partition for a while,
/// the same once more for a second host that believes so, and the rest in equal parts for a few
/// hosts that are determined by the server. Other hosts send it nothing on their own.
class WarmUpLimit
{
public:
    /// Time over which placements are counted: a second, and the time for which they may differ in
    /// how long they take to arrive.
    static constexpr Duration window = std::chrono::milliseconds(1'250);
    /// Time for which a host has to be the owner before it has the owner's share.
    static constexpr Duration ownerWait = std::chrono::seconds(2);
    /// Time after its start for which a host has no share, since it may not know the others yet.
    static constexpr Duration startWait = std::chrono::seconds(12);
    /// Time after a warm-up during which the share rises until there is no limit.
    static constexpr Duration rampTime = std::chrono::seconds(1);

    void setBound(const WarmUpBound &bound) { m_bound = bound; }
    /// Without this, the host takes itself for the only one.
    void setHosts(WarmUpHosts hosts) { m_hosts = std::move(hosts); }
    /// Takes over which services have a limit.
    void configure(const RouteConfiguration &configuration);
    [[nodiscard]] bool isLimited(ServiceId service) const { return m_rates.contains(service); }

    /// A server of @p service warms up until @p coldUntil.
    void recordWarmUp(ServiceId service, TimePoint coldUntil);
    /// Whether servers of @p service, which has a limit, warm up.
    [[nodiscard]] bool isWarmingUp(TimePoint now, ServiceId service) const;

    /// Whether this host may place one more request at @p server. Counts if it may not.
    [[nodiscard]] bool mayPlace(TimePoint now, const WarmUpServer &server);
    /// Whether this host may send one more request that an owner granted: grants that were delayed on
    /// their way may arrive all at once.
    [[nodiscard]] bool maySendGranted(TimePoint now, const WarmUpServer &server);
    /// Counts a request that was placed. It keeps its place if it is not sent in the end: its host
    /// may have sent it, or part of it, without telling.
    void countPlacement(TimePoint now, BackendServerId server, ServiceId service);

    /// Takes note of partitions owned; to be called regularly.
    /// @param partitions number of partitions of a service.
    void run(TimePoint now, const std::function<std::size_t(ServiceId)> &partitions);

    /// Records since the last call.
    [[nodiscard]] std::vector<WarmUpRecord> takeRecords() { return std::exchange(m_records, {}); }
    /// Servers that warm up, of those that this host considered for a request.
    [[nodiscard]] std::size_t warmingUp(TimePoint now) const;
    /// Choices in which a server was left out since this host may send it nothing more for now.
    [[nodiscard]] std::uint64_t timesLeftOut() const { return m_timesLeftOut; }

private:
    struct Server
    {
        std::deque<TimePoint> placements; ///< Within the window.
        TimePoint coldUntil;
        bool isUsedUpLogged = false;
        HostRank rank;
        TimePoint rankAt;
    };
    /// Since when, and when last, this host was found to be the owner.
    struct Ownership
    {
        TimePoint since;
        TimePoint checkedAt;
    };
    using Partition = std::pair<ServiceId, std::size_t>;

    /// Division of a server's bound, in requests within the window.
    struct Shares
    {
        std::size_t owner = 0; ///< Of each of two hosts.
        std::size_t others = 0; ///< Of all other hosts together.
    };

    [[nodiscard]] Shares sharesOf(ServiceId service) const;
    [[nodiscard]] Server &stateOf(TimePoint now, const WarmUpServer &server);
    [[nodiscard]] std::size_t shareOf(TimePoint now, const WarmUpServer &server, Server &state);
    [[nodiscard]] std::size_t shareAmongOthers(TimePoint now, const WarmUpServer &server,
                                               Server &state) const;
    [[nodiscard]] bool isSettledOwner(TimePoint now, const WarmUpServer &server) const;
    [[nodiscard]] bool hasRoom(TimePoint now, const WarmUpServer &server, std::size_t share,
                               Server &state);
    void recordLeftOut(TimePoint now, const WarmUpServer &server, std::size_t share, Server &state);

    WarmUpBound m_bound;
    WarmUpHosts m_hosts;
    std::map<ServiceId, double> m_rates; ///< Requests per second, of services with a limit.
    std::map<ServiceId, TimePoint> m_coldUntil; ///< End of the last warm-up of a service's servers.
    std::map<BackendServerId, Server> m_servers;
    std::map<Partition, Ownership> m_owned;
    TimePoint m_startedAt;
    TimePoint m_checkedAt; ///< When the partitions owned were last looked up.
    bool m_isStarted = false;
    std::vector<WarmUpRecord> m_records;
    std::uint64_t m_timesLeftOut = 0;
};

} // namespace currantreel

#endif
