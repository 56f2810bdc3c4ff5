#ifndef CURRANTREEL_SHELL_CONNECTIONPOOL_H
#define CURRANTREEL_SHELL_CONNECTIONPOOL_H

#include "../Core/Time.h"
#include "../Settings/Address.h"
#include "EventHandles.h"
#include <map>
#include <vector>

namespace currantreel {

/// Pool of idle keep-alive connections to backend servers.
class ConnectionPool
{
public:
    /// Maximum time for which an idle connection is kept.
    static constexpr Duration maxIdleTime = std::chrono::seconds(3);
    /// Maximum number of idle connections to one backend server.
    static constexpr std::size_t maxIdlePerServer = 16;

    /// @param maxIdle number of idle connections to all servers together.
    explicit ConnectionPool(std::size_t maxIdle) : m_maxIdle(maxIdle) { }

    /// Takes the most recently used connection to @p address; null if there is none that is usable.
    [[nodiscard]] HttpConnectionHandle acquire(const Address &address, TimePoint now);

    /// Adds @p connection, or closes it if the pool is full.
    /// @param maxIdle time after which the other side may close the connection.
    void release(const Address &address, HttpConnectionHandle connection, TimePoint now,
                 Duration maxIdle);

    /// Closes the connections to @p address.
    void close(const Address &address);

    /// Closes connections that have been idle for too long.
    void closeIdle(TimePoint now);

    [[nodiscard]] std::size_t size() const { return m_size; }

private:
    struct IdleConnection
    {
        HttpConnectionHandle connection;
        TimePoint expiresAt;
    };

    std::size_t m_maxIdle;
    std::size_t m_size = 0;
    std::map<Address, std::vector<IdleConnection>> m_idle; ///< Most recently used last.
};

} // namespace currantreel

#endif
