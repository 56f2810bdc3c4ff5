#ifndef CURRANTREEL_SHARES_SHAREDQUEUE_H
#define CURRANTREEL_SHARES_SHAREDQUEUE_H

#include "../Core/Time.h"
#include "FairShares.h"
#include <compare>
#include <concepts>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace currantreel {

/// What became of a queued request that was tried.
struct QueueStep
{
    enum class Kind : std::uint8_t {
        Left, ///< It stays in the queue.
        Taken, ///< It was placed, or handed on.
        SkipWorkspace, ///< It stays, and no other of its workspace and pool can be placed now.
        Stop, ///< It stays, and no other can be placed now.
    };

    Kind kind = Kind::Left;
    double cost = 0.0; ///< Charged to the workspace if taken.
};

/// Requests that share a capacity and its accounts belong to one pool. Lower ranks are served
/// first, whatever the shares.
template <typename Pool>
concept RankedPool = std::three_way_comparable<Pool> && requires(const Pool &pool)
{
    {
        pool.rank
        } -> std::convertible_to<std::uint32_t>;
};

/// Queued requests in the order in which they are tried: by rank, and within it those that can
/// still meet their target before those that cannot, those of workspaces within their share
/// before the others, then by target time.
///
/// An overdue request goes first only if its workspace is behind its share, so that a load of
/// others that is always fresh starves nobody.
/// @tparam Id identifies a request in the queue.
template <typename Id, RankedPool Pool>
class SharedQueue
{
public:
    struct Entry
    {
        Pool pool{};
        WorkspaceId workspace; ///< Invalid if the request belongs to none.
        bool missesTarget = false; ///< Too late to meet its target.
        TimePoint targetAt;
    };

    /// Adds a request. @pre it is not queued.
    void add(const Id &id, const Entry &entry)
    {
        PoolQueue &pool = m_pools[entry.pool];
        auto &places = pool.places[entry.workspace];
        if (places.empty())
            pool.shares.activate(entry.workspace, defaultWeight);
        places.insert(Place{ entry.missesTarget, entry.targetAt, id });
        m_entries.emplace(id, entry);
        ++m_waiting[entry.workspace];
    }

    /// Removes a request, if it is queued.
    void remove(const Id &id)
    {
        const auto found = m_entries.find(id);
        if (found == m_entries.end())
            return;
        const Entry entry = found->second;
        PoolQueue &pool = m_pools.at(entry.pool);
        const auto places = pool.places.find(entry.workspace);
        places->second.erase(Place{ entry.missesTarget, entry.targetAt, id });
        forget(found);
        if (!places->second.empty())
            return;
        pool.places.erase(places);
        pool.shares.deactivate(entry.workspace);
        if (pool.places.empty())
            m_pools.erase(entry.pool);
    }

    /// A request became too late to meet its target. @pre it is queued.
    void setMissesTarget(const Id &id)
    {
        Entry &entry = m_entries.at(id);
        auto &places = m_pools.at(entry.pool).places.at(entry.workspace);
        places.erase(Place{ entry.missesTarget, entry.targetAt, id });
        entry.missesTarget = true;
        places.insert(Place{ entry.missesTarget, entry.targetAt, id });
    }

    /// Passes requests to @p visit in their order, and removes those that it takes. Each charge
    /// counts for the order of the rest.
    /// @param visit returns the QueueStep of a request; must not change the queue.
    template <typename Visit>
    void visit(Visit &&visit)
    {
        Order order = makeOrder();
        while (!order.empty()) {
            const QueueStep step = visit((*order.begin())->place->id);
            if (step.kind == QueueStep::Kind::Stop)
                break;
            auto node = order.extract(order.begin());
            Cursor &cursor = *node.value();
            cursor.isInOrder = false;
            if (!advance(order, cursor, step))
                continue;
            cursor.precedence = precedenceOf(cursor);
            cursor.isInOrder = true;
            // Mostly the next request of a workspace is also the next of all.
            order.insert(order.begin(), std::move(node));
        }
        std::erase_if(m_pools, [](const auto &item) { return item.second.places.empty(); });
    }

    /// Charges a request that is placed directly, if others wait for the same capacity.
    void charge(const Pool &pool, WorkspaceId workspace, double cost)
    {
        if (const auto found = m_pools.find(pool); found != m_pools.end())
            found->second.shares.charge(workspace, cost);
    }

    /// Whether a request of @p workspace that arrives now would overtake other workspaces although
    /// its own is ahead of its share.
    [[nodiscard]] bool mustQueue(const Pool &pool, WorkspaceId workspace) const
    {
        const auto found = m_pools.find(pool);
        if (found == m_pools.end())
            return false;
        const std::size_t own = found->second.places.contains(workspace) ? 1 : 0;
        return found->second.places.size() > own && !found->second.shares.isEligible(workspace);
    }

