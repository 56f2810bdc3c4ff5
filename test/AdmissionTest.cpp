#include <currantreel/Admission>
#include <doctest/doctest.h>
#include <random>

using namespace currantreel;

namespace {

QueuedGrant grantOf(std::uint64_t request, Tier tier, int deadlineMilliseconds)
{
    QueuedGrant grant;
    grant.request.id = GrantId{ HostId{ 1 }, RequestId{ request } };
    grant.request.tier = tier;
    grant.firstTokenBy = TimePoint(std::chrono::milliseconds(deadlineMilliseconds));
    grant.grantBy = TimePoint(std::chrono::hours(1));
    return grant;
}

} // namespace

TEST_CASE("the earliest deadline of the highest tier goes first")
{
    TieredQueue queue;
    queue.push(grantOf(1, 2, 10));
    queue.push(grantOf(2, 0, 50));
    queue.push(grantOf(3, 0, 20));
    CHECK(queue.pop(TimePoint())->request.id.request == RequestId{ 3 });
    CHECK(queue.pop(TimePoint())->request.id.request == RequestId{ 2 });
    CHECK(queue.pop(TimePoint())->request.id.request == RequestId{ 1 });
    CHECK_FALSE(queue.pop(TimePoint()).has_value());
}

TEST_CASE("a victim is of the lowest tier present and below the newcomer")
{
    std::mt19937 random(7);
    for (int round = 0; round < 200; ++round) {
        TieredQueue queue;
        Tier lowest = 0;
        for (std::uint64_t i = 1; i <= 20; ++i) {
            const auto tier = static_cast<Tier>(random() % tierCount);
            lowest = std::max(lowest, tier);
            queue.push(grantOf(i, tier, static_cast<int>(random() % 1000)));
        }
        const auto newcomer = static_cast<Tier>(random() % tierCount);
        const auto victim = queue.popVictim(newcomer);
        CHECK(victim.has_value() == (lowest > newcomer));
        if (victim)
            CHECK(victim->request.tier == lowest);
    }
}

TEST_CASE("a tier with a floor is served although a higher one always waits")
{
    TieredQueue queue({ 0, 0, 0, 0, 100 });
    for (std::uint64_t i = 1; i <= 100; ++i)
        queue.push(grantOf(i, 0, static_cast<int>(i)));
    for (std::uint64_t i = 101; i <= 120; ++i)
        queue.push(grantOf(i, 4, static_cast<int>(i)));
    int lowGrants = 0;
    for (int i = 0; i < 100; ++i)
        lowGrants += queue.pop(TimePoint())->request.tier == 4 ? 1 : 0;
    CHECK(lowGrants >= 9);
    CHECK(lowGrants <= 11);
}
