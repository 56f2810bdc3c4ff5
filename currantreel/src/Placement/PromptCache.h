#ifndef CURRANTREEL_PLACEMENT_PROMPTCACHE_H
#define CURRANTREEL_PLACEMENT_PROMPTCACHE_H

#include "Prompt.h"
#include <cstdint>
#include <list>
#include <unordered_map>

namespace currantreel {

/// Estimate of the prompt segments that one engine has cached, from the requests that this host
/// sent to it or placed at it as an owner. The least recently used segment is evicted first.
class PromptCache
{
public:
    /// @param capacity number of tokens that the engine is assumed to cache.
    explicit PromptCache(std::uint64_t capacity = 0) : m_capacity(capacity) { }

    void setCapacity(std::uint64_t capacity) { m_capacity = capacity; }

    /// Cached tokens at the start of @p prompt: a segment counts only if all segments before it are
    /// cached.
    [[nodiscard]] std::uint32_t cachedTokens(const Prompt &prompt) const;

    /// Tokens of @p prompt that are not cached; 0 if its cached segments exceed its stated length.
    [[nodiscard]] std::uint32_t uncachedTokens(const Prompt &prompt) const;

    /// Records that the engine was sent @p prompt and caches its segments.
    void addPrompt(const Prompt &prompt);

    /// Discards all entries, as after a restart of the engine.
    void clear();

    /// Number of segments held.
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

    /// Discards the least recently used segments until there are @p maxEntries at most.
    void shrink(std::size_t maxEntries);

private:
    struct Entry
    {
        std::uint64_t id = 0;
        std::uint32_t tokens = 0;
    };

    void dropOldest();

    std::uint64_t m_capacity;
    std::uint64_t m_tokens = 0;
    std::list<Entry> m_entries; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_index;
};

} // namespace currantreel

#endif
