#ifndef CURRANTREEL_SHELL_CALLERS_CLOSINGORDER_H
#define CURRANTREEL_SHELL_CALLERS_CLOSINGORDER_H

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace currantreel {

/// Which connections can be closed when new ones need room: those that have not completed a request, and
/// those that wait for a next one. A connection with a request in progress, or with an unsent reply, is never
/// closed for room.
/// @tparam Connection identifies a connection.
template <typename Connection>
class ClosingOrder
{
public:
    enum class Use : std::uint8_t {
        Unfinished, ///< No request is complete yet.
        Idle, ///< Its last request was answered.
        InUse,
    };

    void add(Connection connection) { place(connection, Use::Unfinished); }

    void remove(Connection connection)
    {
        const auto found = m_places.find(connection);
        if (found == m_places.end())
            return;
        take(found->second);
        m_places.erase(found);
    }

    void setUse(Connection connection, Use use)
    {
        const auto found = m_places.find(connection);
        if (found == m_places.end() || found->second.use == use)
            return;
        take(found->second);
        m_places.erase(found);
        place(connection, use);
    }

    /// The connection that has been in @p use for longest, which is not InUse; none if there is none.
    [[nodiscard]] std::optional<Connection> oldest(Use use) const
    {
        const std::list<Connection> &order = m_orders.at(static_cast<std::size_t>(use));
        return order.empty() ? std::nullopt : std::optional(order.front());
    }

    [[nodiscard]] std::size_t size() const { return m_places.size(); }

private:
    struct Place
    {
        Use use = Use::InUse;
        typename std::list<Connection>::iterator position; ///< Not set if the connection is in use.
    };

    void place(Connection connection, Use use)
    {
        Place place;
        place.use = use;
        if (use != Use::InUse) {
            std::list<Connection> &order = m_orders[static_cast<std::size_t>(use)];
            place.position = order.insert(order.end(), connection);
        }
        m_places.insert_or_assign(connection, place);
    }

    void take(const Place &place)
    {
        if (place.use != Use::InUse)
            m_orders[static_cast<std::size_t>(place.use)].erase(place.position);
    }

    std::array<std::list<Connection>, 2> m_orders; ///< By Use.
    std::unordered_map<Connection, Place> m_places;
};

} // namespace currantreel

#endif
