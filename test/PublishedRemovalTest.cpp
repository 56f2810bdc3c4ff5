#include "StoreFleet.h"
#include <currantreel/Fleet>
#include <doctest/doctest.h>
#include <random>

using namespace test;

/// @file
/// Guards against a removal that is never learnt: hosts went on sending to a server whose entry was removed, since
/// a host that listed the store after the removal handed on its revision without it.

namespace {

/// Time within which a published change has to be in force on all hosts.
constexpr Duration changeBound = 2s;
constexpr std::size_t hostCount = 6;

/// Hosts that know each other, and an entry that will be removed.
class RemovalFleet : public StoreFleet
{
public:
    explicit RemovalFleet(std::uint64_t seed) : StoreFleet(hostCount, seed)
    {
        store.write("leaving", "ready");
        store.write("staying", "ready");
        advance(12s);
    }

    /// Removes the entry just after its successor was written.
    void replaceServer()
    {
        store.write("coming", "ready");
        store.remove("leaving");
    }

    /// Number of calls that list the store so far.
    [[nodiscard]] std::size_t lists() const
    {
        std::size_t sum = 0;
        for (const auto &host : hosts)
            sum += host->source.lists;
        return sum;
    }
};

} // namespace

TEST_CASE("a removal between the starts of hosts is in force on all of them within the bound")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RemovalFleet fleet(seed);
        for (auto &host : fleet.hosts)
            host->isDown = true;
        for (const std::size_t host : { 0U, 2U, 4U })
            fleet.restart(host);
        fleet.advance(100ms);
        fleet.replaceServer();
        for (const std::size_t host : { 1U, 3U, 5U })
            fleet.restart(host);
        fleet.advance(changeBound);
        CHECK(fleet.having("leaving", "") == hostCount);
        CHECK(fleet.having("coming", "ready") == hostCount);
    }
}

TEST_CASE("a host that stood still while a server left and all others were restarted learns of the "
          "removal within the bound")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RemovalFleet fleet(seed);
        std::size_t slow = 0;
        while (fleet.hosts[slow]->reader.isWatching())
            ++slow;
        while (fleet.hosts[slow]->state.age(fleet.now) > changeBound / 8)
            fleet.advance(25ms); // later it would ask the store first
        fleet.hosts[slow]->isDown = true;
        fleet.replaceServer();
        for (std::size_t host = 0; host < hostCount; ++host) {
            if (host != slow)
                fleet.restart(host);
        }
        fleet.advance(250ms);
        fleet.hosts[slow]->isDown = false;
        fleet.advance(changeBound);
        CHECK(fleet.having("leaving", "") == hostCount);
    }
}

TEST_CASE("hosts that don't reach the store learn of a removal from one that lists it after a loss "
          "of its history")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RemovalFleet fleet(seed);
        for (auto &host : fleet.hosts) {
            host->isCut = true;
            host->self.reachesPlatform = false;
        }
        fleet.advance(1s);
        fleet.replaceServer();
        fleet.store.discardHistory();
        const std::size_t before = fleet.lists();
        fleet.hosts[2]->isCut = false;
        fleet.hosts[2]->self.reachesPlatform = true;
        // The removal is deferred after an outage.
        fleet.advance(2 * changeBound + removalDeferral);
        CHECK(fleet.having("leaving", "") == hostCount);
        CHECK(fleet.having("coming", "ready") == hostCount);
        CHECK(fleet.lists() > before);
    }
}

TEST_CASE("a host without the store soon finds the one host that has recorded a removal")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RemovalFleet fleet(seed);
        std::size_t slow = 0;
        while (fleet.hosts[slow]->reader.isWatching())
            ++slow;
        fleet.hosts[slow]->isDown = true;
        fleet.replaceServer();
        fleet.advance(1s);
        for (std::size_t host = 0; host < hostCount; ++host) {
            if (host != slow && host != (slow + 1) % hostCount)
                fleet.restart(host);
        }
        fleet.advance(250ms);
        fleet.hosts[slow]->isDown = false;
        fleet.hosts[slow]->isCut = true;
        fleet.hosts[slow]->self.reachesPlatform = false;
        fleet.advance(changeBound);
        CHECK(fleet.having("leaving", "") == hostCount);
    }
}

