#ifndef CURRANTREEL_ADMISSION_GRANTQUEUE_H
#define CURRANTREEL_ADMISSION_GRANTQUEUE_H

#include "GrantMessages.h"
#include <concepts>
#include <optional>

namespace currantreel {

/// A grant request as it waits at its owner, with instants of the owner's clock.
struct QueuedGrant
{
    GrantRequest request;
    TimePoint queuedAt;
    TimePoint firstTokenBy;
    TimePoint answerBy;
    TimePoint grantBy; ///< End of the bounded wait.
};

/// A queue which decides who is granted next. One queue serves one target.
///
/// `pop` gives the next to be granted. `victim` gives the one to shed when the queue is full, which
/// is never of a higher tier than the newcomer's.
template <typename Queue>
concept GrantQueue = requires(Queue queue, const Queue &constQueue, QueuedGrant grant, GrantId id,
                              TimePoint now, Tier tier)
{
    {
        queue.push(grant)
        } -> std::same_as<void>;
    {
        queue.remove(id)
        } -> std::convertible_to<bool>;
    {
        queue.pop(now)
        } -> std::same_as<std::optional<QueuedGrant>>;
    {
        queue.popVictim(tier)
        } -> std::same_as<std::optional<QueuedGrant>>;
    {
        queue.popExpired(now)
        } -> std::same_as<std::optional<QueuedGrant>>;
    {
        constQueue.bestTier()
        } -> std::same_as<std::optional<Tier>>;
    {
        constQueue.size()
        } -> std::convertible_to<std::size_t>;
};

} // namespace currantreel

#endif
