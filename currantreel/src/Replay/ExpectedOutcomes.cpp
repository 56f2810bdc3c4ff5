#include "ExpectedOutcomes.h"

#include "../Settings/CheckedTable.h"
#include <fmt/format.h>

namespace currantreel {

namespace {

using detail::CheckedTable;

constexpr double attemptsLimit = 1000.0;

OutcomeCheck expectZero(const std::string &name, std::uint64_t count)
{
    return OutcomeCheck{ name, count == 0, fmt::format("{}, stated 0", count) };
}

OutcomeCheck expectAtLeast(const std::string &name, double measured, double expected)
{
    return OutcomeCheck{ name, measured >= expected,
                         fmt::format("{:.4f}, stated at least {:.4f}", measured, expected) };
}

OutcomeCheck expectAtMost(const std::string &name, double measured, double expected)
{
    return OutcomeCheck{ name, measured <= expected,
                         fmt::format("{:.4f}, stated at most {:.4f}", measured, expected) };
}

OutcomeCheck checkAttainment(const ExpectedAttainment &expected, const ReplayReport &report)
{
    const std::string name = "attainment of " + expected.className;
    const ClassReport *row = report.classes.find(ClassId::ofName(expected.className));
    if (!row || row->sent == 0)
        return OutcomeCheck{ name, false, "the trace has no request of the class" };
    return expectAtLeast(name, row->attainment(), expected.minimum);
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
    ExpectedOutcomes expected;
    for (CheckedTable &row : root.tables("attainment")) {
        expected.attainment.push_back(
            ExpectedAttainment{ row.string("class"), row.real("at_least", 0.0, 1.0) });
        row.rejectUnknownKeys();
    }
    expected.maxWastedShare = root.real("wasted_at_most", 0.0, 1.0);
    expected.minGoodputOfOracle = root.real("goodput_of_oracle_at_least", 0.0, 1.0);
    expected.maxAttemptsPerRequest = root.real("attempts_per_request_at_most", 1.0, attemptsLimit);
    expected.minLowestGrantShare = root.real("lowest_grant_share_at_least", 0.0, 1.0);
    expected.isWaitBounded = root.boolean("lowest_wait_is_bounded");
    expected.isAboveBaselines = root.boolean("goodput_not_below_baselines");
    root.rejectUnknownKeys();
    if (!faults.empty())
        return faults;
    return expected;
}

std::vector<OutcomeCheck> checkOutcomes(const ExpectedOutcomes &expected,
                                        const ReplayReport &report,
                                        const std::vector<ReplayReport> &baselines)
{
    std::vector<OutcomeCheck> checks;
    checks.push_back(expectZero("doubled runs", report.doubledRuns));
    checks.push_back(expectZero("untrue not_run", report.untrueNotRun));
    checks.push_back(expectZero("crossed answers", report.crossedAnswers));
    checks.push_back(expectZero("lost answers", report.lostAnswers));
    checks.push_back(expectZero("top tier shed for lower", report.topTierShed));
    checks.push_back(expectZero("top tier preempted", report.topTierPreempted));
    for (const ExpectedAttainment &row : expected.attainment)
        checks.push_back(checkAttainment(row, report));
    checks.push_back(expectAtMost("wasted work", report.wastedShare(), expected.maxWastedShare));
    checks.push_back(
        expectAtLeast("goodput of oracle", report.goodputOfOracle(), expected.minGoodputOfOracle));
    checks.push_back(expectAtMost("attempts per request", report.attemptsPerRequest(),
                                  expected.maxAttemptsPerRequest));
    checks.push_back(expectAtLeast("lowest tier's grants", report.lowestGrantShare(),
                                   expected.minLowestGrantShare));
    if (expected.isWaitBounded)
        checks.push_back(expectZero("waits of the lowest class beyond its bound",
                                    report.lowestClass().waitsBeyondBound));
    for (const ReplayReport &baseline : baselines) {
        if (expected.isAboveBaselines)
            checks.push_back(expectAtLeast("goodput against " + baseline.policy, report.goodput(),
                                           baseline.goodput()));
    }
    return checks;
}

} // namespace currantreel
