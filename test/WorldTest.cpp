#include "WorldFixture.h"

#include <currantreel/Retry>

using namespace test;

TEST_CASE_FIXTURE(WorldFixture, "a request is granted, relayed and finished")
{
    step(chat(1, "gate"));
    const auto start = only<StartAttempt>();
    CHECK(start.address.port == 9101);
    step(AttemptHead{ start.attempt, 200, false });
    CHECK(only<RelayAttempt>().request == RequestId{ 1 });
    step(AttemptTokens{ start.attempt, 3 });
    step(AttemptDone{ start.attempt });
    CHECK(only<FinishReply>().request == RequestId{ 1 });
    CHECK(world.counters().usefulTokens == 3);
    CHECK(world.requestsInProgress() == 0);
    CHECK(world.owner().inFlight(BackendServerId::ofName("engine-1")) == 0);
}

TEST_CASE_FIXTURE(WorldFixture, "a higher tier goes before those that wait")
{
    step(chat(1, "lookup"));
    const auto first = only<StartAttempt>();
    step(chat(2, "lookup"));
    step(chat(3, "lookup"));
    CHECK(count<StartAttempt>() == 0);
    step(chat(4, "gate"));
    CHECK(count<StartAttempt>() == 0);
    step(AttemptDone{ first.attempt });
    CHECK(only<StartAttempt>().request == RequestId{ 4 });
}

TEST_CASE_FIXTURE(WorldFixture, "unknown names are refused with their numbers")
{
    RequestArrived event = chat(1, "gate");
    event.workspace = "nobody";
    step(event);
    CHECK(only<RefuseRequest>().code == ResultCode::RequestUnknownWorkspace);
    step(chat(2, "no-such-class"));
    CHECK(only<RefuseRequest>().code == ResultCode::RequestUnknownClass);
    event = chat(3, "gate");
    event.target = "no-such-model";
    step(event);
    CHECK(only<RefuseRequest>().code == ResultCode::RequestUnknownModel);
}

TEST_CASE_FIXTURE(WorldFixture,
                  "a refused connection is retried, a written never-repeat request is not")
{
    step(payment(1, ""));
    CHECK(count<KeyAssigned>() == 1);
    const auto first = only<StartAttempt>();
    step(AttemptFailed{ first.attempt, false });
    CHECK(count<StartAttempt>() == 0);
    advance(Backoff::maxDelay);
    effects = tickEffects;
    const auto second = only<StartAttempt>();
    CHECK(second.attempt != first.attempt);
    step(AttemptFailed{ second.attempt, true });
    CHECK(count<StartAttempt>() == 0);
    const auto refusal = only<RefuseRequest>();
    CHECK(refusal.outcome == Outcome::Unknown);
    CHECK(refusal.code == ResultCode::BackendServerLost);
}

TEST_CASE_FIXTURE(WorldFixture, "a caller who leaves has the engine's work cancelled")
{
    step(chat(1, "gate"));
    const auto start = only<StartAttempt>();
    step(CallerDisconnected{ RequestId{ 1 } });
    CHECK(only<CancelAttempt>().attempt == start.attempt);
    CHECK(world.owner().inFlight(BackendServerId::ofName("engine-1")) == 0);
}

TEST_CASE_FIXTURE(WorldFixture, "a wait beyond the class's bound ends in a truthful not_run")
{
    step(chat(1, "gate"));
    step(chat(2, "gate"));
    step(chat(3, "lookup"));
    advance(2100ms);
    const auto isRefusal = [](const Effect &effect) {
        const auto *refusal = std::get_if<RefuseRequest>(&effect);
        return refusal && refusal->request == RequestId{ 3 } && refusal->outcome == Outcome::NotRun;
    };
    CHECK(std::count_if(tickEffects.begin(), tickEffects.end(), isRefusal) == 1);
}

TEST_CASE_FIXTURE(WorldFixture, "a leaving backend server gets no new work")
{
    step(HostListRead{ {}, { { BackendServerId::ofName("engine-1"), Liveness::Leaving } } });
    step(chat(1, "gate"));
    CHECK(only<RefuseRequest>().code == ResultCode::NoBackendServer);
}

TEST_CASE_FIXTURE(WorldFixture, "a stop lets requests in progress finish")
{
    step(chat(1, "gate"));
    const auto start = only<StartAttempt>();
    step(StopRequested{});
    CHECK(count<StopCompleted>() == 0);
    CHECK_FALSE(world.isReady());
    step(chat(2, "gate"));
    CHECK(only<RefuseRequest>().code == ResultCode::Stopping);
    step(AttemptDone{ start.attempt });
    CHECK(count<StopCompleted>() == 1);
}

TEST_CASE_FIXTURE(WorldFixture, "an older configuration never replaces a newer one")
{
    step(ConfigurationRead{ makeConfiguration(5) });
    CHECK(world.configuration().version == 5);
    step(ConfigurationRead{ makeConfiguration(4) });
    CHECK(world.configuration().version == 5);
}
