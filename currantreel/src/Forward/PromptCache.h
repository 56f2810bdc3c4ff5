#ifndef CURRANTREEL_FORWARD_PROMPTCACHE_H
#define CURRANTREEL_FORWARD_PROMPTCACHE_H

#include "Prompt.h"
#include <cstdint>
#include <list>
#include <unordered_map>

namespace currantreel {

/// Estimate of the prompt parts that one engine has in memory, from the requests that this host sent
/// to it. The least recently used part is forgotten first.
class PromptCache
{
public:
    /// @param capacity tokens that the engine is taken to keep.
    explicit PromptCache(std::uint64_t capacity = 0) : m_capacity(capacity) { }

    void setCapacity(std::uint64_t capacity) { m_capacity = capacity; }

    /// Tokens at the start of @p prompt that need not be read again: a part counts only if all before
    /// it are kept.
    [[nodiscard]] std::uint32_t keptTokens(const Prompt &prompt) const;

    /// Tokens of @p prompt that have to be read; never below zero, whatever the sizes of its parts.
    [[nodiscard]] std::uint32_t unreadTokens(const Prompt &prompt) const;

    /// The engine reads @p prompt.
    void remember(const Prompt &prompt);

    /// The engine lost everything, as after a restart.
    void clear();

private:
    struct Entry
    {
        std::uint64_t id = 0;
        std::uint32_t tokens = 0;
    };

    std::uint64_t m_capacity;
    std::uint64_t m_tokens = 0;
    std::list<Entry> m_entries; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_index;
};

} // namespace currantreel

#endif
