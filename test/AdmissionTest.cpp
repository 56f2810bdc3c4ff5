#include <currantreel/Admission>
#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace currantreel;

namespace {

QueuedGrantRequest makeRequest(std::uint64_t request, Tier tier, int deadlineMilliseconds)
{
    QueuedGrantRequest queued;
    queued.request.id = GrantId{ HostId{ 1 }, RequestId{ request } };
    queued.request.tier = tier;
    queued.firstTokenDeadline = TimePoint(std::chrono::milliseconds(deadlineMilliseconds));
    queued.grantDeadline = TimePoint(std::chrono::hours(1));
    return queued;
}

} // namespace

TEST_CASE("the earliest deadline of the highest tier goes first")
{
    TieredQueue queue;
    queue.push(makeRequest(1, 2, 10));
    queue.push(makeRequest(2, 0, 50));
    queue.push(makeRequest(3, 0, 20));
    CHECK(queue.pop(TimePoint())->request.id.request == RequestId{ 3 });
    CHECK(queue.pop(TimePoint())->request.id.request == RequestId{ 2 });
    CHECK(queue.pop(TimePoint())->request.id.request == RequestId{ 1 });
    CHECK_FALSE(queue.pop(TimePoint()).has_value());
}

TEST_CASE("a victim is of the lowest tier present and below the incoming request")
{
    std::mt19937 random(7);
    for (int round = 0; round < 200; ++round) {
        TieredQueue queue;
        Tier lowest = 0;
        for (std::uint64_t i = 1; i <= 20; ++i) {
            const auto tier = static_cast<Tier>(random() % tierCount);
            lowest = std::max(lowest, tier);
            queue.push(makeRequest(i, tier, static_cast<int>(random() % 1000)));
        }
        const auto incoming = static_cast<Tier>(random() % tierCount);
        const auto victim = queue.popVictim(incoming);
        CHECK(victim.has_value() == (lowest > incoming));
        if (victim)
            CHECK(victim->request.tier == lowest);
    }
}

TEST_CASE("a tier with a floor gets grants although a higher one always has requests queued")
{
    TieredQueue queue({ 0, 0, 0, 0, 100 });
    for (std::uint64_t i = 1; i <= 100; ++i)
        queue.push(makeRequest(i, 0, static_cast<int>(i)));
    for (std::uint64_t i = 101; i <= 120; ++i)
        queue.push(makeRequest(i, 4, static_cast<int>(i)));
    int lowTierGrants = 0;
    for (int i = 0; i < 100; ++i)
        lowTierGrants += queue.pop(TimePoint())->request.tier == 4 ? 1 : 0;
    CHECK(lowTierGrants >= 9);
    CHECK(lowTierGrants <= 11);
}

TEST_CASE("a floor grant never delays a higher tier by more than one grant, and every floor is met")
{
    const std::vector<std::uint32_t> floors{ 0, 0, 50, 30, 20 };
    TieredQueue queue(floors);
    std::uint64_t next = 1;
    for (Tier tier = 0; tier < tierCount; ++tier) {
        for (int i = 0; i < 1000; ++i)
            queue.push(makeRequest(next++, tier, i));
    }
    TierCounts granted{};
    bool wasFloorGrant = false;
    for (int i = 0; i < 1000; ++i) {
        const Tier highest = *queue.highestTier();
        const Tier tier = queue.pop(TimePoint())->request.tier;
        CHECK_FALSE((wasFloorGrant && tier != highest));
        wasFloorGrant = tier != highest;
        ++granted.at(tier);
    }
    for (Tier tier = 1; tier < tierCount; ++tier)
        CHECK(granted.at(tier) >= floors[tier]);
}

TEST_CASE("a tier without a floor is granted after a bounded wait")
{
    TieredQueue queue;
    queue.push(makeRequest(1, 4, 0));
    for (std::uint64_t i = 2; i < 100; ++i)
        queue.push(makeRequest(i, 0, 0));
    CHECK(queue.pop(TimePoint())->request.tier == 0);
    CHECK(queue.pop(TimePoint(TieredQueue::maxTierWait))->request.tier == 4);
    CHECK(queue.pop(TimePoint(TieredQueue::maxTierWait))->request.tier == 0);
}

