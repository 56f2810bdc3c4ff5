#include "UpdateQueue.h"

#include <algorithm>
#include <bit>

namespace currantreel {

namespace {

/// Sends in addition to the logarithm of the view size, so that updates reach all hosts despite
/// losses.
constexpr std::size_t extraSends = 2;

std::size_t requiredSends(std::size_t viewSize)
{
    return static_cast<std::size_t>(std::bit_width(viewSize)) + extraSends;
}

} // namespace

void UpdateQueue::add(const MemberUpdate &update, bool isUrgent)
{
    m_items.insert_or_assign(update.id, Item{ update, 0, isUrgent });
}

std::vector<MemberUpdate> UpdateQueue::take(std::size_t limit, std::size_t viewSize)
{
    std::vector<Item *> order;
    for (auto &[id, item] : m_items)
        order.push_back(&item);
    const std::size_t count = std::min(limit, order.size());
    const auto middle = order.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(order.begin(), middle, order.end(), [](const Item *left, const Item *right) {
        if (left->sendCount != right->sendCount)
            return left->sendCount < right->sendCount;
        return left->update.id < right->update.id;
    });
    order.resize(count);
    std::vector<MemberUpdate> taken;
    for (Item *item : order) {
        taken.push_back(item->update);
        ++item->sendCount;
    }
    std::erase_if(m_items, [viewSize](const auto &entry) {
        return entry.second.sendCount >= requiredSends(viewSize);
    });
    return taken;
}

bool UpdateQueue::hasUrgent() const
{
    return std::any_of(m_items.begin(), m_items.end(),
                       [](const auto &entry) { return entry.second.isUrgent; });
}

} // namespace currantreel
