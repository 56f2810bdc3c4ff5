#include "PrefixTable.h"

namespace currantreel {

BackendServerId PrefixTable::find(std::uint64_t prefixHash) const
{
    const auto found = m_index.find(prefixHash);
    return found == m_index.end() ? BackendServerId() : found->second->server;
}

void PrefixTable::record(std::uint64_t prefixHash, BackendServerId server)
{
    const auto found = m_index.find(prefixHash);
    if (found != m_index.end()) {
        m_entries.splice(m_entries.begin(), m_entries, found->second);
        found->second->server = server;
        return;
    }
    m_entries.push_front(Entry{ prefixHash, server });
    m_index.emplace(prefixHash, m_entries.begin());
    if (m_entries.size() <= capacity)
        return;
    m_index.erase(m_entries.back().prefixHash);
    m_entries.pop_back();
}

void PrefixTable::onCacheEvent(const CacheEvent &event)
{
    const auto found = m_index.find(event.prefixHash);
    if (found == m_index.end()) {
        if (event.isCached)
            record(event.prefixHash, event.server);
        return;
    }
    if (event.isCached || found->second->server != event.server)
        return;
    m_entries.erase(found->second);
    m_index.erase(found);
}

} // namespace currantreel
