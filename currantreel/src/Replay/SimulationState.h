#ifndef CURRANTREEL_REPLAY_SIMULATIONSTATE_H
#define CURRANTREEL_REPLAY_SIMULATIONSTATE_H

#include "../Core/Id.h"
#include "EventScheduler.h"
#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace currantreel {

namespace replaytiming {

using namespace std::chrono_literals;

/// One-way latency between any two processes.
inline constexpr Duration hopLatency = 1ms;
/// Timeout of a connection attempt across a partition.
inline constexpr Duration connectTimeout = 1s;
/// Delay before a caller retries after an unknown outcome.
inline constexpr Duration callerRetryDelay = 500ms;
/// Timeout of a caller for a key or for a key's state.
inline constexpr Duration keyReplyTimeout = 2s;
/// Interval at which a host polls the platform's host list.
inline constexpr Duration platformPollInterval = 1s;
/// Age of the contents of the platform's host list.
inline constexpr Duration platformStaleness = 2s;
/// Time that a run continues after the end of the trace, so that open requests complete.
inline constexpr Duration drainTime = 120s;

} // namespace replaytiming

/// Pairs of failure domains that cannot communicate.
class PartitionSet
{
public:
    void add(const std::string &left, const std::string &right)
    {
        m_pairs.insert(std::minmax(left, right));
    }
    void remove(const std::string &left, const std::string &right)
    {
        const auto found = m_pairs.find(std::minmax(left, right));
        if (found != m_pairs.end())
            m_pairs.erase(found);
    }
    [[nodiscard]] bool isPartitioned(const std::string &left, const std::string &right) const
    {
        return m_pairs.contains(std::minmax(left, right));
    }

private:
    std::multiset<std::pair<std::string, std::string>> m_pairs;
};

/// Simulated state of one host.
struct HostState
{
    HostId id;
    std::string name;
    std::string failureDomain;
    std::uint64_t incarnation = 0; ///< Number of starts.
    bool isDown = true;
    TimePoint pausedUntil;
};

/// State that all components of the simulation share.
struct SimulationState
{
    EventScheduler scheduler;
    PartitionSet partitions;
    std::vector<HostState> hosts;

    /// True if @p host is up with the incarnation @p incarnation.
    [[nodiscard]] bool isUp(std::size_t host, std::uint64_t incarnation) const
    {
        return !hosts[host].isDown && hosts[host].incarnation == incarnation;
    }

    /// Runs @p action now, or when the pause of the host ends.
    void runWhenResumed(std::size_t host, EventScheduler::Action action)
    {
        if (scheduler.now() < hosts[host].pausedUntil)
            scheduler.at(hosts[host].pausedUntil, std::move(action));
        else
            action();
    }
};

} // namespace currantreel

#endif