TEST_CASE("a host that starts without the store gets a state of several messages from hosts that "
          "listed it")
{
    constexpr std::size_t largeItems = 12;
    constexpr std::size_t largeBytes = 200'000;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RemovalFleet fleet(seed);
        for (std::size_t item = 0; item < largeItems; ++item) {
            fleet.store.write("large " + std::to_string(item), std::string(largeBytes, 'x'));
            fleet.store.write("small " + std::to_string(item), "ready");
        }
        for (std::size_t host = 0; host < hostCount; ++host)
            fleet.restart(host);
        fleet.advance(12s);
        fleet.restart(4);
        fleet.hosts[4]->isCut = true;
        fleet.hosts[4]->self.reachesPlatform = false;
        fleet.advance(200ms);
        fleet.replaceServer();
        fleet.store.remove("small 3");
        fleet.advance(3s);
        CHECK(fleet.hosts[4]->state.revision() == fleet.store.revision);
        CHECK(fleet.hosts[4]->inUse == fleet.hosts[1]->inUse);
        CHECK(fleet.having("small 3", "") == hostCount);
        CHECK(fleet.having("small 4", "ready") == hostCount);
    }
}

namespace {

/// Hosts and a store with random changes and faults.
class RandomFleet : public StoreFleet
{
public:
    static constexpr std::size_t keyCount = 24;
    static constexpr std::size_t largeBytes = 150'000;

    explicit RandomFleet(std::uint64_t seed) : StoreFleet(8, seed), m_random(seed)
    {
        for (std::size_t i = 0; i < hosts.size(); ++i)
            hosts[i]->self.failureDomain = FailureDomainId{ 1 + i % 4 };
        for (std::size_t key = 0; key < keyCount; ++key)
            change(key);
        advance(10s);
    }

    /// One change of the store or fault, and some time.
    void step()
    {
        change(draw(keyCount));
        auto &host = *hosts[draw(hosts.size())];
        switch (draw(8)) {
        case 0:
            restart(draw(hosts.size()));
            break;
        case 1:
            host.isDown = !host.isDown;
            break;
        case 2:
            host.isAlone = !host.isAlone;
            break;
        case 3:
            host.isCut = !host.isCut;
            host.self.reachesPlatform = !host.isCut;
            break;
        case 4:
            if (draw(4) == 0)
                store.discardHistory();
            break;
        default:
            break;
        }
        advance(25ms * (1 + draw(12)));
    }

    void heal()
    {
        for (auto &host : hosts) {
            host->isDown = host->isAlone = host->isCut = false;
            host->self.reachesPlatform = true;
        }
    }

    /// Items that are in use at hosts which have all changes, though the store has them no more.
    [[nodiscard]] std::size_t staleItems() const
    {
        std::size_t count = 0;
        for (const auto &host : hosts) {
            if (host->state.revision() != store.revision || host->state.deferredRemovals() > 0)
                continue;
            count += static_cast<std::size_t>(
                std::count_if(host->inUse.begin(), host->inUse.end(), [this](const auto &entry) {
                    return !store.items.contains(entry.first);
                }));
        }
        return count;
    }

    /// Hosts that have what the store has.
    [[nodiscard]] std::size_t upToDate() const
    {
        std::map<std::string, std::string> expected;
        for (const auto &[key, item] : store.items)
            expected[key] = item.value;
        return static_cast<std::size_t>(std::count_if(
            hosts.begin(), hosts.end(), [&](const auto &host) { return host->inUse == expected; }));
    }

private:
    std::size_t draw(std::size_t count) { return m_random() % count; }

    void change(std::size_t key)
    {
        const std::string name = "key " + std::to_string(key);
        if (store.items.contains(name) && draw(2) == 0)
            store.remove(name);
        else
            store.write(name, key % 3 == 0 ? std::string(largeBytes, 'x')
                                           : std::to_string(store.revision.number));
    }

    std::mt19937_64 m_random;
};

} // namespace

TEST_CASE(
    "whatever restarts, cuts, pauses and losses of history hosts meet, one that has all changes "
    "uses no removed item, and all have what the store has in the end")
{
    constexpr std::uint64_t seeds = 40;
    constexpr int steps = 120;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        RandomFleet fleet(seed);
        std::size_t stale = 0;
        for (int step = 0; step < steps; ++step) {
            fleet.step();
            stale += fleet.staleItems();
        }
        CHECK(stale == 0);
        fleet.heal();
        fleet.advance(2 * changeBound + removalDeferral);
        CHECK(fleet.upToDate() == fleet.hosts.size());
    }
}
