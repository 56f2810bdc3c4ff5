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

/// One way between any two processes.
inline constexpr Duration hop = 1ms;
/// Until a connection across a partition is given up.
inline constexpr Duration connectTimeout = 1s;
/// Until a caller tries again after an unknown outcome.
inline constexpr Duration callerRetryDelay = 500ms;
/// Longest wait of a caller for a key or for a key's state.
inline constexpr Duration keyPatience = 2s;
/// Time between two readings of the platform's list by a host.
inline constexpr Duration platformInterval = 1s;
/// Age of what the platform's list says.
inline constexpr Duration platformLag = 2s;
/// Time of a run after the last arrival.
inline constexpr Duration drain = 120s;

} // namespace replaytiming

/// Pairs of failure domains which do not talk.
class PartitionSet
{
public:
    void cut(const std::string &left, const std::string &right)
    {
        m_cuts.insert(std::minmax(left, right));
    }
    void heal(const std::string &left, const std::string &right)
    {
        const auto found = m_cuts.find(std::minmax(left, right));
        if (found != m_cuts.end())
            m_cuts.erase(found);
    }
    [[nodiscard]] bool isCut(const std::string &left, const std::string &right) const
    {
        return m_cuts.contains(std::minmax(left, right));
    }

private:
    std::multiset<std::pair<std::string, std::string>> m_cuts;
};

/// One host as the bench sees it.
struct HostState
{
    HostId id;
    std::string name;
    std::string failureDomain;
    std::uint64_t incarnation = 0; ///< Counts the starts.
    bool isDown = true;
    TimePoint standsStillUntil;
};

/// What all parts of the bench share.
struct BenchState
{
    Schedule schedule;
    PartitionSet partitions;
    std::vector<HostState> hosts;

    /// True if @p host runs as the incarnation @p incarnation.
    [[nodiscard]] bool isUp(std::size_t host, std::uint64_t incarnation) const
    {
        return !hosts[host].isDown && hosts[host].incarnation == incarnation;
    }

    /// Runs @p action now, or when the host moves again if it stands still.
    void whenAwake(std::size_t host, Schedule::Action action)
    {
        if (schedule.now() < hosts[host].standsStillUntil)
            schedule.at(hosts[host].standsStillUntil, std::move(action));
        else
            action();
    }
};

} // namespace currantreel

#endif
