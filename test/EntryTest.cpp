#include "WorldFixture.h"

#include <currantreel/src/World/Timing.h>

using namespace test;

namespace {

/// The messages of type T that @p effects send to @p host.
template <typename T>
std::vector<T> sentTo(const EffectList &effects, HostId host)
{
    std::vector<T> found;
    for (const Effect &effect : effects) {
        const auto *send = std::get_if<SendPeer>(&effect);
        const T *message = send && send->to == host ? std::get_if<T>(&send->message) : nullptr;
        if (message)
            found.push_back(*message);
    }
    return found;
}

/// The effects of type T in @p effects.
template <typename T>
std::vector<T> all(const EffectList &effects)
{
    std::vector<T> found;
    for (const Effect &effect : effects) {
        if (const T *one = std::get_if<T>(&effect))
            found.push_back(*one);
    }
    return found;
}

/// Served by another host's failure domain; a late answer of class "gate" is worthless.
std::string remoteConfiguration()
{
    std::string text = smallConfiguration;
    for (std::size_t at = 0; (at = text.find("\"a\"", at)) != std::string::npos;)
        text.replace(at, 3, "\"b\"");
    const std::string rule = "answer_ms = 3000\n";
    text.insert(text.find(rule) + rule.size(), "late = \"worthless\"\n");
    return text;
}

/// A fixture that knows a second host, which may own all backend servers.
struct PairFixture : WorldFixture
{
    PairFixture()
    {
        HostEntry entry;
        entry.id = peer;
        entry.name = "b-1";
        entry.failureDomain = FailureDomainId::ofName("b");
        step(HostListRead{ { entry }, {} });
    }

    void moveServersToPeer()
    {
        step(ConfigurationRead{ makeConfiguration(2, remoteConfiguration().c_str()) });
    }

    const EffectList &receive(PeerMessage message)
    {
        return step(PeerMessageReceived{ peer, std::move(message) });
    }

    const EffectList &receiveGrant(std::uint64_t request, std::uint64_t lease)
    {
        return receive(Granted{ { world.self().id, RequestId{ request } },
                                LeaseId{ lease },
                                BackendServerId::ofName("engine-1"),
                                timing::leasePeriod });
    }

    HostId peer = HostId::ofName("b-1");
};

} // namespace

TEST_CASE_FIXTURE(PairFixture, "a grant that was not asked for goes back to the host that gave it")
{
    step(chat(1, "gate"));
    const auto start = only<StartAttempt>();
    receiveGrant(1, 77);
    CHECK(count<StartAttempt>() == 0);
    const auto released = sentTo<LeaseReleased>(effects, peer);
    REQUIRE(released.size() == 1);
    CHECK(released.front().lease == LeaseId{ 77 });
    step(AttemptDone{ start.attempt });
    CHECK(count<FinishReply>() == 1);
}

TEST_CASE_FIXTURE(PairFixture, "a lease is released to the other host that granted it")
{
    moveServersToPeer();
    step(chat(1, "lookup"));
    CHECK(sentTo<GrantRequest>(effects, peer).size() == 1);
    receiveGrant(1, 5);
    const auto start = only<StartAttempt>();
    step(AttemptDone{ start.attempt });
    CHECK(sentTo<LeaseReleased>(effects, peer).size() == 1);
    step(chat(2, "lookup"));
    step(CallerDisconnected{ RequestId{ 2 } });
    CHECK(sentTo<GrantWithdrawn>(effects, peer).size() == 1);
}

TEST_CASE_FIXTURE(PairFixture, "a grant that waited out a pause of the process is not used")
{
    moveServersToPeer();
    step(chat(1, "lookup"));
    now += timing::leasePeriod + 1ms;
    receiveGrant(1, 5);
    CHECK(count<StartAttempt>() == 0);
    CHECK(sentTo<LeaseReleased>(effects, peer).size() == 1);
    REQUIRE(sentTo<GrantRequest>(effects, peer).size() == 1);
    receiveGrant(1, 6);
    CHECK(only<StartAttempt>().notAfter == now + timing::leasePeriod);
}

TEST_CASE_FIXTURE(PairFixture, "nothing is sent for an answer that is already worthless")
{
    moveServersToPeer();
    step(chat(1, "gate"));
    advance(2900ms);
    now += 200ms;
    receiveGrant(1, 5);
    CHECK(count<StartAttempt>() == 0);
    CHECK(only<RefuseRequest>().code == ResultCode::AnswerLate);
    CHECK(only<RefuseRequest>().outcome == Outcome::NotRun);
    CHECK(sentTo<LeaseReleased>(effects, peer).size() == 1);
}

