#include "ForwardFixture.h"

using namespace test;

namespace {

/// A host in a graceful shutdown whose streams took up to 4 s lately.
class StoppingHost : public ForwardFixture
{
public:
    StoppingHost()
    {
        addServer("engine-1", "engines");
        addServer("ledger-1", "ledger");
        call("/gate/1", "key", promptOf(1, 100, 20, 2));
        const auto stream = last<StartForward>();
        system.onWritten(stream.attempt);
        for (int i = 0; i < 40; ++i) {
            events(stream.attempt);
            advance(100ms);
        }
        answer(stream.attempt, 200);
        system.beginStop(now, now + 7500ms);
    }

    /// Whether a request that arrives now is sent to a server.
    bool isTaken(const std::string &path, Prompt prompt = {}, Duration timeout = Duration::zero())
    {
        const std::size_t sent = all<StartForward>().size();
        const RequestId id = call(path, "key", std::move(prompt), timeout);
        if (all<StartForward>().size() > sent)
            return true;
        const auto refusal = last<RefuseForward>();
        CHECK(refusal.request == id);
        CHECK(refusal.code == ResultCode::Stopping);
        CHECK(refusal.outcome == Outcome::NotRun);
        CHECK(refusal.retryAfter > Duration::zero());
        return false;
    }
};

} // namespace

TEST_CASE("a stream that would probably outlast a graceful shutdown is refused as not run")
{
    StoppingHost host;
    CHECK(host.isTaken("/gate/1", promptOf(1, 100, 20, 3)));
    host.advance(2900ms);
    CHECK(host.isTaken("/gate/1", promptOf(1, 100, 20, 4)));
    host.advance(200ms);
    CHECK_FALSE(host.isTaken("/gate/1", promptOf(1, 100, 20, 5)));
}

TEST_CASE("late in a graceful shutdown no stream is taken on the ground of how long others took")
{
    StoppingHost host;
    for (int i = 0; i < 40; ++i) {
        host.advance(50ms);
        host.call("/summary/1", "key", promptOf(1, 100, 20, 100 + static_cast<unsigned>(i)));
        const auto stream = host.last<StartForward>();
        host.events(stream.attempt);
        host.answer(stream.attempt, 200);
    }
    CHECK(host.isTaken("/summary/1", promptOf(1, 100, 20, 3)));
    host.advance(1100ms);
    CHECK_FALSE(host.isTaken("/summary/1", promptOf(1, 100, 20, 4)));
    CHECK(host.isTaken("/summary/1", promptOf(1, 100, 20, 5), 4s));
}

TEST_CASE("late in a graceful shutdown a request that may run once is taken if its time limit fits")
{
    StoppingHost host;
    host.advance(6600ms);
    CHECK(host.isTaken("/pay/1"));
    host.advance(200ms);
    CHECK_FALSE(host.isTaken("/pay/1"));
    CHECK(host.isTaken("/pay/1", {}, 300ms));
}

TEST_CASE("a route of which nothing was completed lately is judged by its time limit")
{
    StoppingHost host;
    host.advance(2400ms);
    CHECK(host.isTaken("/summary/1", promptOf(1, 100, 20, 3)));
    host.advance(200ms);
    CHECK_FALSE(host.isTaken("/summary/1", promptOf(1, 100, 20, 4)));
}

TEST_CASE("at the end of a graceful shutdown each request that is left gets an answer that is true")
{
    StoppingHost host;
    const RequestId sent = host.call("/pay/1");
    host.system.onWritten(host.last<StartForward>().attempt);
    const RequestId unsent = host.call("/pay/2");
    host.call("/gate/1", "key", promptOf(1, 100, 20, 3));
    const auto stream = host.last<StartForward>();
    host.system.onWritten(stream.attempt);
    host.events(stream.attempt);
    host.system.endAll(host.now);
    host.collectEffects();
    CHECK(host.system.size() == 0);
    CHECK(host.last<AbortForward>().request == stream.request);
    const auto refusals = host.all<RefuseForward>();
    REQUIRE(refusals.size() == 2);
    for (const RefuseForward &refusal : refusals) {
        CHECK(refusal.code == ResultCode::Stopping);
        CHECK((refusal.request == sent || refusal.request == unsent));
        CHECK(refusal.outcome == (refusal.request == sent ? Outcome::Unknown : Outcome::NotRun));
    }
}

TEST_CASE("the longest duration of a route is forgotten after a while")
{
    RouteDurations durations;
    TimePoint now{ 1h };
    CHECK_FALSE(durations.longest(now, "gate").has_value());
    durations.add(now, "gate", 4s);
    now += RouteDurations::window;
    durations.add(now, "gate", 1s);
    CHECK(durations.longest(now, "gate") == Duration(4s));
    now += RouteDurations::window;
    durations.add(now, "gate", 2s);
    CHECK(durations.longest(now, "gate") == Duration(2s));
    now += 2 * RouteDurations::window;
    CHECK_FALSE(durations.longest(now, "gate").has_value());
}
