#include "PromptCache.h"

#include <algorithm>

namespace currantreel {

std::uint32_t PromptCache::keptTokens(const Prompt &prompt) const
{
    std::uint32_t kept = 0;
    for (const PromptSegment &segment : prompt.segments) {
        if (!m_index.contains(segment.id))
            break;
        kept += segment.tokens;
    }
    return kept;
}

std::uint32_t PromptCache::unreadTokens(const Prompt &prompt) const
{
    return prompt.tokens - std::min(keptTokens(prompt), prompt.tokens);
}

void PromptCache::remember(const Prompt &prompt)
{
    for (const PromptSegment &segment : prompt.segments) {
        if (const auto found = m_index.find(segment.id); found != m_index.end()) {
            m_entries.splice(m_entries.begin(), m_entries, found->second);
            continue;
        }
        m_entries.push_front(Entry{ segment.id, segment.tokens });
        m_index[segment.id] = m_entries.begin();
        m_tokens += segment.tokens;
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
