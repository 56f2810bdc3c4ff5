#include "EvacuatedDomains.h"

#include <algorithm>

namespace currantreel {

bool EvacuatedDomains::evacuate(TimePoint now, const std::string &name)
{
    const auto domain = FailureDomainId::ofName(name);
    m_returnedAt.erase(domain);
    return m_evacuations.try_emplace(domain, Evacuation{ name, now }).second;
}

std::optional<EvacuatedDomains::Evacuation> EvacuatedDomains::takeBack(TimePoint now,
                                                                       const std::string &name)
{
    const auto found = m_evacuations.find(FailureDomainId::ofName(name));
    if (found == m_evacuations.end())
        return std::nullopt;
    std::erase_if(m_returnedAt,
                  [now](const auto &entry) { return now - entry.second >= returnPeriod; });
    m_returnedAt[found->first] = now;
    Evacuation ended = std::move(found->second);
    m_evacuations.erase(found);
    return ended;
}

std::uint32_t EvacuatedDomains::limitAfterReturn(FailureDomainId domain, TimePoint now,
                                                 std::uint32_t limit) const
{
    const auto returned = m_returnedAt.find(domain);
    if (returned == m_returnedAt.end())
        return limit;
    const Duration since = std::clamp(now - returned->second, Duration::zero(), returnPeriod);
    const auto share = static_cast<std::uint32_t>(limit * since / returnPeriod);
    return std::min(limit, std::max(share, 1U));
}

} // namespace currantreel
