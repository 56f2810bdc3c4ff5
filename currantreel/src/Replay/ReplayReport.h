#ifndef CURRANTREEL_REPLAY_REPLAYREPORT_H
#define CURRANTREEL_REPLAY_REPLAYREPORT_H

#include "../Configuration/Configuration.h"
#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace currantreel {

/// Why tokens were made for nothing.
enum class WasteCause : std::uint8_t {
    Late, ///< The answer came after its target.
    Cancelled, ///< The router stopped the attempt.
    Abandoned, ///< The caller left.
    Duplicate, ///< Another attempt answered.
    Broken, ///< Crash, silence or partition.
};
inline constexpr std::size_t wasteCauseCount = 5;

/// What became of the requests of one class.
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
    std::uint64_t abandoned = 0; ///< The caller gave up waiting.
    std::uint64_t offeredTokens = 0;
    std::uint64_t usefulTokens = 0;
    Duration longestWait{}; ///< From arrival to the first attempt or to the refusal.
    std::uint64_t waitsBeyondBound = 0; ///< Waits longer than the class's bound.

    [[nodiscard]] double attainment() const;
};

/// What one run over a trace measured.
struct ReplayReport
{
    std::string trace;
    std::string policy;
    Table<ClassReport> classes;
    std::uint64_t committedTokens = 0; ///< What the engines could have made.
    std::uint64_t oracleTokens = 0; ///< Tokens in time that the oracle reaches.
    std::uint64_t madeTokens = 0;
    std::array<std::uint64_t, wasteCauseCount> wasted{};
    std::uint64_t requests = 0; ///< Sent by callers, without key questions.
    std::uint64_t attempts = 0;
    std::uint64_t doubledRuns = 0; ///< Further runs of requests that may run once.
    std::uint64_t untrueNotRun = 0; ///< Told not_run, but something ran.
    std::uint64_t crossedAnswers = 0; ///< Answers to another request.
    std::uint64_t lostAnswers = 0; ///< Cut short, or never ended.
    std::uint64_t topTierShed = 0; ///< Refused while lower work was started in its domain.
    std::uint64_t topTierPreempted = 0;
    std::uint64_t grantsWhileLowestWaits = 0;
    std::uint64_t lowestGrants = 0; ///< Of those, grants of the lowest tier.

    [[nodiscard]] std::uint64_t usefulTokens() const;
    /// Share of the committed capacity which became answers in time.
    [[nodiscard]] double goodput() const;
    /// Share of what the oracle reaches.
    [[nodiscard]] double goodputOfOracle() const;
    /// Share of the tokens made.
    [[nodiscard]] double wastedShare() const;
    [[nodiscard]] double wastedShare(WasteCause cause) const;
    /// Share of the committed capacity which made nothing.
    [[nodiscard]] double idleShare() const;
    [[nodiscard]] double attemptsPerRequest() const;
    /// Class of the lowest tier.
    [[nodiscard]] const ClassReport &lowestClass() const;
    [[nodiscard]] double lowestGrantShare() const;
};

/// The report as a person reads it.
[[nodiscard]] std::string toText(const ReplayReport &report);

/// One line for each of @p reports.
[[nodiscard]] std::string toComparison(const std::vector<ReplayReport> &reports);

} // namespace currantreel

#endif
