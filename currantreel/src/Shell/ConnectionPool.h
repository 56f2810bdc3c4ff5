#ifndef CURRANTREEL_SHELL_CONNECTIONPOOL_H
#define CURRANTREEL_SHELL_CONNECTIONPOOL_H

#include "../Core/Time.h"
#include "../Settings/Address.h"
#include "EventHandles.h"
#include <map>
#include <vector>

namespace currantreel {

/// Open connections to backend servers that wait for a next request.
class ConnectionPool
{
public:
    /// Longest time that a connection is kept unused.
    static constexpr Duration maxIdleTime = std::chrono::seconds(3);
    /// Most unused connections to one backend server.
    static constexpr std::size_t maxIdlePerServer = 16;

    /// A connection to @p address that was used lately, or null.
    [[nodiscard]] HttpConnectionHandle take(const Address &address, TimePoint now);

    /// Keeps @p connection. @param idleLimit after which the other side may close it.
    void keep(const Address &address, HttpConnectionHandle connection, TimePoint now,
              Duration idleLimit);

    /// Closes connections that were unused for too long.
    void closeIdle(TimePoint now);

    [[nodiscard]] std::size_t size() const;

private:
    struct Idle
    {
        HttpConnectionHandle connection;
        TimePoint until;
    };

    std::map<Address, std::vector<Idle>> m_idle; ///< Used last at the end.
};

} // namespace currantreel

#endif
