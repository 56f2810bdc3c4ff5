#include "ConnectionPool.h"

#include <algorithm>

namespace currantreel {

HttpConnectionHandle ConnectionPool::acquire(const Address &address, TimePoint now)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end() || found->second.empty())
        return {};
    IdleConnection idle = std::move(found->second.back());
    found->second.pop_back();
    if (now >= idle.expiresAt)
        return {};
    return std::move(idle.connection);
}

void ConnectionPool::release(const Address &address, HttpConnectionHandle connection, TimePoint now,
                             Duration maxIdle)
{
    std::vector<IdleConnection> &idle = m_idle[address];
    if (idle.size() >= maxIdlePerServer)
        return;
    idle.push_back(IdleConnection{ std::move(connection), now + std::min(maxIdle, maxIdleTime) });
}

void ConnectionPool::closeIdle(TimePoint now)
{
    for (auto &[address, idle] : m_idle)
        std::erase_if(
            idle, [now](const IdleConnection &candidate) { return now >= candidate.expiresAt; });
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

std::size_t ConnectionPool::size() const
{
    std::size_t sum = 0;
    for (const auto &[address, idle] : m_idle)
        sum += idle.size();
    return sum;
}

} // namespace currantreel
