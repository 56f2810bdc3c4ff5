#include "ExpectedOutcomes.h"

#include "../Settings/CheckedTable.h"
#include <fmt/format.h>

namespace currantreel {

namespace {

using detail::CheckedTable;

constexpr double largestAttempts = 1000.0;

OutcomeCheck none(const std::string &name, std::uint64_t count)
{
    return OutcomeCheck{ name, count == 0, fmt::format("{}, stated 0", count) };
}

OutcomeCheck atLeast(const std::string &name, double measured, double stated)
{
    return OutcomeCheck{ name, measured >= stated,
                         fmt::format("{:.4f}, stated at least {:.4f}", measured, stated) };
}

OutcomeCheck atMost(const std::string &name, double measured, double stated)
{
    return OutcomeCheck{ name, measured <= stated,
                         fmt::format("{:.4f}, stated at most {:.4f}", measured, stated) };
}

OutcomeCheck attainmentOf(const StatedAttainment &stated, const ReplayReport &report)
{
    const std::string name = "attainment of " + stated.className;
    const ClassReport *row = report.classes.find(ClassId::ofName(stated.className));
    if (!row || row->sent == 0)
        return OutcomeCheck{ name, false, "the trace has no request of the class" };
    return atLeast(name, row->attainment(), stated.smallest);
}

} // namespace

std::variant<ExpectedOutcomes, FaultList> parseOutcomes(std::string_view text,
                                                        const std::string &file)
{
    FaultList faults;
    const auto document = detail::parseToml(text, file, faults);
    if (!document)
        return faults;
    CheckedTable root(*document, file, "", faults);
    ExpectedOutcomes stated;
    for (CheckedTable &row : root.tables("attainment")) {
        stated.attainment.push_back(
            StatedAttainment{ row.string("class"), row.real("at_least", 0.0, 1.0) });
        row.rejectUnknownKeys();
    }
    stated.wastedAtMost = root.real("wasted_at_most", 0.0, 1.0);
    stated.goodputOfOracle = root.real("goodput_of_oracle_at_least", 0.0, 1.0);
    stated.attemptsPerRequest = root.real("attempts_per_request_at_most", 1.0, largestAttempts);
    stated.lowestGrantShare = root.real("lowest_grant_share_at_least", 0.0, 1.0);
    stated.isWaitBounded = root.boolean("lowest_wait_is_bounded");
    stated.isAboveBaselines = root.boolean("goodput_not_below_baselines");
    root.rejectUnknownKeys();
    if (!faults.empty())
        return faults;
    return stated;
}

std::vector<OutcomeCheck> checkOutcomes(const ExpectedOutcomes &stated, const ReplayReport &report,
                                        const std::vector<ReplayReport> &baselines)
{
    std::vector<OutcomeCheck> checks;
    checks.push_back(none("doubled runs", report.doubledRuns));
    checks.push_back(none("untrue not_run", report.untrueNotRun));
    checks.push_back(none("crossed answers", report.crossedAnswers));
    checks.push_back(none("lost answers", report.lostAnswers));
    checks.push_back(none("top tier shed for lower", report.topTierShed));
    checks.push_back(none("top tier preempted", report.topTierPreempted));
    for (const StatedAttainment &row : stated.attainment)
        checks.push_back(attainmentOf(row, report));
    checks.push_back(atMost("wasted work", report.wastedShare(), stated.wastedAtMost));
    checks.push_back(
        atLeast("goodput of oracle", report.goodputOfOracle(), stated.goodputOfOracle));
    checks.push_back(
        atMost("attempts per request", report.attemptsPerRequest(), stated.attemptsPerRequest));
    checks.push_back(
        atLeast("lowest tier's grants", report.lowestGrantShare(), stated.lowestGrantShare));
    if (stated.isWaitBounded)
        checks.push_back(none("waits of the lowest class beyond its bound",
                              report.lowestClass().waitsBeyondBound));
    for (const ReplayReport &baseline : baselines) {
        if (stated.isAboveBaselines)
            checks.push_back(atLeast("goodput against " + baseline.policy, report.goodput(),
                                     baseline.goodput()));
    }
    return checks;
}

} // namespace currantreel
