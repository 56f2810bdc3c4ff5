#include "ConfigurationFleetFixture.h"

using namespace test;

namespace {

/// Calls that the platform takes, all readers together.
constexpr std::size_t platformCallsPerSecond = 2'000;

const FailureDomainId firstDomain{ 1 };

/// Most calls of one second while the fleet starts, and calls a second afterwards.
struct CallRates
{
    std::size_t highestAtStart = 0;
    double steady = 0;
};

CallRates measureCalls(std::size_t size)
{
    ConfigurationFleet fleet(size);
    CallRates rates;
    for (int second = 0; second < 20; ++second) {
        const std::size_t before = fleet.calls;
        fleet.advance(1s);
        rates.highestAtStart = std::max(rates.highestAtStart, fleet.calls - before);
    }
    CHECK(fleet.areCaughtUp());
    CHECK(fleet.haveVersion(1));
    const std::size_t before = fleet.calls;
    fleet.advance(60s);
    rates.steady = static_cast<double>(fleet.calls - before) / 60.0;
    fleet.platform.publish(2, addWorkspace(1, "new"));
    fleet.advance(5s);
    CHECK(fleet.haveVersion(2));
    return rates;
}

} // namespace

TEST_CASE("calls on the platform grow far below the fleet and a patch is in force within 5 s")
{
    const CallRates small = measureCalls(10);
    const CallRates middle = measureCalls(60);
    const CallRates large = measureCalls(470);
    MESSAGE("calls a second, highest at start: ", small.highestAtStart, ", ", middle.highestAtStart,
            ", ", large.highestAtStart);
    MESSAGE("calls a second, steady: ", small.steady, ", ", middle.steady, ", ", large.steady);
    CHECK(large.highestAtStart < platformCallsPerSecond);
    // 47 times the hosts, and no more than twice the calls.
    CHECK(large.steady <= 2 * small.steady);
}

TEST_CASE("a host that is alone turns ready")
{
    ConfigurationFleet fleet(1);
    fleet.advance(5s);
    CHECK(fleet.haveVersion(1));
    CHECK(fleet.hosts.front()->system.isCaughtUp());
}

TEST_CASE("a fleet that starts while the platform is down catches up when it is back")
{
    ConfigurationFleet fleet(470);
    fleet.platform.mode = FakePlatform::Mode::Down;
    std::size_t highest = 0;
    for (int second = 0; second < 40; ++second) {
        const std::size_t before = fleet.calls;
        fleet.advance(1s);
        highest = std::max(highest, fleet.calls - before);
    }
    CHECK(highest < platformCallsPerSecond);
    CHECK_FALSE(fleet.hosts.front()->system.isCaughtUp());
    fleet.platform.mode = FakePlatform::Mode::Up;
    fleet.advance(15s);
    CHECK(fleet.haveVersion(1));
}

