#include "UpdateQueue.h"

#include <algorithm>
#include <bit>

namespace currantreel {

namespace {

/// Tellings above the logarithm, so that losses leave nobody out.
constexpr std::size_t spareTellings = 2;

std::size_t tellingsFor(std::size_t viewSize)
{
    return static_cast<std::size_t>(std::bit_width(viewSize)) + spareTellings;
}

} // namespace

void UpdateQueue::add(const MemberUpdate &updates, bool isUrgent)
{
    m_items.insert_or_assign(updates.id, Item{ updates, 0, isUrgent });
}

std::vector<MemberUpdate> UpdateQueue::take(std::size_t limit, std::size_t viewSize)
{
    std::vector<Item *> order;
    for (auto &[id, item] : m_items)
        order.push_back(&item);
    const std::size_t count = std::min(limit, order.size());
    const auto middle = order.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(order.begin(), middle, order.end(), [](const Item *left, const Item *right) {
        if (left->told != right->told)
            return left->told < right->told;
        return left->updates.id < right->updates.id;
    });
    order.resize(count);
    std::vector<MemberUpdate> taken;
    for (Item *item : order) {
        taken.push_back(item->updates);
        ++item->told;
    }
    std::erase_if(m_items, [viewSize](const auto &entry) {
        return entry.second.told >= tellingsFor(viewSize);
    });
    return taken;
}

bool UpdateQueue::hasUrgent() const
{
    return std::any_of(m_items.begin(), m_items.end(),
                       [](const auto &entry) { return entry.second.isUrgent; });
}

} // namespace currantreel
