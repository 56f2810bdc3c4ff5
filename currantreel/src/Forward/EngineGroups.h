#ifndef CURRANTREEL_FORWARD_ENGINEGROUPS_H
#define CURRANTREEL_FORWARD_ENGINEGROUPS_H

#include "../Core/Id.h"
#include "../Core/Time.h"
#include <cstdint>
#include <map>

namespace currantreel {

/// Sum that loses its older part by and by.
class DecayingSum
{
public:
    void add(TimePoint now, double amount);
    [[nodiscard]] double value(TimePoint now) const;

private:
    double m_value = 0.0;
    TimePoint m_at;
};

/// Splits the engines of a service between requests with long prompts and the others, since reading a
/// long prompt delays the events of all streams that run beside it. Each group gets engines by the
/// share of the work that its requests are, of all that this host sends or places as an owner.
class EngineGroups
{
public:
    /// Average prompt above which a route's requests count as long, in tokens.
    static constexpr double longPromptTokens = 2'000.0;

    /// Prompt tokens that an engine is taken to read in a second.
    static constexpr double readTokensPerSecond = 75'000.0;

    /// A request of @p route came with a prompt of @p tokens.
    void countPrompt(RouteId route, std::uint32_t tokens);

    /// True if requests of @p route have long prompts.
    [[nodiscard]] bool isLong(RouteId route) const;

    /// An engine was sent @p unreadTokens to read for a request with a long prompt.
    void countReading(ServiceId service, TimePoint now, double unreadTokens);

    /// A stream of a request with a short prompt ran for @p time.
    void countRunning(ServiceId service, TimePoint now, Duration time);

    /// Number of engines for long prompts among @p engines with @p slots each; 0 if the service has
    /// requests of one kind only.
    [[nodiscard]] std::size_t longEngines(ServiceId service, TimePoint now, std::size_t engines,
                                          std::uint32_t slots);

private:
    struct Work
    {
        DecayingSum readTokens;
        DecayingSum runSeconds;
        double share = initialShare; ///< Share of the engines for long prompts.
    };

    static constexpr double initialShare = 0.55;

    std::map<RouteId, double> m_promptTokens; ///< Average of a route.
    std::map<ServiceId, Work> m_work;
};

} // namespace currantreel

#endif
