#ifndef CURRANTREEL_ROUTES_ROUTEDURATIONS_H
#define CURRANTREEL_ROUTES_ROUTEDURATIONS_H

#include "../Core/Time.h"
#include <map>
#include <optional>
#include <string>

namespace currantreel {

/// Longest time that requests of each route took lately, from arrival to complete answer.
class RouteDurations
{
public:
    /// Requests are considered for at least this long, and up to twice as long.
    static constexpr Duration window = std::chrono::seconds(30);

    void add(TimePoint now, const std::string &route, Duration duration);

    /// None if no request of @p route was completed lately.
    [[nodiscard]] std::optional<Duration> longest(TimePoint now, const std::string &route) const;

private:
    struct Maxima
    {
        TimePoint startedAt; ///< Of the current window.
        Duration current{};
        std::optional<Duration> previous; ///< Of the window before.
    };

    std::map<std::string, Maxima> m_routes;
};

} // namespace currantreel

#endif
