#include "ForwardFixture.h"

using namespace test;

namespace {

constexpr std::uint64_t culprit = 0xbad;

/// Servers that end one after the other under requests with the segment `culprit`.
class EndingServers : public ForwardFixture
{
public:
    EndingServers()
    {
        for (int i = 0; i < 6; ++i)
            addServer("engine-" + std::to_string(i), "engines");
    }

    /// Sends a stream with the culprit and a segment of its own, and ends the server under it.
    StartForward endServer(const std::string &path = "/gate/1")
    {
        call(path, "key", promptOf(culprit, 100, 10, ++m_nextOwn));
        auto start = last<StartForward>();
        advance(100ms);
        fail(start.attempt, AttemptFailure::Broken);
        check(ServerRunState::Ended);
        return start;
    }

    void check(ServerRunState state)
    {
        system.onServerRunChecked(now, last<CheckServerRun>().run, state);
        collectEffects();
    }

    /// A request for @p document is answered completely.
    void prove(std::uint64_t document)
    {
        call("/gate/1", "key", promptOf(document, 100, 10, ++m_nextOwn));
        const auto start = last<StartForward>();
        advance(10ms);
        events(start.attempt);
        answer(start.attempt, 200);
    }

    std::uint64_t nextOwn() { return ++m_nextOwn; }

private:
    std::uint64_t m_nextOwn = 0x1000;
};

} // namespace

TEST_CASE("requests with a segment under which servers ended reach no further server")
{
    EndingServers fixture;
    for (int i = 0; i < 3; ++i) {
        fixture.endServer();
        fixture.advance(1s);
    }
    const std::size_t sent = fixture.all<StartForward>().size();
    CHECK(sent == 3);
    for (int i = 0; i < 20; ++i) {
        fixture.call("/gate/1", "key", promptOf(culprit, 100, 10, fixture.nextOwn()));
        fixture.advance(200ms);
    }
    CHECK(fixture.all<StartForward>().size() == sent);
    const auto refusal = fixture.last<RefuseForward>();
    CHECK(refusal.code == ResultCode::RequestQuarantined);
    CHECK(refusal.outcome == Outcome::NotRun);
    CHECK(refusal.retryAfter > 5min);
    fixture.call("/gate/1", "key", promptOf(0xd0c, 100, 10, fixture.nextOwn()));
    CHECK(fixture.all<StartForward>().size() == sent + 1);
}

TEST_CASE("requests in progress when their segment is quarantined are withdrawn, as unknown")
{
    EndingServers fixture;
    fixture.endServer();
    fixture.endServer();
    fixture.advance(1s);
    const RequestId waiting =
        fixture.call("/gate/1", "key", promptOf(culprit, 100, 10, fixture.nextOwn()));
    const auto start = fixture.last<StartForward>();
    fixture.system.onWritten(start.attempt);
    fixture.endServer();
    const auto refusal = fixture.last<RefuseForward>();
    CHECK(refusal.code == ResultCode::RequestQuarantined);
    bool isWithdrawn = false;
    for (const auto &cancelled : fixture.all<CancelForward>())
        isWithdrawn = isWithdrawn || cancelled.attempt == start.attempt;
    CHECK(isWithdrawn);
    for (const auto &each : fixture.all<RefuseForward>()) {
        if (each.request == waiting)
            CHECK(each.outcome == Outcome::Unknown);
    }
}

TEST_CASE(
    "a request under which a server ended is not sent to a second one while its segment is suspect")
{
    EndingServers fixture;
    fixture.endServer();
    fixture.advance(2s);
    CHECK(fixture.all<StartForward>().size() == 1);
    const auto refusal = fixture.last<RefuseForward>();
    CHECK(refusal.code == ResultCode::BackendServerLost);
    CHECK(refusal.outcome == Outcome::Unknown);
}