TEST_CASE_FIXTURE(PairFixture, "a silent owner is asked again, with what is left of the time")
{
    moveServersToPeer();
    step(payment(1, ""));
    const auto first = sentTo<GrantRequest>(effects, peer);
    REQUIRE(first.size() == 1);
    advance(timing::grantResponseTimeout + 40ms);
    CHECK(sentTo<GrantWithdrawn>(tickEffects, peer).size() == 1);
    const auto again = sentTo<GrantRequest>(tickEffects, peer);
    REQUIRE(again.size() == 1);
    CHECK(again.front().queueBound < first.front().queueBound);
    CHECK(again.front().answerTimeLeft < first.front().answerTimeLeft);
    receive(GrantShed{ again.front().id, ResultCode::TargetUnreachable, 1s });
    CHECK(only<RefuseRequest>().outcome == Outcome::NotRun);
}

TEST_CASE_FIXTURE(PairFixture, "a request that was written once is never told not run")
{
    moveServersToPeer();
    step(chat(1, "lookup"));
    receiveGrant(1, 5);
    step(AttemptFailed{ only<StartAttempt>().attempt, true });
    tickEffects = effects;
    advance(2s);
    REQUIRE(sentTo<GrantRequest>(tickEffects, peer).size() == 1);
    receive(GrantShed{ { world.self().id, RequestId{ 1 } }, ResultCode::QueueFull, 1s });
    CHECK(only<RefuseRequest>().outcome == Outcome::Unknown);
}

TEST_CASE_FIXTURE(WorldFixture, "a stopping host joins, replays and burns, and starts nothing new")
{
    step(KeyRequested{ RequestId{ 1 } });
    const std::string used = only<KeyIssued>().key;
    step(KeyRequested{ RequestId{ 2 } });
    const std::string unused = only<KeyIssued>().key;
    step(payment(3, used));
    const auto start = only<StartAttempt>();
    step(StopRequested{});
    step(payment(4, used));
    CHECK(count<RefuseRequest>() == 0);
    step(payment(5, unused));
    CHECK(only<RefuseRequest>().outcome == Outcome::NotRun);
    step(KeyStateQueried{ RequestId{ 6 }, unused, false });
    CHECK(only<KeyStateReported>().state == KeyState::Revoked);
    step(AttemptHead{ start.attempt, 200, false });
    step(AttemptDone{ start.attempt });
    CHECK(only<ReplayAnswer>().request == RequestId{ 4 });
    CHECK(count<StopCompleted>() == 1);
    step(payment(7, used));
    CHECK(only<ReplayAnswer>().request == RequestId{ 7 });
}

TEST_CASE_FIXTURE(WorldFixture,
                  "a faulty copy of a keyed request never hears not run for a key in use")
{
    step(KeyRequested{ RequestId{ 1 } });
    const std::string key = only<KeyIssued>().key;
    step(payment(2, key));
    RequestArrived copy = payment(3, key);
    copy.className = "no-such-class";
    step(copy);
    CHECK(count<RefuseRequest>() == 0);
    step(payment(4, key, 8));
    CHECK(only<RefuseRequest>().outcome == Outcome::Unknown);
}

TEST_CASE_FIXTURE(WorldFixture, "a keyed request refused for its own fault burns its key")
{
    step(KeyRequested{ RequestId{ 1 } });
    const std::string key = only<KeyIssued>().key;
    RequestArrived faulty = payment(2, key);
    faulty.workspace = "nobody";
    step(faulty);
    CHECK(only<RefuseRequest>().outcome == Outcome::NotRun);
    step(payment(3, key));
    CHECK(count<StartAttempt>() == 0);
    CHECK(only<RefuseRequest>().code == ResultCode::KeyBurnt);
}

TEST_CASE_FIXTURE(PairFixture, "a duplicate keeps a request whose first caller left")
{
    moveServersToPeer();
    step(KeyRequested{ RequestId{ 1 } });
    const std::string key = only<KeyIssued>().key;
    step(payment(2, key));
    step(payment(3, key));
    step(CallerDisconnected{ RequestId{ 2 } });
    CHECK(count<RefuseRequest>() == 0);
    receiveGrant(2, 5);
    step(AttemptDone{ only<StartAttempt>().attempt });
    CHECK(only<ReplayAnswer>().request == RequestId{ 3 });
    CHECK(world.requestsInProgress() == 0);
}
