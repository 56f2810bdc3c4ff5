#include "PromptCache.h"

#include <algorithm>

namespace currantreel {

std::uint32_t PromptCache::keptTokens(const Prompt &prompt) const
{
    std::uint32_t kept = 0;
    for (const PromptPart &part : prompt.parts) {
        if (!m_index.contains(part.id))
            break;
        kept += part.tokens;
    }
    return kept;
}

std::uint32_t PromptCache::unreadTokens(const Prompt &prompt) const
{
    return prompt.tokens - std::min(keptTokens(prompt), prompt.tokens);
}

void PromptCache::remember(const Prompt &prompt)
{
    for (const PromptPart &part : prompt.parts) {
        if (const auto found = m_index.find(part.id); found != m_index.end()) {
            m_entries.splice(m_entries.begin(), m_entries, found->second);
            continue;
        }
        m_entries.push_front(Entry{ part.id, part.tokens });
        m_index[part.id] = m_entries.begin();
        m_tokens += part.tokens;
    }
    while (m_tokens > m_capacity && !m_entries.empty()) {
        m_tokens -= m_entries.back().tokens;
        m_index.erase(m_entries.back().id);
        m_entries.pop_back();
    }
}

void PromptCache::clear()
{
    m_entries.clear();
    m_index.clear();
    m_tokens = 0;
}

} // namespace currantreel
