#ifndef CURRANTREEL_PUBLISHED_PUBLISHEDREADER_H
#define CURRANTREEL_PUBLISHED_PUBLISHEDREADER_H

#include "PublishedState.h"
#include <algorithm>
#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace currantreel {

/// One page of a listing of all published items.
struct PublishedPage
{
    std::vector<PublishedItem> items;
    PublishedRevision revision; ///< Revision of the store at the time of the answer.
    bool hasMore = false;
    std::string lastKey; ///< After which the next page begins, also if that item was unreadable.
};

/// Changes after the requested revision.
struct PublishedChanges
{
    std::vector<PublishedItem> items;
    PublishedRevision revision; ///< Revision to request changes after next.
};

/// Why a call to the platform failed.
enum class ReadFailure : std::uint8_t {
    HistoryLost, ///< Changes after that revision are no longer available; list again.
    Refused, ///< The platform answered with an error.
    NoAnswer, ///< Timeout or connection failure.
};

/// Client of the platform's store; runs one call at a time, each over a new connection.
template <typename T>
concept PublishedSource = requires(T &source, const std::string &key, std::uint64_t revision,
                                   Duration wait)
{
    source.list(key, wait);
    source.watch(revision, wait, wait);
};

/// Timing of the calls.
struct PublishedReaderTiming
{
    Duration watch = std::chrono::seconds(2); ///< Maximum wait of one watch.
    /// Timeout of a call; that of a watch is added to its wait.
    Duration callTimeout = std::chrono::milliseconds(400);
    /// Minimum time between two watches that return changes, so that one call returns several.
    Duration spacing = std::chrono::milliseconds(150);
    /// The same during startPeriod, when many hosts watch that will soon leave it to others.
    Duration startSpacing = std::chrono::milliseconds(600);
    Duration startPeriod = std::chrono::seconds(6);
    Duration minBackoff = std::chrono::milliseconds(100);
    Duration maxBackoff = std::chrono::milliseconds(800);
    /// Minimum time between two calls of check(); it doubles with each one that fails.
    Duration minCheckInterval = std::chrono::milliseconds(400);
    Duration maxCheckInterval = std::chrono::milliseconds(1'600);
    Duration removalDelay = removalDeferral;
    /// Duration of consecutive failures that counts as an outage.
    Duration minOutage = std::chrono::milliseconds(1'000);
};

/// Keeps the published state up to date: lists all items once, then watches for changes, and lists
/// all items again if the history of changes was lost or the store was restored from an older copy.
/// @tparam Source client that executes the calls.
template <PublishedSource Source>
class PublishedReader
{
public:
    using Timing = PublishedReaderTiming;

    PublishedReader(Source &source, PublishedState &state, const Timing &timing)
        : m_source(&source), m_state(&state), m_timing(timing)
    {
    }

    /// Starts the first listing.
    void start(TimePoint now)
    {
        m_failingSince = now;
        m_startedAt = now;
        m_checkInterval = m_timing.minCheckInterval;
        beginListing(now);
    }

    /// A page of the listing arrived. Returns the items that changed; none until the last page.
    std::vector<PublishedItem> onPage(TimePoint now, const PublishedPage &page)
    {
        if (isOutdated(page.revision))
            return refuseOutdated(now);
        onAnswered(now);
        // The pages before are of the store before it was restored.
        if (m_isListing && page.revision.era != m_listRevision.era) {
            beginListing(now);
            return {};
        }
        if (!m_isListing) {
            m_isListing = true;
            m_listRevision = page.revision;
            m_listedAt = m_calledAt;
        }
        m_listed.insert(m_listed.end(), page.items.begin(), page.items.end());
        if (page.hasMore && !page.lastKey.empty()) {
            m_calledAt = now;
            m_source->list(page.lastKey, m_timing.callTimeout);
            return {};
        }
        std::vector<PublishedItem> changed =
            m_state->replace(now, "", std::exchange(m_listed, {}), m_listRevision, page.revision);
        m_state->confirm(m_listedAt);
        m_watchedRevision = m_listRevision;
        m_isComplete = true;
        beginWatch(now);
        return changed;
    }

    /// The answer to a watch arrived. Returns the items that changed.
    std::vector<PublishedItem> onChanges(TimePoint now, const PublishedChanges &changes)
    {
        if (isOutdated(changes.revision))
            return refuseOutdated(now);
        onAnswered(now);
        if (changes.revision.era > m_watchedRevision.era) {
            onNewEra(now, changes.revision.era);
            return {};
        }
        m_watchedRevision = std::max(m_watchedRevision, changes.revision);
        std::vector<PublishedItem> changed = m_state->apply(now, changes.items, m_watchedRevision);
        m_state->confirm(std::max(m_calledAt, now - m_timing.callTimeout));
        if (changes.items.empty())
            beginWatch(now);
        else
            m_retryAt = now
                        + (now - m_startedAt < m_timing.startPeriod ? m_timing.startSpacing
                                                                    : m_timing.spacing);
        return changed;
    }

    /// A call failed. Starts a new listing or schedules a retry.
    void onFailed(TimePoint now, ReadFailure failure)
    {
        if (failure == ReadFailure::HistoryLost) {
            onAnswered(now);
            beginListing(now);
            return;
        }
        m_listed.clear();
        if (!isFailing())
            m_failingSince = now;
        m_failedAt = now;
        m_backoff = std::clamp(m_backoff * 2, m_timing.minBackoff, m_timing.maxBackoff);
        m_checkInterval = std::min(m_checkInterval * 2, m_timing.maxCheckInterval);
        m_isIdle = m_isComplete && !m_isWatching;
        // Asks without a wait next, so that a platform that answers again is noticed at once.
        m_isCheck = m_isComplete;
        if (!m_isIdle)
            m_retryAt = now + m_backoff;
    }

    /// Starts the next call when its delay is over.
    void run(TimePoint now)
    {
        if (!m_retryAt || now < *m_retryAt)
            return;
        m_retryAt.reset();
        if (m_isComplete)
            beginWatch(now);
        else
            beginListing(now);
    }

    /// Sets whether this host watches for changes. While it does not, it receives them from other
    /// hosts; a watch in flight still completes.
    void setWatching(TimePoint now, bool isWatching)
    {
        m_isWatching = isWatching;
        if (!isWatching || !m_isIdle)
            return;
        resume(now);
    }

    /// Asks the platform once for the changes that this host lacks, without waiting for further ones.
    /// Does nothing while a call is in progress or scheduled, or soon after the last such call.
    void check(TimePoint now)
    {
        if (!m_isIdle || now < m_checkableAt)
            return;
        m_checkableAt = now + m_checkInterval;
        ++m_checks;
        m_isCheck = true;
        resume(now);
    }

    [[nodiscard]] bool isWatching() const { return m_isWatching; }
    /// Number of calls that check() made.
    [[nodiscard]] std::uint64_t checks() const { return m_checks; }
    /// Number of answers of an era earlier than that of the state.
    [[nodiscard]] std::uint64_t outdatedAnswers() const { return m_outdatedAnswers; }
    /// Whether an answer at @p revision is of the store before a restore that is known here.
    [[nodiscard]] bool isOutdated(PublishedRevision revision) const
    {
        return revision.era < m_state->revision().era
               || (m_isListing && revision.era < m_listRevision.era);
    }
    /// True while a watch or a listing is in progress or scheduled.
    [[nodiscard]] bool isActive() const { return !m_isIdle; }
    /// True once a listing is complete.
    [[nodiscard]] bool isComplete() const { return m_isComplete; }
    /// True while calls fail.
    [[nodiscard]] bool isFailing() const { return m_backoff > Duration::zero(); }

private:
    void onAnswered(TimePoint now)
    {
        if (isFailing() && now - m_failingSince >= m_timing.minOutage)
            m_state->deferRemovals(now + m_timing.removalDelay);
        m_backoff = Duration::zero();
        m_checkInterval = m_timing.minCheckInterval;
        m_retryAt.reset();
    }

    std::vector<PublishedItem> refuseOutdated(TimePoint now)
    {
        ++m_outdatedAnswers;
        onFailed(now, ReadFailure::Refused);
        return {};
    }

    /// The answer to a watch shows that the store was restored since the revision watched from.
    void onNewEra(TimePoint now, std::uint32_t era)
    {
        if (m_state->isWhole() && m_state->revision().era == era)
            beginWatch(now); // Other hosts have handed on the new era meanwhile.
        else
            beginListing(now);
    }

    void resume(TimePoint now)
    {
        // Whether the platform was away since an earlier failure is not known.
        if (now - m_failedAt > m_timing.maxCheckInterval + m_timing.callTimeout)
            m_backoff = Duration::zero();
        m_isIdle = false;
        m_watchedRevision = std::max(m_watchedRevision, m_state->revision());
        m_retryAt = now;
    }

    void beginListing(TimePoint now)
    {
        m_isComplete = false;
        m_isListing = false;
        m_listed.clear();
        m_calledAt = now;
        m_source->list("", m_timing.callTimeout);
    }

    void beginWatch(TimePoint now)
    {
        const bool isCheck = std::exchange(m_isCheck, false);
        m_isIdle = !m_isWatching && !isCheck;
        if (m_isIdle)
            return;
        if (!m_state->isWhole()) {
            beginListing(now);
            return;
        }
        if (m_state->revision().era > m_watchedRevision.era)
            m_watchedRevision = m_state->revision();
        m_calledAt = now;
        m_source->watch(m_watchedRevision.number, isCheck ? Duration::zero() : m_timing.watch,
                        m_timing.callTimeout);
    }

    Source *m_source;
    PublishedState *m_state;
    Timing m_timing;
    std::vector<PublishedItem> m_listed; ///< Items of the pages received so far.
    PublishedRevision m_listRevision;
    PublishedRevision m_watchedRevision;
    bool m_isListing = false; ///< The first page of a listing has arrived.
    bool m_isComplete = false;
    bool m_isWatching = true;
    bool m_isIdle = false; ///< No call is made, since this host does not watch.
    bool m_isCheck = false; ///< The next watch asks without waiting for changes.
    TimePoint m_calledAt; ///< Start of the last call.
    TimePoint m_listedAt; ///< Start of the listing in progress.
    TimePoint m_checkableAt;
    std::uint64_t m_checks = 0;
    std::uint64_t m_outdatedAnswers = 0;
    Duration m_checkInterval{};
    TimePoint m_failingSince; ///< First of the consecutive failures.
    TimePoint m_failedAt; ///< Last of them.
    TimePoint m_startedAt;
    Duration m_backoff{};
    std::optional<TimePoint> m_retryAt;
};

} // namespace currantreel

#endif
