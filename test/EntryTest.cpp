#include "WorldFixture.h"

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

/// A fixture that knows a second host.
struct PairFixture : WorldFixture
{
    PairFixture()
    {
        HostEntry entry;
        entry.id = peer;
        entry.name = "a-2";
        entry.failureDomain = FailureDomainId::ofName("a");
        step(HostListRead{ { entry }, {} });
    }

    const EffectList &receive(PeerMessage message)
    {
        return step(PeerMessageReceived{ peer, std::move(message) });
    }

    HostId peer = HostId::ofName("a-2");
    BackendServerId engine = BackendServerId::ofName("engine-1");
    GrantId grant(std::uint64_t request) const
    {
        return GrantId{ world.self().id, RequestId{ request } };
    }
};

} // namespace

TEST_CASE_FIXTURE(PairFixture, "a grant that was not asked for goes back to the host that gave it")
{
    step(chat(1, "gate"));
    const auto start = only<StartAttempt>();
    receive(Granted{ grant(1), LeaseId{ 77 }, engine, 3s });
    CHECK(count<StartAttempt>() == 0);
    const auto released = sentTo<LeaseReleased>(effects, peer);
    REQUIRE(released.size() == 1);
    CHECK(released.front().lease == LeaseId{ 77 });
    step(AttemptDone{ start.attempt });
    CHECK(count<FinishReply>() == 1);
}
