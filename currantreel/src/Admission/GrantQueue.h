#ifndef CURRANTREEL_ADMISSION_GRANTQUEUE_H
#define CURRANTREEL_ADMISSION_GRANTQUEUE_H

#include "GrantMessages.h"
#include <concepts>
#include <optional>

namespace currantreel {

/// A grant request as it waits at its owner, with instants of the owner's clock.
struct QueuedGrantRequest
{
    GrantRequest request;
    TimePoint queuedAt;
    TimePoint firstTokenDeadline;
    TimePoint answerDeadline;
    TimePoint grantDeadline; ///< End of the bounded wait.
    Duration expectedTimeToFirstToken{}; ///< Expected time from the grant to the first token.
    std::uint64_t sequence = 0; ///< Order of arrival; set by the queue.
    bool isPostponed = false; ///< Late already; set by the queue.
};

/// A queue which decides who is granted next. One queue serves one target.
///
/// `pop` gives the next to be granted. `victim` gives the one to shed when the queue is full, which
/// is never of a higher tier than the newcomer's.
template <typename Queue>
concept GrantQueue = requires(Queue queue, const Queue &constQueue, QueuedGrantRequest grant,
                              GrantId id, TimePoint now, Tier tier)
{
    {
        queue.push(grant)
        } -> std::same_as<void>;
    {
        queue.remove(id)
        } -> std::convertible_to<bool>;
    {
        queue.pop(now)
        } -> std::same_as<std::optional<QueuedGrantRequest>>;
    {
        queue.popVictim(tier)
        } -> std::same_as<std::optional<QueuedGrantRequest>>;
    {
        queue.popExpired(now)
        } -> std::same_as<std::optional<QueuedGrantRequest>>;
    {
        constQueue.highestTier()
        } -> std::same_as<std::optional<Tier>>;
    {
        constQueue.size()
        } -> std::convertible_to<std::size_t>;
};

/// A queue that shows whom it would grant next, so that a grant which fits nowhere stays in its place.
template <typename Queue>
concept PeekableGrantQueue = GrantQueue<Queue> && requires(Queue queue, TimePoint now, bool mayPay)
{
    {
        queue.next(now, mayPay)
        } -> std::same_as<const QueuedGrantRequest *>;
    {
        queue.pop(now, mayPay)
        } -> std::same_as<std::optional<QueuedGrantRequest>>;
};

/// A queue that can tell how long a newcomer would wait and how much each workspace occupies.
template <typename Queue>
concept InspectableGrantQueue = GrantQueue<Queue> && requires(const Queue &queue,
                                                              QueuedGrantRequest grant, Tier tier,
                                                              WorkspaceId workspace)
{
    {
        queue.grantsAhead(grant)
        } -> std::convertible_to<double>;
    {
        queue.sizeAtOrAbove(tier)
        } -> std::convertible_to<std::size_t>;
    {
        queue.sizeOf(tier, workspace)
        } -> std::convertible_to<std::size_t>;
};

} // namespace currantreel

#endif