TEST_CASE("a workspace with ten times the requests does not starve a small one of the same tier")
{
    TieredQueue queue;
    for (std::uint64_t i = 1; i <= 1100; ++i) {
        QueuedGrantRequest queued = makeRequest(i, 1, static_cast<int>(i));
        queued.request.workspace = WorkspaceId{ i <= 1000 ? 1U : 2U };
        queue.push(queued);
    }
    int smallGrants = 0;
    for (int i = 0; i < 200; ++i)
        smallGrants += queue.pop(TimePoint())->request.workspace == WorkspaceId{ 2 } ? 1 : 0;
    // Equal shares are 100 of 200 grants, from which deadlines shift at most the allowance.
    CHECK(smallGrants >= 96);
}

TEST_CASE("grants of a tier are in proportion to the shares of the workspaces")
{
    TieredQueue queue;
    for (std::uint64_t i = 1; i <= 1000; ++i) {
        QueuedGrantRequest queued = makeRequest(i, 1, 5);
        queued.request.workspace = WorkspaceId{ 1 + i % 2 };
        queued.request.share = i % 2 == 0 ? 3.0 : 1.0;
        queue.push(queued);
    }
    int largeGrants = 0;
    for (int i = 0; i < 400; ++i)
        largeGrants += queue.pop(TimePoint())->request.workspace == WorkspaceId{ 1 } ? 1 : 0;
    CHECK(largeGrants >= 294);
    CHECK(largeGrants <= 306);
}

TEST_CASE(
    "a late request does not make the next one late, and one that is worthless when late expires")
{
    TieredQueue queue;
    queue.push(makeRequest(1, 1, 10));
    queue.push(makeRequest(2, 1, 60));
    QueuedGrantRequest worthless = makeRequest(3, 1, 30);
    worthless.request.isWorthlessWhenLate = true;
    worthless.expectedTimeToFirstToken = std::chrono::milliseconds(10);
    queue.push(worthless);
    const TimePoint now{ std::chrono::milliseconds(25) };
    CHECK(queue.popExpired(now)->request.id.request == RequestId{ 3 });
    CHECK_FALSE(queue.popExpired(now).has_value());
    CHECK(queue.pop(now)->request.id.request == RequestId{ 2 });
    CHECK(queue.pop(now)->request.id.request == RequestId{ 1 });
}

TEST_CASE("random operations lose no request and return each one once")
{
    std::mt19937 random(11);
    TieredQueue queue({ 0, 0, 50, 30, 20 });
    std::set<std::uint64_t> queuedIds;
    const auto checkQueuedOnce = [&](const std::optional<QueuedGrantRequest> &queued) {
        if (queued)
            CHECK(queuedIds.erase(queued->request.id.request.value) == 1);
    };
    for (std::uint64_t i = 1; i <= 20'000; ++i) {
        const TimePoint now{ std::chrono::milliseconds(i) };
        QueuedGrantRequest queued = makeRequest(i, static_cast<Tier>(random() % tierCount),
                                                static_cast<int>(i + random() % 3000));
        queued.queuedAt = now;
        queued.request.workspace = WorkspaceId{ 1 + random() % 50 };
        queued.request.share = 1.0 + static_cast<double>(random() % 4);
        queued.request.isWorthlessWhenLate = random() % 4 == 0;
        queued.grantDeadline = now + std::chrono::milliseconds(random() % 4000);
        queue.push(queued);
        queuedIds.insert(i);
        if (random() % 3 != 0)
            checkQueuedOnce(queue.pop(now));
        if (random() % 5 == 0)
            checkQueuedOnce(queue.popVictim(static_cast<Tier>(random() % tierCount)));
        checkQueuedOnce(queue.popExpired(now));
        const std::uint64_t withdrawn = 1 + random() % i;
        CHECK(queue.remove(GrantId{ HostId{ 1 }, RequestId{ withdrawn } })
              == (queuedIds.erase(withdrawn) == 1));
        CHECK(queue.size() == queuedIds.size());
    }
}
