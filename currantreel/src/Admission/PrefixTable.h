#ifndef CURRANTREEL_ADMISSION_PREFIXTABLE_H
#define CURRANTREEL_ADMISSION_PREFIXTABLE_H

#include "../Core/Id.h"
#include <list>
#include <unordered_map>

namespace currantreel {

/// An engine's report that a prompt prefix entered or left its cache. Reports arrive late and may
/// be lost, so they only complete or correct what earlier grants suggest.
struct CacheEvent
{
    BackendServerId server;
    std::uint64_t prefixHash = 0;
    bool isCached = true; ///< False if it was evicted.
};

/// Maps a prompt prefix to the backend server to which it was sent last, for a bounded number of
/// prefixes; the least recently used one is evicted first.
class PrefixTable
{
public:
    /// Maximum number of prefixes.
    static constexpr std::size_t capacity = 16'384;

    /// Server to which the prefix was sent last, or an invalid identifier.
    [[nodiscard]] BackendServerId find(std::uint64_t prefixHash) const;

    /// Records that the prefix is sent to @p server.
    void record(std::uint64_t prefixHash, BackendServerId server);

    /// Applies an engine's report. An eviction counts only for the server on record; a cached
    /// prefix counts only where there is no record, because a grant by this host is newer than a
    /// late report.
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
