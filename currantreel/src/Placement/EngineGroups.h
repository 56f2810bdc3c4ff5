#ifndef CURRANTREEL_PLACEMENT_ENGINEGROUPS_H
#define CURRANTREEL_PLACEMENT_ENGINEGROUPS_H

#include "../Core/Id.h"
#include "../Core/Time.h"
#include "DecayingSum.h"
#include "PrefillModel.h"
#include <cstdint>
#include <map>

namespace currantreel {

struct ForwardServer;

/// Splits the engines of a service into a group for long prompts and one for the others, since the
/// prefill of a long prompt delays the events of all streams on the same engine. Engines are
/// divided in proportion to the work of either kind that this host sends, or places as an owner.
class EngineGroups
{
public:
    /// Average prompt length of a route from which its prompts count as long, in tokens.
    static constexpr double longPromptTokens = 2'000.0;

    /// Records a request of @p route with a prompt of @p tokens.
    void countPrompt(RouteId route, std::uint32_t tokens);

    /// True if requests of @p route have long prompts.
    [[nodiscard]] bool isLong(RouteId route) const;

    /// Records that a request with a long prompt was placed at an engine.
    /// @param uncachedTokens prompt tokens that the engine has to prefill.
    void countPrefill(ServiceId service, TimePoint now, double uncachedTokens);

    /// Records that a request with a short prompt, whose answer is a stream, was placed.
    void countStreamStart(ServiceId service, TimePoint now);

    /// Records that a stream of a request with a short prompt ran for @p time.
    void countStream(ServiceId service, TimePoint now, Duration time);

    /// Records that a request ended @p time after it was sent to a server of @p service. The time
    /// includes the wait for the slot, which is kept short.
    void countSlotTime(ServiceId service, TimePoint now, Duration time);

    /// Mean time for which a request holds a slot of a server of @p service.
    [[nodiscard]] Duration slotTime(ServiceId service, TimePoint now);

    /// Records that the first event of an answer of @p engine arrived @p time after its request was
    /// sent. @param tokens prompt tokens that the engine prefilled until then.
    void recordFirstEvent(TimePoint now, ForwardServer &engine, std::uint64_t tokens,
                          Duration time);

    /// Time to the first event as a function of the tokens that an engine of @p service prefills.
    [[nodiscard]] PrefillModel &prefillModel(ServiceId service)
    {
        return m_work[service].prefillModel;
    }

    /// Number of engines for long prompts.
    /// @param engines number of engines to divide. @param slots slots of each engine.
    /// @return 0 if the service has requests of one kind only.
    [[nodiscard]] std::size_t longPromptEngines(ServiceId service, TimePoint now,
                                                std::size_t engines, std::uint32_t slots);

private:
    struct Work
    {
        DecayingSum prefillTokens;
        DecayingSum startedStreams;
        DecayingSum endedStreams;
        DecayingSum streamSeconds; ///< Of the ended streams.
        DecayingSum slotSeconds; ///< Time for which ended requests held their slots.
        DecayingSum endedRequests;
        PrefillModel prefillModel;
        double share = initialShare; ///< Share of the engines for long prompts.

        /// Expected time of the streams that were placed, in seconds. Streams that still run count
        /// too, so that engines are divided before the first ones end.
        [[nodiscard]] double expectedStreamSeconds(TimePoint now) const;
    };

    static constexpr double initialShare = 0.55;

    std::map<RouteId, double> m_promptTokens; ///< Average prompt length by route.
    std::map<ServiceId, Work> m_work;
};

} // namespace currantreel

#endif
