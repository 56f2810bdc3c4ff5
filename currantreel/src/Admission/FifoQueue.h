#ifndef CURRANTREEL_ADMISSION_FIFOQUEUE_H
#define CURRANTREEL_ADMISSION_FIFOQUEUE_H

#include "GrantQueue.h"
#include <algorithm>
#include <deque>
#include <optional>
#include <vector>

namespace currantreel {

/// Order of arrival, whatever the tier. A baseline for measurements.
class FifoQueue
{
public:
    explicit FifoQueue(const std::vector<std::uint32_t> & /*floorPermille*/ = {}) { }

    void push(QueuedGrantRequest grant)
    {
        remove(grant.request.id);
        m_waiting.push_back(std::move(grant));
    }

    bool remove(GrantId id)
    {
        return std::erase_if(
                   m_waiting,
                   [id](const QueuedGrantRequest &waiting) { return waiting.request.id == id; })
               > 0;
    }

    std::optional<QueuedGrantRequest> pop(TimePoint /*now*/) { return take(m_waiting.begin()); }

    /// Never sheds one that waits for a newcomer.
    static std::optional<QueuedGrantRequest> popVictim(Tier /*newcomer*/) { return std::nullopt; }

    std::optional<QueuedGrantRequest> popExpired(TimePoint now)
    {
        return take(std::find_if(
            m_waiting.begin(), m_waiting.end(),
            [now](const QueuedGrantRequest &waiting) { return waiting.grantDeadline <= now; }));
    }

    [[nodiscard]] std::optional<Tier> highestTier() const
    {
        if (m_waiting.empty())
            return std::nullopt;
        return m_waiting.front().request.tier;
    }

    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }

private:
    std::optional<QueuedGrantRequest>
    take(const std::deque<QueuedGrantRequest>::const_iterator &position)
    {
        if (position == m_waiting.end())
            return std::nullopt;
        QueuedGrantRequest grant = *position;
        m_waiting.erase(position);
        return grant;
    }

    std::deque<QueuedGrantRequest> m_waiting;
};

static_assert(GrantQueue<FifoQueue>, "FifoQueue must offer every operation of GrantQueue");

} // namespace currantreel

#endif
