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

/// Smallest attainment of one class.
struct StatedAttainment
{
    std::string className;
    double smallest = 0.0; ///< Share from 0 to 1.
};

/// What has to hold of a run over a trace. Doubled runs, untrue `not_run`, lost and crossed answers,
/// and shedding or preempting the top tier for lower work have to be 0 in every run.
struct ExpectedOutcomes
{
    std::vector<StatedAttainment> attainment;
    double wastedAtMost = 1.0; ///< Share of the tokens made.
    double goodputOfOracle = 0.0;
    double attemptsPerRequest = 0.0; ///< Largest; 0 states none.
    double lowestGrantShare = 0.0;
    bool isWaitBounded = false; ///< No request of the lowest class waits beyond its class's bound.
    bool isAboveBaselines = false; ///< Goodput is not below that of any other policy.
};

/// Reads a file of stated outcomes in TOML.
[[nodiscard]] std::variant<ExpectedOutcomes, FaultList> parseOutcomes(std::string_view text,
                                                                      const std::string &file);

/// One stated outcome against what was measured.
struct OutcomeCheck
{
    std::string name;
    bool holds = false;
    std::string detail; ///< Measured and stated figure.
};

/// Compares @p report with @p stated. @param baselines reports of the other policies.
[[nodiscard]] std::vector<OutcomeCheck> checkOutcomes(const ExpectedOutcomes &stated,
                                                      const ReplayReport &report,
                                                      const std::vector<ReplayReport> &baselines);

} // namespace currantreel

#endif
