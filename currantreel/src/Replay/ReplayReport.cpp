#include "ReplayReport.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace currantreel {

namespace {

constexpr double percent = 100.0;
constexpr std::array<std::string_view, wasteCauseCount> causeNames{ "late", "cancelled",
                                                                    "abandoned", "duplicate",
                                                                    "broken" };

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

std::uint64_t sum(const std::array<std::uint64_t, wasteCauseCount> &parts)
{
    return std::accumulate(parts.begin(), parts.end(), std::uint64_t{ 0 });
}

} // namespace

double ClassReport::attainment() const
{
    return sent == 0 ? 1.0 : share(inTarget, sent);
}

std::uint64_t ReplayReport::usefulTokens() const
{
    std::uint64_t tokens = 0;
    for (const ClassReport &row : classes)
        tokens += row.usefulTokens;
    return tokens;
}

double ReplayReport::goodput() const
{
    return share(usefulTokens(), committedTokens);
}

double ReplayReport::goodputOfOracle() const
{
    return share(usefulTokens(), oracleTokens);
}

double ReplayReport::wastedShare() const
{
    return share(sum(wasted), generatedTokens);
}

double ReplayReport::wastedShare(WasteCause cause) const
{
    return share(wasted.at(static_cast<std::size_t>(cause)), generatedTokens);
}

double ReplayReport::idleShare() const
{
    return 1.0 - std::min(1.0, share(generatedTokens, committedTokens));
}

double ReplayReport::attemptsPerRequest() const
{
    return share(attempts, requests);
}

const ClassReport &ReplayReport::lowestClass() const
{
    return *std::max_element(
        classes.begin(), classes.end(),
        [](const ClassReport &left, const ClassReport &right) { return left.tier < right.tier; });
}

double ReplayReport::lowestGrantShare() const
{
    return grantsWhileLowestWaits == 0 ? 1.0 : share(lowestGrants, grantsWhileLowestWaits);
}

std::string toText(const ReplayReport &report)
{
    std::string text = fmt::format("trace {}, policy {}\n", report.trace, report.policy);
    for (const ClassReport &row : report.classes)
        text += fmt::format(
            "  {:<20} tier {} sent {:<6} in target {:6.2f}%  late {:<5} not run "
            "{:<5} unknown {:<4} gave up {:<4} longest wait {} ms, beyond bound {}\n",
            row.name, row.tier, row.sent, percent * row.attainment(), row.late, row.notRun,
            row.unknown, row.abandoned, toMilliseconds(row.maxWait), row.waitsBeyondBound);
    text += fmt::format("  goodput {:.2f}% of committed, {:.2f}% of the oracle's; idle {:.2f}%\n",
                        percent * report.goodput(), percent * report.goodputOfOracle(),
                        percent * report.idleShare());
    text += fmt::format("  wasted {:.2f}% of tokens:", percent * report.wastedShare());
    for (std::size_t i = 0; i < wasteCauseCount; ++i)
        text += fmt::format(" {} {:.2f}%", causeNames.at(i),
                            percent * report.wastedShare(static_cast<WasteCause>(i)));
    text += fmt::format(
        "\n  doubled runs {}, untrue not_run {}, crossed answers {}, lost answers "
        "{}\n  top tier shed {}, preempted {}; lowest tier's share of grants {:.2f}% "
        "of {}; attempts per request {:.3f}\n",
        report.doubledRuns, report.untrueNotRun, report.crossedAnswers, report.lostAnswers,
        report.topTierShed, report.topTierPreempted, percent * report.lowestGrantShare(),
        report.grantsWhileLowestWaits, report.attemptsPerRequest());
    return text;
}

std::string toComparison(const std::vector<ReplayReport> &reports)
{
    std::string text;
    for (const ReplayReport &report : reports) {
        text += fmt::format("{:<22} goodput {:6.2f}% of oracle {:6.2f}%  wasted {:6.2f}%  attempts "
                            "{:.3f}  doubled {} untrue {} crossed {} lost {} |",
                            report.policy, percent * report.goodput(),
                            percent * report.goodputOfOracle(), percent * report.wastedShare(),
                            report.attemptsPerRequest(), report.doubledRuns, report.untrueNotRun,
                            report.crossedAnswers, report.lostAnswers);
        for (const ClassReport &row : report.classes)
            text += fmt::format(" {} {:.2f}%", row.name, percent * row.attainment());
        text += '\n';
    }
    return text;
}

} // namespace currantreel
