#include <currantreel/Admission>
#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace currantreel;

namespace {

QueuedGrantRequest grantOf(std::uint64_t request, Tier tier, int deadlineMilliseconds)
{
    QueuedGrantRequest grant;
    grant.request.id = GrantId{ HostId{ 1 }, RequestId{ request } };
    grant.request.tier = tier;
    grant.firstTokenDeadline = TimePoint(std::chrono::milliseconds(deadlineMilliseconds));
    grant.grantDeadline = TimePoint(std::chrono::hours(1));
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

TEST_CASE(
    "a floor grant never delays a higher tier by more than one grant, and every floor is paid")
{
    const std::vector<std::uint32_t> floors{ 0, 0, 50, 30, 20 };
    TieredQueue queue(floors);
    std::uint64_t next = 1;
    for (Tier tier = 0; tier < tierCount; ++tier) {
        for (int i = 0; i < 1000; ++i)
            queue.push(grantOf(next++, tier, i));
    }
    TierCounts granted{};
    bool wasFloor = false;
    for (int i = 0; i < 1000; ++i) {
        const Tier best = *queue.highestTier();
        const Tier tier = queue.pop(TimePoint())->request.tier;
        CHECK_FALSE((wasFloor && tier != best));
        wasFloor = tier != best;
        ++granted.at(tier);
    }
    for (Tier tier = 1; tier < tierCount; ++tier)
        CHECK(granted.at(tier) >= floors[tier]);
}

TEST_CASE("a tier without a floor is granted after a bounded wait")
{
    TieredQueue queue;
    queue.push(grantOf(1, 4, 0));
    for (std::uint64_t i = 2; i < 100; ++i)
        queue.push(grantOf(i, 0, 0));
    CHECK(queue.pop(TimePoint())->request.tier == 0);
    CHECK(queue.pop(TimePoint(TieredQueue::maxTierWait))->request.tier == 4);
    CHECK(queue.pop(TimePoint(TieredQueue::maxTierWait))->request.tier == 0);
}

TEST_CASE("a workspace with ten times the requests does not starve a small one of the same tier")
{
    TieredQueue queue;
    for (std::uint64_t i = 1; i <= 1100; ++i) {
        QueuedGrantRequest grant = grantOf(i, 1, static_cast<int>(i));
        grant.request.workspace = WorkspaceId{ i <= 1000 ? 1U : 2U };
        queue.push(grant);
    }
    int small = 0;
    for (int i = 0; i < 200; ++i)
        small += queue.pop(TimePoint())->request.workspace == WorkspaceId{ 2 } ? 1 : 0;
    // Equal shares are 100 of 200; the deadlines may shift at most the allowance.
    CHECK(small >= 96);
}

TEST_CASE("grants of a tier follow the shares of the workspaces that wait")
{
    TieredQueue queue;
    for (std::uint64_t i = 1; i <= 1000; ++i) {
        QueuedGrantRequest grant = grantOf(i, 1, 5);
        grant.request.workspace = WorkspaceId{ 1 + i % 2 };
        grant.request.share = i % 2 == 0 ? 3.0 : 1.0;
        queue.push(grant);
    }
    int large = 0;
    for (int i = 0; i < 400; ++i)
        large += queue.pop(TimePoint())->request.workspace == WorkspaceId{ 1 } ? 1 : 0;
    CHECK(large >= 294);
    CHECK(large <= 306);
}

TEST_CASE("a late grant does not make the next one late, and work that is worthless late expires")
{
    TieredQueue queue;
    queue.push(grantOf(1, 1, 10));
    queue.push(grantOf(2, 1, 60));
    QueuedGrantRequest worthless = grantOf(3, 1, 30);
    worthless.request.isWorthlessWhenLate = true;
    worthless.expectedTimeToFirstToken = std::chrono::milliseconds(10);
    queue.push(worthless);
    const TimePoint now{ std::chrono::milliseconds(25) };
    CHECK(queue.popExpired(now)->request.id.request == RequestId{ 3 });
    CHECK_FALSE(queue.popExpired(now).has_value());
    CHECK(queue.pop(now)->request.id.request == RequestId{ 2 });
    CHECK(queue.pop(now)->request.id.request == RequestId{ 1 });
}

TEST_CASE("random operations lose no grant and give each one out once")
{
    std::mt19937 random(11);
    TieredQueue queue({ 0, 0, 50, 30, 20 });
    std::set<std::uint64_t> waiting;
    const auto give = [&](const std::optional<QueuedGrantRequest> &grant) {
        if (grant)
            CHECK(waiting.erase(grant->request.id.request.value) == 1);
    };
    for (std::uint64_t i = 1; i <= 20'000; ++i) {
        const TimePoint now{ std::chrono::milliseconds(i) };
        QueuedGrantRequest grant = grantOf(i, static_cast<Tier>(random() % tierCount),
                                           static_cast<int>(i + random() % 3000));
        grant.queuedAt = now;
        grant.request.workspace = WorkspaceId{ 1 + random() % 50 };
        grant.request.share = 1.0 + static_cast<double>(random() % 4);
        grant.request.isWorthlessWhenLate = random() % 4 == 0;
        grant.grantDeadline = now + std::chrono::milliseconds(random() % 4000);
        queue.push(grant);
        waiting.insert(i);
        if (random() % 3 != 0)
            give(queue.pop(now));
        if (random() % 5 == 0)
            give(queue.popVictim(static_cast<Tier>(random() % tierCount)));
        give(queue.popExpired(now));
        const std::uint64_t withdrawn = 1 + random() % i;
        CHECK(queue.remove(GrantId{ HostId{ 1 }, RequestId{ withdrawn } })
              == (waiting.erase(withdrawn) == 1));
        CHECK(queue.size() == waiting.size());
    }
}
