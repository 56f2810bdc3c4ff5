#ifndef CURRANTREEL_REPLAY_REPLAYREPORT_H
#define CURRANTREEL_REPLAY_REPLAYREPORT_H

#include "../Configuration/Configuration.h"
#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace currantreel {

/// Why generated tokens were wasted.
enum class WasteCause : std::uint8_t {
    Late, ///< The answer came after its target.
    Cancelled, ///< The router stopped the attempt.
    Abandoned, ///< The caller disconnected.
    Duplicate, ///< The answer of another attempt was relayed.
    Broken, ///< Crash, unresponsive connection or partition.
};
inline constexpr std::size_t wasteCauseCount = 5;

/// Results of the requests of one class.
struct ClassReport
{
    ClassId id;
    std::string name;
    Tier tier = 0;
    std::uint64_t sent = 0;
    std::uint64_t inTarget = 0;
    std::uint64_t late = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t abandoned = 0; ///< The caller timed out.
    std::uint64_t offeredTokens = 0;
    std::uint64_t usefulTokens = 0;
    Duration maxWait{}; ///< From arrival to the first attempt or to the refusal.
    std::uint64_t waitsBeyondBound = 0; ///< Waits longer than the class's bound.

    [[nodiscard]] double attainment() const;
};

/// Measurements of one run of a trace.
struct ReplayReport
{
    std::string trace;
    std::string policy;
    Table<ClassReport> classes;
    std::uint64_t committedTokens = 0; ///< Token capacity of the engines.
    std::uint64_t oracleTokens = 0; ///< Tokens that the oracle delivers in time.
    std::uint64_t generatedTokens = 0;
    std::array<std::uint64_t, wasteCauseCount> wasted{};
    std::uint64_t requests = 0; ///< Sent by callers, without key requests.
    std::uint64_t attempts = 0;
    std::uint64_t doubledRuns = 0; ///< Additional runs of requests that may run only once.
    std::uint64_t untrueNotRun = 0; ///< Reported as not_run although an attempt ran.
    std::uint64_t crossedAnswers = 0; ///< Answers that belong to another request.
    std::uint64_t lostAnswers = 0; ///< Truncated, or never completed.
    std::uint64_t topTierShed = 0; ///< Refused although lower tiers were started in its domain.
    std::uint64_t topTierPreempted = 0;
    std::uint64_t grantsWhileLowestWaits = 0;
    std::uint64_t lowestGrants = 0; ///< Of those, grants of the lowest tier.

    [[nodiscard]] std::uint64_t usefulTokens() const;
    /// Share of the committed capacity that was delivered as answers in time.
    [[nodiscard]] double goodput() const;
    /// Ratio of the useful tokens to those of the oracle.
    [[nodiscard]] double goodputOfOracle() const;
    /// Share of the generated tokens.
    [[nodiscard]] double wastedShare() const;
    [[nodiscard]] double wastedShare(WasteCause cause) const;
    /// Share of the committed capacity that generated no tokens.
    [[nodiscard]] double idleShare() const;
    [[nodiscard]] double attemptsPerRequest() const;
    /// Class of the lowest tier.
    [[nodiscard]] const ClassReport &lowestClass() const;
    [[nodiscard]] double lowestGrantShare() const;
};

/// Formats the report for a terminal.
[[nodiscard]] std::string toText(const ReplayReport &report);

/// Formats @p reports as a comparison with one line each.
[[nodiscard]] std::string toComparison(const std::vector<ReplayReport> &reports);

} // namespace currantreel

#endif
