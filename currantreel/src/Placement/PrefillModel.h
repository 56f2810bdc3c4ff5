#ifndef CURRANTREEL_PLACEMENT_PREFILLMODEL_H
#define CURRANTREEL_PLACEMENT_PREFILLMODEL_H

#include "DecayingSum.h"

namespace currantreel {

/// Time to the first event of an answer as a linear function of the prompt tokens that the engine
/// prefills until then, fitted to what the engines of a service did. Observations decay; two
/// assumed ones keep the fit defined.
class PrefillModel
{
public:
    /// Rate that is assumed without any observation, in tokens per second.
    static constexpr double defaultTokensPerSecond = 75'000.0;

    /// Records that the first event arrived @p time after the request was sent, while the engine
    /// prefilled @p tokens.
    void record(TimePoint now, double tokens, Duration time);

    /// Prefill rate of an engine, in tokens per second.
    [[nodiscard]] double tokensPerSecond(TimePoint now) const;

    /// Expected time to the first event if @p tokens are prefilled until then.
    [[nodiscard]] Duration timeToFirstEvent(TimePoint now, double tokens) const;

private:
    struct Line
    {
        double startSeconds = 0.0; ///< Time without any prefill.
        double secondsPerToken = 0.0;
    };

    [[nodiscard]] Line fit(TimePoint now) const;

    DecayingSum m_count;
    DecayingSum m_tokens;
    DecayingSum m_seconds;
    DecayingSum m_tokensSquared;
    DecayingSum m_tokenSeconds;
};

/// How many times as long as expected an engine takes to the first event. Observations decay, so an
/// engine that was slow and gets no work counts as sound again after a while and is tried again.
class EngineSlowness
{
public:
    void record(TimePoint now, Duration expected, Duration actual);

    /// 1 for an engine that is as fast as expected, also for one that is only a little slower,
    /// since single observations vary.
    [[nodiscard]] double value(TimePoint now) const;

private:
    static constexpr Duration timeConstant = std::chrono::seconds(4);

    DecayingSum m_expectedSeconds{ timeConstant };
    DecayingSum m_actualSeconds{ timeConstant };
};

} // namespace currantreel

#endif