TEST_CASE(
    "a resumed stream that began just before its server ended is held back like one without events")
{
    EndingServers fixture;
    fixture.call("/gate/1", "key", promptOf(culprit, 100, 10, fixture.nextOwn()));
    const auto start = fixture.last<StartForward>();
    fixture.system.onWritten(start.attempt);
    fixture.advance(100ms);
    fixture.events(start.attempt);
    fixture.advance(50ms);
    fixture.fail(start.attempt, AttemptFailure::Broken);
    fixture.check(ServerRunState::Ended);
    fixture.advance(2s);
    CHECK(fixture.all<StartForward>().size() == 1);
    CHECK(fixture.all<AbortForward>().size() == 1);
}

TEST_CASE("a sound request that breaks with a server is sent again")
{
    EndingServers fixture;
    SUBCASE("at once, if its segments were answered before")
    {
        fixture.prove(0xd0c);
        const std::size_t sent = fixture.all<StartForward>().size();
        fixture.call("/gate/1", "key", promptOf(0xd0c, 100, 10, fixture.nextOwn()));
        fixture.fail(fixture.last<StartForward>().attempt, AttemptFailure::Broken);
        CHECK(fixture.all<StartForward>().size() == sent + 2);
    }
    SUBCASE("once its server is seen to run")
    {
        fixture.call("/gate/1", "key", promptOf(0xd0c, 100, 10, fixture.nextOwn()));
        fixture.fail(fixture.last<StartForward>().attempt, AttemptFailure::Broken);
        CHECK(fixture.all<StartForward>().size() == 1);
        fixture.check(ServerRunState::Running);
        CHECK(fixture.all<StartForward>().size() == 2);
    }
    SUBCASE("once the check of its server stays without result")
    {
        fixture.call("/gate/1", "key", promptOf(0xd0c, 100, 10, fixture.nextOwn()));
        fixture.fail(fixture.last<StartForward>().attempt, AttemptFailure::Broken);
        fixture.advance(400ms);
        CHECK(fixture.all<StartForward>().size() == 2);
    }
    SUBCASE("once another host reports that its segments are sound")
    {
        fixture.call("/gate/1", "key", promptOf(0xd0c, 100, 10, fixture.nextOwn()));
        fixture.fail(fixture.last<StartForward>().attempt, AttemptFailure::Broken);
        fixture.check(ServerRunState::Ended);
        CHECK(fixture.all<StartForward>().size() == 1);
        SegmentReports reports;
        reports.reports = { SegmentReport{ 0xd0c, {}, 0ms } };
        fixture.system.onSegmentReports(fixture.now, reports);
        fixture.collectEffects();
        CHECK(fixture.all<StartForward>().size() == 2);
    }
    SUBCASE("if others cannot share any of its segments")
    {
        Prompt prompt = promptOf(1, 100, 10, 2);
        prompt.segments.erase(prompt.segments.begin());
        fixture.call("/gate/1", "key", prompt);
        fixture.fail(fixture.last<StartForward>().attempt, AttemptFailure::Broken);
        CHECK(fixture.all<StartForward>().size() == 2);
    }
}

TEST_CASE("streams that have been answered for a while are no evidence")
{
    EndingServers fixture;
    for (int i = 0; i < 4; ++i) {
        fixture.call("/summary/1", "key", promptOf(0xd0c, 100, 10, fixture.nextOwn()));
        const auto start = fixture.last<StartForward>();
        fixture.events(start.attempt);
        fixture.advance(400ms);
        fixture.events(start.attempt);
        fixture.fail(start.attempt, AttemptFailure::Broken);
        fixture.advance(500ms);
    }
    CHECK(fixture.all<CheckServerRun>().empty());
    CHECK(fixture.system.quarantine().quarantined(fixture.now) == 0);
}

TEST_CASE("connections that break while their servers run quarantine nothing")
{
    EndingServers fixture;
    for (int i = 0; i < 10; ++i) {
        fixture.call("/summary/1", "key", promptOf(0xd0c, 100, 10, fixture.nextOwn()));
        fixture.fail(fixture.last<StartForward>().attempt, AttemptFailure::Broken);
        fixture.check(i % 2 == 0 ? ServerRunState::Running : ServerRunState::Unknown);
        fixture.advance(500ms);
    }
    CHECK(fixture.system.quarantine().quarantined(fixture.now) == 0);
}
