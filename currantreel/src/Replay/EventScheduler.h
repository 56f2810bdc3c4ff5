#ifndef CURRANTREEL_REPLAY_EVENTSCHEDULER_H
#define CURRANTREEL_REPLAY_EVENTSCHEDULER_H

#include "../Core/Time.h"
#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace currantreel {

/// Virtual clock with what is to happen at which time. Actions of the same time run in the order in
/// which they were added.
class Schedule
{
public:
    using Action = std::function<void()>;

    [[nodiscard]] TimePoint now() const { return m_now; }

    void at(TimePoint time, Action action)
    {
        m_actions.emplace(std::pair(std::max(time, m_now), m_nextSequence++), std::move(action));
    }
    void after(Duration delay, Action action) { at(m_now + delay, std::move(action)); }

    /// Runs every action up to @p end.
    void runUntil(TimePoint end)
    {
        while (!m_actions.empty() && m_actions.begin()->first.first <= end) {
            auto next = m_actions.extract(m_actions.begin());
            m_now = next.key().first;
            next.mapped()();
        }
        m_now = end;
    }

private:
    TimePoint m_now;
    std::uint64_t m_nextSequence = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, Action> m_actions;
};

} // namespace currantreel

#endif
