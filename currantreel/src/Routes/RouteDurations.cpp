#include "RouteDurations.h"

#include <algorithm>

namespace currantreel {

void RouteDurations::add(TimePoint now, const std::string &route, Duration duration)
{
    const auto [found, isNew] = m_routes.try_emplace(route);
    Maxima &maxima = found->second;
    if (isNew) {
        maxima.startedAt = now;
    } else if (now - maxima.startedAt >= window) {
        const bool isRecent = now - maxima.startedAt < 2 * window;
        maxima.previous = isRecent ? std::optional(maxima.current) : std::nullopt;
        maxima.current = Duration::zero();
        maxima.startedAt = now;
    }
    maxima.current = std::max(maxima.current, duration);
}

std::optional<Duration> RouteDurations::longest(TimePoint now, const std::string &route) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end() || now - found->second.startedAt >= 2 * window)
        return std::nullopt;
    const Maxima &maxima = found->second;
    return std::max(maxima.current, maxima.previous.value_or(maxima.current));
}

} // namespace currantreel
