#include "WorldFixture.h"

#include <currantreel/Retry>

using namespace test;

namespace {

/// Fails every attempt that @p started begins.
void failAll(WorldFixture &fixture, const EffectList &started, bool wasWritten)
{
    std::vector<AttemptId> attempts;
    for (const Effect &effect : started) {
        if (const auto *start = std::get_if<StartAttempt>(&effect))
            attempts.push_back(start->attempt);
    }
    for (const AttemptId attempt : attempts)
        fixture.step(AttemptFailed{ attempt, wasWritten });
}

/// Attempts of @p requests requests while every backend server fails.
std::uint64_t attemptsUnderFailure(std::uint64_t requests, bool wasWritten)
{
    WorldFixture fixture;
    for (std::uint64_t i = 1; i <= requests; ++i) {
        failAll(fixture, EffectList(fixture.step(fixture.chat(i, "gate"))), wasWritten);
        fixture.tickEffects.clear();
        fixture.advance(40ms);
        failAll(fixture, EffectList(fixture.tickEffects), wasWritten);
    }
    // Failed servers are paused, so requests may wait for the whole of their class's bounded wait.
    const Duration queueBound =
        fixture.world.configuration().classes.find(ClassId::ofName("gate"))->queueBound;
    for (Duration waited{}; waited < 2 * queueBound; waited += 100ms) {
        fixture.tickEffects.clear();
        fixture.advance(100ms);
        failAll(fixture, EffectList(fixture.tickEffects), wasWritten);
    }
    CHECK(fixture.world.requestsInProgress() == 0);
    return fixture.world.counters().attempts;
}

} // namespace

TEST_CASE("retries stay within a tenth of the requests when every server fails")
{
    constexpr std::uint64_t requests = 1000;
    for (const bool wasWritten : { false, true }) {
        const std::uint64_t attempts = attemptsUnderFailure(requests, wasWritten);
        CHECK(attempts * 10 <= requests * 11);
    }
}

TEST_CASE("backoff grows to its bound, with jitter that the seed decides")
{
    Backoff one(7);
    Backoff same(7);
    Backoff other(8);
    bool doesDiffer = false;
    for (int attempts = 1; attempts < 20; ++attempts) {
        const Duration wait = one.nextDelay(attempts);
        CHECK(wait == same.nextDelay(attempts));
        doesDiffer = doesDiffer || wait != other.nextDelay(attempts);
        CHECK(wait >= Backoff::initialDelay / 2);
        CHECK(wait <= Backoff::maxDelay);
    }
    CHECK(doesDiffer);
    CHECK(one.nextDelay(20) >= Backoff::maxDelay / 2);
}

TEST_CASE("a budget spends its reserve, then only what was earned")
{
    TokenBudget budget(2, 2);
    CHECK(budget.spend(2));
    CHECK_FALSE(budget.spend(1));
    budget.earn(9, 100);
    CHECK_FALSE(budget.spend(1));
    budget.earn(1, 100);
    CHECK(budget.spend(1));
    CHECK_FALSE(budget.spend(1));
}

TEST_CASE_FIXTURE(WorldFixture, "running work whose answer became worthless is cancelled")
{
    std::string text = smallConfiguration;
    text.replace(text.find("answer_ms = 3000"), 16, "answer_ms = 3000\nlate = \"worthless\"");
    text.replace(text.find("answer_ms = 2000"), 16, "answer_ms = 2000\nlate = \"worthless\"");
    step(ConfigurationRead{ makeConfiguration(2, text.c_str()) });
    step(chat(1, "gate"));
    const auto start = only<StartAttempt>();
    step(AttemptTokens{ start.attempt, 4 });
    step(payment(2, ""));
    const auto payment = only<StartAttempt>();
    advance(3100ms);
    effects = tickEffects;
    CHECK(only<CancelAttempt>().attempt == start.attempt);
    CHECK(only<RefuseRequest>().code == ResultCode::AnswerLate);
    CHECK(only<RefuseRequest>().outcome == Outcome::Unknown);
    CHECK(world.counters().lateTokens == 4);
    CHECK(world.owner().inFlight(BackendServerId::ofName("engine-1")) == 0);
    // The payment may not be repeated: it is late, and runs to its end.
    step(AttemptDone{ payment.attempt });
    CHECK(only<FinishReply>().request == RequestId{ 2 });
}
