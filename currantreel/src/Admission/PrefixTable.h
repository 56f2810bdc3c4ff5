#ifndef CURRANTREEL_ADMISSION_PREFIXTABLE_H
#define CURRANTREEL_ADMISSION_PREFIXTABLE_H

#include "../Core/Id.h"
#include <list>
#include <unordered_map>

namespace currantreel {

/// What was heard from an engine about its prefix cache. Such events come late and with gaps, so they
/// only confirm or withdraw a guess.
struct CacheEvent
{
    BackendServerId server;
    std::uint64_t prefixHash = 0;
    bool isCached = true; ///< False: dropped from the cache.
};

/// Backend server that has seen a prompt prefix last, for a bounded number of prefixes; the least
/// recently used one is forgotten first.
class PrefixTable
{
public:
    /// Most prefixes that are remembered.
    static constexpr std::size_t capacity = 16'384;

    /// Server that has seen the prefix, or an invalid identifier.
    [[nodiscard]] BackendServerId find(std::uint64_t prefixHash) const;

    /// Remembers that @p server sees the prefix.
    void record(std::uint64_t prefixHash, BackendServerId server);

    /// Takes an engine's own news. News of a drop counts only for the server that is remembered; news
    /// of a kept prefix only where none is, because a grant of ours is newer than a late event.
    void onCacheEvent(const CacheEvent &event);

    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        std::uint64_t prefixHash = 0;
        BackendServerId server;
    };

    std::list<Entry> m_entries; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_index;
};

} // namespace currantreel

#endif
