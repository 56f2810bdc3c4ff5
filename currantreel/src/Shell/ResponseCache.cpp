#include "ResponseCache.h"

namespace currantreel {

void ResponseCache::store(KeyId key, CachedResponse response)
{
    if (response.body.size() > m_capacityBytes)
        return;
    drop(key);
    m_bytes += response.body.size();
    m_responses.emplace(key, std::move(response));
    m_order.push_back(key);
    while (m_bytes > m_capacityBytes)
        drop(m_order.front());
}

void ResponseCache::drop(KeyId key)
{
    const auto found = m_responses.find(key);
    if (found == m_responses.end())
        return;
    m_bytes -= found->second.body.size();
    m_responses.erase(found);
    while (!m_order.empty() && !m_responses.contains(m_order.front()))
        m_order.pop_front();
}

const CachedResponse *ResponseCache::find(KeyId key) const
{
    const auto found = m_responses.find(key);
    return found == m_responses.end() ? nullptr : &found->second;
}

} // namespace currantreel
