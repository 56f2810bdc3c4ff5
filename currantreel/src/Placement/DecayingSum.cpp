#include "DecayingSum.h"

#include <cmath>

namespace currantreel {

void DecayingSum::add(TimePoint now, double amount)
{
    m_value = value(now) + amount;
    m_at = now;
}

double DecayingSum::value(TimePoint now) const
{
    const std::chrono::duration<double> age = now - m_at;
    const std::chrono::duration<double> timeConstant = m_timeConstant;
    return m_value * std::exp(-age.count() / timeConstant.count());
}

} // namespace currantreel
