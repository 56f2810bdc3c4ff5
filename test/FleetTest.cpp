#include "FleetFixture.h"

using namespace test;

namespace {

/// Stated bound on the time from a crash to the takeover.
constexpr Duration takeoverBound = 3s;

} // namespace

TEST_CASE("hosts agree on one owner, and an entry is granted by another host")
{
    WorldFleet fleet(3);
    fleet.advance(2s);
    const HostId owner = fleet.owner(fleet.list[0].id);
    for (const HostEntry &host : fleet.list)
        CHECK(fleet.owner(host.id) == owner);
    const HostId entry = fleet.otherThan(owner);
    fleet.step(entry, { fleet.chat(1, "gate"), fleet.chat(2, "gate"), fleet.chat(3, "gate") });
    fleet.advance(100ms);
    CHECK(fleet.started.size() == 2);
    CHECK(fleet.worlds.at(owner)->owner().inFlight(BackendServerId::ofName("engine-1")) == 2);
    CHECK(fleet.worlds.at(owner)->owner().queued() == 1);
}

TEST_CASE("an owner killed with a full queue: another takes over, nothing is lost or doubled")
{
    WorldFleet fleet(3);
    fleet.advance(2s);
    const HostId owner = fleet.owner(fleet.list[0].id);
    const HostId entry = fleet.otherThan(owner);
    // Two run, and two wait at the owner when it dies.
    for (std::uint64_t i = 1; i <= 4; ++i)
        fleet.step(entry, { fleet.chat(i, "gate") });
    fleet.advance(100ms);
    REQUIRE(fleet.started.size() == 2);
    fleet.worlds.erase(owner);
    const TimePoint killed = fleet.now;
    while (fleet.owner(entry) == owner && fleet.now - killed < 10s)
        fleet.advance(20ms);
    CHECK(fleet.now - killed <= takeoverBound);
    fleet.advance(1100ms);
    // The new owner knows what runs from the renewals.
    const HostId heir = fleet.owner(entry);
    CHECK(fleet.worlds.at(heir)->owner().inFlight(BackendServerId::ofName("engine-1")) >= 2);
    for (const auto &[request, attempts] : fleet.started)
        CHECK(attempts.size() == 1);
    for (const auto &[request, attempts] : std::map(fleet.started))
        fleet.step(entry, { AttemptDone{ attempts.front() } });
    fleet.advance(4s);
    // Each request was started once or truthfully refused.
    for (std::uint64_t i = 1; i <= 4; ++i) {
        const RequestId request{ i };
        const bool isStarted = fleet.started.contains(request);
        CHECK(isStarted != fleet.refused.contains(request));
        if (isStarted)
            CHECK(fleet.started.at(request).size() == 1);
        else
            CHECK(fleet.refused.at(request) == Outcome::NotRun);
    }
}

TEST_CASE("two owners at once cost oversubscription and no more")
{
    WorldFleet fleet(2);
    fleet.advance(2s);
    const HostId first = fleet.list[0].id;
    const HostId second = fleet.list[1].id;
    fleet.cut = { { first, second }, { second, first } };
    fleet.advance(8s);
    CHECK(fleet.owner(first) == first);
    CHECK(fleet.owner(second) == second);
    for (std::uint64_t i = 1; i <= 4; ++i) {
        fleet.step(first, { fleet.chat(i, "lookup") });
        fleet.step(second, { fleet.chat(100 + i, "lookup") });
    }
    fleet.advance(200ms);
    MESSAGE(fleet.started.size() << " running on 2 slots");
    // Two views of two slots can at most double what runs, and each request runs once.
    CHECK(fleet.started.size() <= 4);
    for (const auto &[request, attempts] : fleet.started)
        CHECK(attempts.size() == 1);
    fleet.cut.clear();
    fleet.advance(5s);
    CHECK(fleet.owner(first) == fleet.owner(second));
}

TEST_CASE("a planned stop passes the queue on and ends without loss")
{
    WorldFleet fleet(3);
    fleet.advance(2s);
    const HostId owner = fleet.owner(fleet.list[0].id);
    const HostId entry = fleet.otherThan(owner);
    for (std::uint64_t i = 1; i <= 3; ++i)
        fleet.step(entry, { fleet.chat(i, "lookup") });
    fleet.advance(100ms);
    REQUIRE(fleet.started.size() == 2);
    fleet.step(owner, { StopRequested{} });
    CHECK_FALSE(fleet.worlds.at(owner)->isReady());
    fleet.advance(1s);
    CHECK(fleet.stopped.contains(owner));
    CHECK(fleet.owner(entry) != owner);
    CHECK(fleet.worlds.at(owner)->owner().queued() == 0);
    for (const auto &[request, attempts] : std::map(fleet.started))
        fleet.step(entry, { AttemptDone{ attempts.front() } });
    fleet.advance(1s);
    CHECK(fleet.started.size() == 3);
    CHECK(fleet.refused.empty());
}