    [[nodiscard]] bool contains(const Id &id) const { return m_entries.contains(id); }
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }
    /// Number of workspaces with queued requests.
    [[nodiscard]] std::size_t workspaceCount() const { return m_waiting.size(); }
    /// Number of queued requests of @p workspace.
    [[nodiscard]] std::size_t sizeOf(WorkspaceId workspace) const
    {
        const auto found = m_waiting.find(workspace);
        return found == m_waiting.end() ? 0 : found->second;
    }

    /// Workspaces that have had more than their share while others wait, with the number of their
    /// queued requests.
    [[nodiscard]] std::map<WorkspaceId, std::size_t> aheadOfShare() const
    {
        std::map<WorkspaceId, std::size_t> found;
        for (const auto &[key, pool] : m_pools) {
            for (const auto &[workspace, places] : pool.places) {
                if (pool.places.size() > 1 && !pool.shares.isEligible(workspace))
                    found[workspace] += places.size();
            }
        }
        return found;
    }

private:
    static constexpr double defaultWeight = 1.0;

    struct Place
    {
        bool missesTarget = false;
        TimePoint targetAt;
        Id id;

        friend auto operator<=>(const Place &, const Place &) = default;
    };
    using Places = std::set<Place>;

    struct Cursor;

    struct PoolQueue
    {
        FairShares shares;
        std::map<WorkspaceId, Places> places;
        std::vector<Cursor> cursors; ///< Of the last pass.
    };

    /// Order within a rank.
    enum class Precedence : std::uint8_t { OnTime, LateAndBehind, OnTimeAhead, Late, LateAhead };

    /// Next request of one workspace and pool in a pass.
    struct Cursor
    {
        std::uint32_t rank = 0;
        PoolQueue *pool = nullptr;
        WorkspaceId workspace;
        Places *places = nullptr; ///< Valid while some are left.
        typename Places::iterator place;
        bool isEligible = false;
        bool isBehind = false;
        Precedence precedence{};
        bool isInOrder = false; ///< If so, what it is ordered by must not change.
    };

    struct IsBefore
    {
        bool operator()(const Cursor *left, const Cursor *right) const
        {
            return std::tie(left->rank, left->precedence, *left->place)
                   < std::tie(right->rank, right->precedence, *right->place);
        }
    };
    using Order = std::set<Cursor *, IsBefore>;

    static Precedence precedenceOf(const Cursor &cursor)
    {
        if (!cursor.place->missesTarget)
            return cursor.isEligible ? Precedence::OnTime : Precedence::OnTimeAhead;
        if (cursor.isBehind)
            return Precedence::LateAndBehind;
        return cursor.isEligible ? Precedence::Late : Precedence::LateAhead;
    }

    static void readAccount(Cursor &cursor)
    {
        cursor.isEligible = cursor.pool->shares.isEligible(cursor.workspace);
        cursor.isBehind = cursor.pool->shares.isBehind(cursor.workspace);
    }

    Order makeOrder()
    {
        Order order;
        for (auto &[key, pool] : m_pools) {
            pool.cursors.clear();
            pool.cursors.reserve(pool.places.size());
            for (auto &[workspace, places] : pool.places) {
                Cursor &cursor = pool.cursors.emplace_back();
                cursor.rank = key.rank;
                cursor.pool = &pool;
                cursor.workspace = workspace;
                cursor.places = &places;
                cursor.place = places.begin();
                readAccount(cursor);
                cursor.precedence = precedenceOf(cursor);
                cursor.isInOrder = true;
                order.insert(&cursor);
            }
        }
        return order;
    }

    /// Moves @p cursor, which is not in @p order, beyond the request that was tried.
    /// @return false if the pass is done with its workspace and pool.
    bool advance(Order &order, Cursor &cursor, const QueueStep &step)
    {
        if (step.kind == QueueStep::Kind::SkipWorkspace)
            return false;
        if (step.kind == QueueStep::Kind::Taken)
            return take(order, cursor, step.cost);
        return ++cursor.place != cursor.places->end();
    }

    bool take(Order &order, Cursor &cursor, double cost)
    {
        PoolQueue &pool = *cursor.pool;
        forget(m_entries.find(cursor.place->id));
        cursor.place = cursor.places->erase(cursor.place);
        const bool hasNext = cursor.place != cursor.places->end();
        pool.shares.charge(cursor.workspace, cost);
        if (cursor.places->empty()) {
            pool.shares.deactivate(cursor.workspace);
            pool.places.erase(cursor.workspace);
        }
        if (cost > 0.0)
            reorder(order, pool);
        return hasNext;
    }

    /// A charge changed the accounts of @p pool.
    static void reorder(Order &order, PoolQueue &pool)
    {
        for (Cursor &cursor : pool.cursors) {
            if (!cursor.isInOrder) {
                readAccount(cursor);
                continue;
            }
            Cursor changed = cursor;
            readAccount(changed);
            changed.precedence = precedenceOf(changed);
            if (changed.precedence == cursor.precedence) {
                cursor = changed;
                continue;
            }
            auto node = order.extract(&cursor);
            cursor = changed;
            order.insert(std::move(node));
        }
    }

    void forget(typename std::map<Id, Entry>::iterator entry)
    {
        const auto waiting = m_waiting.find(entry->second.workspace);
        if (--waiting->second == 0)
            m_waiting.erase(waiting);
        m_entries.erase(entry);
    }

    std::map<Pool, PoolQueue> m_pools; ///< Those with queued requests.
    std::map<Id, Entry> m_entries;
    std::map<WorkspaceId, std::size_t> m_waiting; ///< Number of queued requests.
};

} // namespace currantreel

#endif
