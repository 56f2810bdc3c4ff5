#include "PromptCache.h"

#include <algorithm>

namespace currantreel {

std::uint32_t PromptCache::cachedTokens(const Prompt &prompt) const
{
    std::uint32_t cached = 0;
    for (const PromptSegment &segment : prompt.segments) {
        if (!m_index.contains(segment.id))
            break;
        cached += segment.tokens;
    }
    return cached;
}

std::uint32_t PromptCache::uncachedTokens(const Prompt &prompt) const
{
    return prompt.tokens - std::min(cachedTokens(prompt), prompt.tokens);
}

void PromptCache::addPrompt(const Prompt &prompt)
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
    while (m_tokens > m_capacity && !m_entries.empty())
        dropOldest();
}

void PromptCache::dropOldest()
{
    m_tokens -= m_entries.back().tokens;
    m_index.erase(m_entries.back().id);
    m_entries.pop_back();
}

void PromptCache::shrink(std::size_t maxEntries)
{
    while (m_entries.size() > maxEntries)
        dropOldest();
}

void PromptCache::clear()
{
    m_entries.clear();
    m_index.clear();
    m_tokens = 0;
}

} // namespace currantreel
