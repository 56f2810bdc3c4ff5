#ifndef CURRANTREEL_SHELL_RESPONSECACHE_H
#define CURRANTREEL_SHELL_RESPONSECACHE_H

#include "../Keys/IdempotencyKey.h"
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace currantreel {

/// A whole answer as it was given to a caller.
struct CachedResponse
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// Answers kept for idempotency keys, bounded in bytes; the oldest go first.
class ResponseCache
{
public:
    explicit ResponseCache(std::size_t capacityBytes) : m_capacityBytes(capacityBytes) { }

    void keep(KeyId key, CachedResponse answer);
    void drop(KeyId key);
    /// The answer under @p key, or nullptr if none is kept.
    [[nodiscard]] const CachedResponse *find(KeyId key) const;
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

private:
    std::size_t m_capacityBytes;
    std::size_t m_bytes = 0;
    std::unordered_map<KeyId, CachedResponse> m_answers;
    std::deque<KeyId> m_order;
};

} // namespace currantreel

#endif
