#ifndef CURRANTREEL_SHELL_RECEIVEBUDGET_H
#define CURRANTREEL_SHELL_RECEIVEBUDGET_H

#include "../Core/Id.h"
#include <cstddef>
#include <optional>
#include <unordered_map>

namespace currantreel {

/// Bounds the bytes of answers that this host holds at the same time, over all attempts. A limit for
/// each answer alone would not do: faulty servers may send to many requests at once without end.
class ReceiveBudget
{
public:
    /// Attempts that hold less are not counted.
    static constexpr std::size_t minCountedBytes = 4UL * 1024;

    explicit ReceiveBudget(std::size_t maxBytes) : m_maxBytes(maxBytes) { }

    /// The attempt holds @p bytes from now on.
    /// @return the attempt that has to be ended, since all together hold too much: the one that holds
    /// most, so that small answers are spared; none if they hold no more than allowed.
    [[nodiscard]] std::optional<AttemptId> update(AttemptId attempt, std::size_t bytes);

    /// The attempt has ended.
    void release(AttemptId attempt);

    /// Bytes held by the attempts that are counted.
    [[nodiscard]] std::size_t total() const { return m_total; }

private:
    std::size_t m_maxBytes;
    std::size_t m_total = 0;
    std::unordered_map<AttemptId, std::size_t> m_held;
};

} // namespace currantreel

#endif
