#ifndef CURRANTREEL_MEMBERSHIP_UPDATEQUEUE_H
#define CURRANTREEL_MEMBERSHIP_UPDATEQUEUE_H

#include "MembershipMessages.h"
#include <map>
#include <vector>

namespace currantreel {

/// Updates that a host still has to disseminate, at most one per member. Each is sent a number of
/// times that grows with the logarithm of the view size. The least sent updates go first.
class UpdateQueue
{
public:
    /// Adds @p update. It replaces an older one on the same member.
    /// @param isUrgent worth a message of its own.
    void add(const MemberUpdate &update, bool isUrgent);

    /// Returns up to @p limit updates for one message, and drops those that were sent often enough
    /// for a view of @p viewSize members.
    std::vector<MemberUpdate> take(std::size_t limit, std::size_t viewSize);

    /// True while an urgent update has not been sent as often as required.
    [[nodiscard]] bool hasUrgent() const;

    [[nodiscard]] std::size_t size() const { return m_items.size(); }

private:
    struct Item
    {
        MemberUpdate update;
        std::size_t sendCount = 0;
        bool isUrgent = false;
    };

    std::map<HostId, Item> m_items;
};

} // namespace currantreel

#endif
