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
    --m_size;
    if (now >= idle.expiresAt)
        return {};
    return std::move(idle.connection);
}

void ConnectionPool::release(const Address &address, HttpConnectionHandle connection, TimePoint now,
                             Duration maxIdle)
{
    if (m_size >= m_maxIdle)
        return;
    std::vector<IdleConnection> &idle = m_idle[address];
    if (idle.size() >= maxIdlePerServer)
        return;
    ++m_size;
    idle.push_back(IdleConnection{ std::move(connection), now + std::min(maxIdle, maxIdleTime) });
}

void ConnectionPool::close(const Address &address)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end())
        return;
    m_size -= found->second.size();
    m_idle.erase(found);
}

void ConnectionPool::closeIdle(TimePoint now)
{
    for (auto &[address, idle] : m_idle)
        m_size -= std::erase_if(
            idle, [now](const IdleConnection &candidate) { return now >= candidate.expiresAt; });
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace currantreel
