#include "ResponseCache.h"

namespace currantreel {

void ResponseCache::keep(KeyId key, CachedResponse answer)
{
    if (answer.body.size() > m_capacityBytes)
        return;
    drop(key);
    m_bytes += answer.body.size();
    m_answers.emplace(key, std::move(answer));
    m_order.push_back(key);
    while (m_bytes > m_capacityBytes)
        drop(m_order.front());
}

void ResponseCache::drop(KeyId key)
{
    const auto found = m_answers.find(key);
    if (found == m_answers.end())
        return;
    m_bytes -= found->second.body.size();
    m_answers.erase(found);
    while (!m_order.empty() && !m_answers.contains(m_order.front()))
        m_order.pop_front();
}

const CachedResponse *ResponseCache::find(KeyId key) const
{
    const auto found = m_answers.find(key);
    return found == m_answers.end() ? nullptr : &found->second;
}

} // namespace currantreel
