#ifndef CURRANTREEL_ADMISSION_GRANTQUEUE_H
#define CURRANTREEL_ADMISSION_GRANTQUEUE_H

#include "GrantMessages.h"
#include <concepts>
#include <optional>

namespace currantreel {

/// A grant request queued at its owner, with time points of the owner's clock.
struct QueuedGrantRequest
{
    GrantRequest request;
    TimePoint queuedAt;
    TimePoint firstTokenDeadline;
    TimePoint answerDeadline;
    TimePoint grantDeadline; ///< End of the maximum time in the queue.
    Duration expectedTimeToFirstToken{}; ///< From the grant.
    std::uint64_t sequence = 0; ///< Order of arrival; set by the queue.
    bool isPostponed = false; ///< Has missed its original deadline; set by the queue.
};

/// A queue that decides which request is granted next. One queue serves one target.
///
/// `pop` removes the next request to be granted, `popExpired` one whose time in the queue is over.
/// `popVictim` removes the request to shed when the queue is full, which is never of a higher tier
/// than the incoming one.
template <typename Queue>
concept GrantQueue = requires(Queue queue, const Queue &constQueue, QueuedGrantRequest queued,
                              GrantId id, TimePoint now, Tier tier)
{
    {
        queue.push(queued)
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

/// A queue that shows its next request without removing it, so that a request for which no server
/// has room keeps its place.
template <typename Queue>
concept PeekableGrantQueue = GrantQueue<Queue> && requires(Queue queue, TimePoint now,
                                                           bool mayGrantFloor)
{
    {
        queue.next(now, mayGrantFloor)
        } -> std::same_as<const QueuedGrantRequest *>;
    {
        queue.pop(now, mayGrantFloor)
        } -> std::same_as<std::optional<QueuedGrantRequest>>;
};

/// A queue that estimates how many grants precede a request, and counts its requests by tier and by
/// workspace.
template <typename Queue>
concept InspectableGrantQueue = GrantQueue<Queue> && requires(const Queue &queue,
                                                              QueuedGrantRequest queued, Tier tier,
                                                              WorkspaceId workspace)
{
    {
        queue.grantsAhead(queued)
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
