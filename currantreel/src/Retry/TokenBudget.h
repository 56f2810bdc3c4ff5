#ifndef CURRANTREEL_RETRY_TOKENBUDGET_H
#define CURRANTREEL_RETRY_TOKENBUDGET_H

#include <algorithm>
#include <cstdint>

namespace currantreel {

/// Token bucket that useful work fills and repeated work drains, so that repeated work stays within
/// a fixed share of useful work, whatever the failure rate.
class TokenBudget
{
public:
    /// @param capacity maximum units kept.
    /// @param initial units that may be spent before any useful work.
    TokenBudget(std::uint32_t capacity, std::uint32_t initial)
        : m_capacity(capacity * levelPerUnit), m_level(initial * levelPerUnit)
    {
    }

    /// Adds a share of @p amount units of useful work.
    /// @param sharePermille repeated work per useful work, in thousandths.
    void earn(std::uint64_t amount, std::uint32_t sharePermille)
    {
        m_level = std::min(m_capacity, m_level + amount * sharePermille);
    }

    /// Spends @p amount units. Returns false and spends nothing if fewer are left.
    [[nodiscard]] bool spend(std::uint64_t amount)
    {
        if (m_level < amount * levelPerUnit)
            return false;
        m_level -= amount * levelPerUnit;
        return true;
    }

private:
    static constexpr std::uint64_t levelPerUnit = 1000;

    std::uint64_t m_capacity;
    std::uint64_t m_level;
};

} // namespace currantreel

#endif
