#ifndef CURRANTREEL_ADMISSION_FIFOQUEUE_H
#define CURRANTREEL_ADMISSION_FIFOQUEUE_H

#include "GrantQueue.h"
#include <algorithm>
#include <deque>
#include <optional>
#include <vector>

namespace currantreel {

/// First in, first out, regardless of the tier. A baseline for measurements.
class FifoQueue
{
public:
    explicit FifoQueue(const std::vector<std::uint32_t> & /*floorPermille*/ = {}) { }

    void push(QueuedGrantRequest queued)
    {
        remove(queued.request.id);
        m_queue.push_back(std::move(queued));
    }

    bool remove(GrantId id)
    {
        return std::erase_if(
                   m_queue,
                   [id](const QueuedGrantRequest &entry) { return entry.request.id == id; })
               > 0;
    }

    std::optional<QueuedGrantRequest> pop(TimePoint /*now*/) { return take(m_queue.begin()); }

    /// Never sheds a queued request in favour of an incoming one.
    static std::optional<QueuedGrantRequest> popVictim(Tier /*incoming*/) { return std::nullopt; }

    std::optional<QueuedGrantRequest> popExpired(TimePoint now)
    {
        return take(
            std::find_if(m_queue.begin(), m_queue.end(), [now](const QueuedGrantRequest &entry) {
                return entry.grantDeadline <= now;
            }));
    }

    [[nodiscard]] std::optional<Tier> highestTier() const
    {
        if (m_queue.empty())
            return std::nullopt;
        return m_queue.front().request.tier;
    }

    [[nodiscard]] std::size_t size() const { return m_queue.size(); }

private:
    std::optional<QueuedGrantRequest>
    take(const std::deque<QueuedGrantRequest>::const_iterator &position)
    {
        if (position == m_queue.end())
            return std::nullopt;
        QueuedGrantRequest queued = *position;
        m_queue.erase(position);
        return queued;
    }

    std::deque<QueuedGrantRequest> m_queue;
};

static_assert(GrantQueue<FifoQueue>, "FifoQueue must offer every operation of GrantQueue");

} // namespace currantreel

#endif
