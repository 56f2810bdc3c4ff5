#include "WorldFixture.h"

#include <currantreel/Retry>

using namespace test;

namespace {

/// A fixture with two engines whose class "gate" has learned that heads take 100 ms.
struct HedgeFixture : WorldFixture
{
    HedgeFixture()
    {
        std::string text = smallConfiguration;
        text +=
            "[[backend_server]]\nname = \"engine-2\"\nkind = \"engine\"\n"
            "failure_domain = \"a\"\naddress = \"127.0.0.1:9102\"\nmodels = [\"m\"]\nslots = 2\n";
        step(ConfigurationRead{ makeConfiguration(2, text.c_str()) });
        for (std::uint64_t i = 1; i <= learned; ++i)
            answerAfter(i, 100ms);
        tickEffects.clear();
    }

    void answerAfter(std::uint64_t request, Duration time)
    {
        step(chat(request, "gate"));
        const AttemptId attempt = only<StartAttempt>().attempt;
        advance(time);
        step(AttemptHead{ attempt, 200, false });
        step(AttemptTokens{ attempt, tokens });
        step(AttemptDone{ attempt });
    }

    /// Starts a slow request and returns its two attempts.
    std::pair<StartAttempt, StartAttempt> startSlow(std::uint64_t request, std::string className)
    {
        step(chat(request, std::move(className)));
        const auto first = only<StartAttempt>();
        tickEffects.clear();
        advance(500ms);
        effects = tickEffects;
        return { first, only<StartAttempt>() };
    }

    static constexpr std::uint64_t learned = 100;
    static constexpr std::uint32_t tokens = 50;
};

} // namespace

TEST_CASE_FIXTURE(HedgeFixture, "the first head wins, the other attempt is cancelled and counted")
{
    const auto [first, second] = startSlow(200, "gate");
    CHECK(second.server != first.server);
    CHECK(second.request == first.request);
    step(AttemptHead{ second.attempt, 200, false });
    CHECK(only<CancelAttempt>().attempt == first.attempt);
    CHECK(only<RelayAttempt>().attempt == second.attempt);
    step(AttemptTokens{ first.attempt, 9 });
    step(AttemptDone{ first.attempt });
    CHECK(count<FinishReply>() == 0);
    step(AttemptDone{ second.attempt });
    CHECK(count<FinishReply>() == 1);
    CHECK(world.owner().inFlight(first.server) + world.owner().inFlight(second.server) == 0);
}

TEST_CASE_FIXTURE(HedgeFixture, "tokens of the slower attempt count as duplicated")
{
    const auto [first, second] = startSlow(200, "gate");
    step(AttemptTokens{ first.attempt, 7 });
    step(AttemptHead{ second.attempt, 200, false });
    CHECK(world.counters().duplicatedTokens == 7);
}

TEST_CASE_FIXTURE(HedgeFixture, "if one attempt fails the other goes on")
{
    const auto [first, second] = startSlow(200, "gate");
    step(AttemptFailed{ first.attempt, true });
    CHECK(count<RefuseRequest>() == 0);
    step(AttemptHead{ second.attempt, 200, false });
    step(AttemptDone{ second.attempt });
    CHECK(only<FinishReply>().request == RequestId{ 200 });
}

TEST_CASE_FIXTURE(HedgeFixture, "a caller who leaves has both attempts cancelled")
{
    startSlow(200, "gate");
    step(CallerDisconnected{ RequestId{ 200 } });
    CHECK(count<CancelAttempt>() == 2);
    CHECK(world.requestsInProgress() == 0);
}

TEST_CASE_FIXTURE(HedgeFixture, "second attempts cost at most 2% of the tokens when all is slow")
{
    std::uint64_t answered = learned;
    for (std::uint64_t request = 1000; request < 2000; ++request, ++answered)
        answerAfter(request, 2s);
    CHECK(world.counters().hedges > 0);
    const std::uint64_t duplicated = world.counters().hedges * tokens;
    CHECK(duplicated * 50 <= answered * tokens);
}

TEST_CASE_FIXTURE(HedgeFixture, "a never-repeat request gets no second attempt")
{
    for (int i = 0; i < 100; ++i) {
        step(payment(300U + static_cast<std::uint64_t>(i), ""));
        const AttemptId attempt = only<StartAttempt>().attempt;
        advance(20ms);
        step(AttemptHead{ attempt, 200, false });
        step(AttemptDone{ attempt });
    }
    step(payment(500, ""));
    tickEffects.clear();
    advance(1500ms);
    effects = tickEffects;
    CHECK(count<StartAttempt>() == 0);
}
