#ifndef CURRANTREEL_REPLAY_EXPECTEDOUTCOMES_H
#define CURRANTREEL_REPLAY_EXPECTEDOUTCOMES_H

#include "../Settings/Fault.h"
#include "ReplayReport.h"
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace currantreel {

/// Minimum attainment of one class.
struct ExpectedAttainment
{
    std::string className;
    double minimum = 0.0; ///< Share from 0 to 1.
};

/// Expected outcomes of a run of a trace. Doubled runs, untrue `not_run`, lost and crossed answers,
/// and shedding or preempting the top tier for lower tiers must be 0 in every run.
struct ExpectedOutcomes
{
    std::vector<ExpectedAttainment> attainment;
    double maxWastedShare = 1.0; ///< Share of the generated tokens.
    double minGoodputOfOracle = 0.0;
    double maxAttemptsPerRequest = 0.0;
    double minLowestGrantShare = 0.0;
    bool isWaitBounded = false; ///< No request of the lowest class waits beyond its class's bound.
    bool isAboveBaselines = false; ///< Goodput is not below that of any other policy.
};

/// Parses a file of expected outcomes in TOML.
[[nodiscard]] std::variant<ExpectedOutcomes, FaultList> parseOutcomes(std::string_view text,
                                                                      const std::string &file);

/// Result of comparing one expected outcome with the measurement.
struct OutcomeCheck
{
    std::string name;
    bool holds = false;
    std::string detail; ///< Measured and expected value.
};

/// Compares @p report with @p stated. @param baselines reports of the other policies.
[[nodiscard]] std::vector<OutcomeCheck> checkOutcomes(const ExpectedOutcomes &expected,
                                                      const ReplayReport &report,
                                                      const std::vector<ReplayReport> &baselines);

} // namespace currantreel

#endif
