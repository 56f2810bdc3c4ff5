#include "MembershipFixture.h"

using namespace test;

namespace {

/// Stated bound on the bytes of control messages a host sends in a second, at 470 hosts.
constexpr double bytesPerSecondBound = 3000.0;
/// Stated bound on the time from a crash to the takeover of the failure domain's servers.
constexpr Duration takeoverBound = 3s;

std::size_t liveViewers(MembershipFleet &fleet, std::size_t subject, std::size_t domains)
{
    std::size_t count = 0;
    for (std::size_t i = subject % domains; i < fleet.list.size(); i += domains) {
        if (i != subject && fleet.runs(i) && fleet.sees(i, subject))
            ++count;
    }
    return count;
}

} // namespace

TEST_CASE("470 hosts stay within the bytes a second and lose nobody at 5% loss")
{
    MembershipFleet fleet(470, 3);
    fleet.lossPercent = 5;
    fleet.advance(10s);
    const std::uint64_t before = fleet.bytes;
    fleet.advance(120s);
    const double rate = static_cast<double>(fleet.bytes - before) / 120.0 / 470.0;
    MESSAGE(fmt::format("{:.0f} bytes a second and host", rate));
    CHECK(rate <= bytesPerSecondBound);
    std::uint64_t deaths = 0;
    for (std::size_t i = 0; i < 470; ++i)
        deaths += fleet.at(i).detectedDeaths();
    CHECK(deaths == 0);
}

TEST_CASE("a crash is known in the whole failure domain in time")
{
    for (const std::size_t hosts : { 6U, 9U, 60U, 470U }) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            MembershipFleet fleet(hosts, 3, seed);
            fleet.advance(3s);
            fleet.kill(4);
            Duration detection{};
            while (liveViewers(fleet, 4, 3) > 0 && detection < 10s) {
                fleet.advance(20ms);
                detection += 20ms;
            }
            MESSAGE(fmt::format("{} hosts: {} ms", hosts, toMilliseconds(detection)));
            CHECK(detection <= takeoverBound);
        }
    }
}
