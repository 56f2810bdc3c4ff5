#ifndef CURRANTREEL_MEMBERSHIP_UPDATEQUEUE_H
#define CURRANTREEL_MEMBERSHIP_UPDATEQUEUE_H

#include "MembershipMessages.h"
#include <map>
#include <vector>

namespace currantreel {

/// News which a host still has to pass on, at most one piece a member. Each is told a number of times
/// that grows with the logarithm of the view; what was told least goes first.
class UpdateQueue
{
public:
    /// Adds @p news, in place of older news about the same member.
    /// @param isUrgent worth a message of its own.
    void add(const MemberUpdate &updates, bool isUrgent);

    /// Takes up to @p limit pieces for one message to a view of @p viewSize members.
    std::vector<MemberUpdate> take(std::size_t limit, std::size_t viewSize);

    /// True while urgent news has not been told as often as it has to be.
    [[nodiscard]] bool hasUrgent() const;

    [[nodiscard]] std::size_t size() const { return m_items.size(); }

private:
    struct Item
    {
        MemberUpdate updates;
        std::size_t told = 0;
        bool isUrgent = false;
    };

    std::map<HostId, Item> m_items;
};

} // namespace currantreel

#endif
