#include "ConnectionPool.h"

#include <algorithm>

namespace currantreel {

HttpConnectionHandle ConnectionPool::take(const Address &address, TimePoint now)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end() || found->second.empty())
        return {};
    Idle idle = std::move(found->second.back());
    found->second.pop_back();
    if (now >= idle.until)
        return {};
    return std::move(idle.connection);
}

void ConnectionPool::keep(const Address &address, HttpConnectionHandle connection, TimePoint now,
                          Duration idleLimit)
{
    std::vector<Idle> &idle = m_idle[address];
    if (idle.size() >= maxIdlePerServer)
        return;
    idle.push_back(Idle{ std::move(connection), now + std::min(idleLimit, maxIdleTime) });
}

void ConnectionPool::closeIdle(TimePoint now)
{
    for (auto &[address, idle] : m_idle)
        std::erase_if(idle, [now](const Idle &one) { return now >= one.until; });
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
