#ifndef CURRANTREEL_SHELL_ANSWERSTORE_H
#define CURRANTREEL_SHELL_ANSWERSTORE_H

#include "../Keys/IdempotencyKey.h"
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace currantreel {

/// A complete response as it was sent to a caller.
struct KeptAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// Responses kept for idempotency keys, bounded by their size in bytes; the oldest are evicted
/// first.
class AnswerStore
{
public:
    explicit AnswerStore(std::size_t capacityBytes) : m_capacityBytes(capacityBytes) { }

    void keep(KeyId key, KeptAnswer answer);
    void drop(KeyId key);
    /// The response stored under @p key, or nullptr if there is none.
    [[nodiscard]] const KeptAnswer *find(KeyId key) const;
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

private:
    std::size_t m_capacityBytes;
    std::size_t m_bytes = 0;
    std::unordered_map<KeyId, KeptAnswer> m_answers;
    std::deque<KeyId> m_order;
};

} // namespace currantreel

#endif