TEST_CASE("a new host gets the highest version from peers while the platform is down or stale")
{
    for (const auto mode : { FakePlatform::Mode::Down, FakePlatform::Mode::Stale }) {
        ConfigurationFleet fleet(9);
        fleet.advance(5s);
        fleet.platform.publish(2, addWorkspace(1, "new", std::string(150'000, 'x')));
        fleet.platform.publish(3, addWorkspace(2, "newer"));
        fleet.advance(5s);
        REQUIRE(fleet.haveVersion(3));
        fleet.platform.mode = mode;
        fleet.platform.stalePosition = 1;
        fleet.addHost();
        ConfigurationFleet::Host &late = *fleet.hosts.back();
        for (const HostEntry &entry : fleet.list.hosts)
            late.context.hosts.insert(entry);
        const TimePoint begin = fleet.now;
        while (!late.system.isCaughtUp() && fleet.now < begin + 5s)
            fleet.advance(fleet.tick);
        CHECK(late.system.isCaughtUp());
        CHECK(late.context.configuration->version == 3);
        fleet.advance(60s);
        CHECK(fleet.haveVersion(3));
    }
}

TEST_CASE("a snapshot of several parts reaches all hosts, in pieces between them")
{
    ConfigurationFleet fleet(12);
    std::string document = smallConfiguration;
    for (int i = 0; i < 3'000; ++i)
        document += fmt::format("[[workspace]]\nname = \"w{}\"\ndefault_class = \"gate\"\n", i);
    std::size_t largest = 0;
    fleet.onMessage = [&](const PeerMessage &message) {
        if (const auto *part = std::get_if<SnapshotPart>(&message))
            largest = std::max(largest, part->bytes.size());
    };
    fleet.platform.publishSnapshot(1, document, 40'000);
    REQUIRE(fleet.platform.chunks > 2);
    fleet.advance(10s);
    CHECK(fleet.haveVersion(1));
    CHECK(fleet.hosts.back()->context.configuration->workspaces.size() == 3'001);
    CHECK(largest == messagePayloadBytes);
}

TEST_CASE("a domain cut off from all gets what it missed within 15 s of healing")
{
    ConfigurationFleet fleet(60);
    fleet.advance(10s);
    const auto isFirst = [](FailureDomainId domain) { return domain == firstDomain; };
    fleet.isCutFromPlatform = isFirst;
    fleet.isCutLink = [](FailureDomainId from, FailureDomainId to) { return from != to; };
    fleet.advance(30s);
    for (std::uint64_t number = 2; number < 42; ++number)
        fleet.platform.publish(number, addWorkspace(number - 1, fmt::format("w{}", number)));
    fleet.advance(5s);
    const auto isInFirst = [](const ConfigurationFleet::Host &host) {
        return host.context.self.failureDomain == firstDomain;
    };
    CHECK(fleet.haveVersion(41, [&](const auto &host) { return !isInFirst(host); }));
    CHECK(fleet.haveVersion(1, isInFirst));
    fleet.isCutLink = [](FailureDomainId, FailureDomainId) { return false; };
    fleet.advance(15s);
    CHECK(fleet.haveVersion(41));
}

TEST_CASE("hosts that hear peers but no platform, and a platform but no peers, both follow")
{
    ConfigurationFleet fleet(12);
    fleet.advance(10s);
    fleet.isCutFromPlatform = [](FailureDomainId domain) { return domain != firstDomain; };
    fleet.advance(60s);
    fleet.platform.publish(2, addWorkspace(1, "new"));
    fleet.advance(5s);
    CHECK(fleet.haveVersion(2));
    fleet.isCutFromPlatform = [](FailureDomainId) { return false; };
    fleet.isCutLink = [](FailureDomainId, FailureDomainId) { return true; };
    fleet.advance(10s);
    fleet.platform.publish(3, addWorkspace(2, "newer"));
    fleet.advance(60s);
    CHECK(fleet.haveVersion(3));
}

TEST_CASE("a flapping platform never lowers a version and every host reaches the last one")
{
    ConfigurationFleet fleet(30);
    fleet.advance(5s);
    std::uint64_t lowest = 0;
    for (std::uint64_t number = 2; number < 30; ++number) {
        fleet.platform.publish(number, addWorkspace(number - 1, fmt::format("w{}", number)));
        fleet.platform.mode = static_cast<FakePlatform::Mode>(number % 3);
        fleet.platform.stalePosition = number / 2;
        fleet.advance(700ms);
        const std::uint64_t version = fleet.hosts.back()->context.configuration->version;
        CHECK(version >= lowest);
        lowest = version;
    }
    fleet.platform.mode = FakePlatform::Mode::Up;
    fleet.advance(15s);
    CHECK(fleet.haveVersion(29));
}

TEST_CASE("all hosts keep the same audit trail, with both verdicts")
{
    ConfigurationFleet fleet(12);
    fleet.advance(5s);
    fleet.platform.publish(2, addWorkspace(1, "new"));
    fleet.platform.publish(3, addWorkspace(1, "stale"));
    fleet.advance(5s);
    for (const auto &host : fleet.hosts) {
        const ConfigurationLog &log = host->system.log();
        REQUIRE(log.trail().records().size() == 2);
        CHECK(log.trail().find(2)->author == "ayse");
        CHECK_FALSE(log.trail().find(2)->refusal);
        CHECK(log.trail().find(3)->refusal->code == ResultCode::PatchStaleBase);
        CHECK(log.trail().find(3)->version == 2);
        CHECK(log.digest() == fleet.hosts.front()->system.log().digest());
        CHECK(host->refusals == 1);
        CHECK_FALSE(host->system.hasDiverged());
    }
}
