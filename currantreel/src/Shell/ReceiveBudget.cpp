#include "ReceiveBudget.h"

#include <algorithm>

namespace currantreel {

std::optional<AttemptId> ReceiveBudget::update(AttemptId attempt, std::size_t bytes)
{
    if (bytes < minCountedBytes) {
        release(attempt);
        return std::nullopt;
    }
    std::size_t &held = m_held[attempt];
    m_total = m_total - held + bytes;
    held = bytes;
    if (m_total <= m_maxBytes)
        return std::nullopt;
    const auto holdsLess = [](const auto &left, const auto &right) {
        return left.second < right.second;
    };
    return std::max_element(m_held.begin(), m_held.end(), holdsLess)->first;
}

void ReceiveBudget::release(AttemptId attempt)
{
    const auto found = m_held.find(attempt);
    if (found == m_held.end())
        return;
    m_total -= found->second;
    m_held.erase(found);
}

} // namespace currantreel
