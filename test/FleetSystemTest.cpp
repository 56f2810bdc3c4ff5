#include <currantreel/Fleet>
#include <currantreel/Peer>
#include <doctest/doctest.h>
#include <memory>

using namespace currantreel;
using namespace std::chrono_literals;

namespace {

PeerMessage toPeerMessage(const OutgoingFleetMessage &outgoing)
{
    return std::visit([](const auto &message) -> PeerMessage { return message; }, outgoing.message);
}

/// Several hosts with a common virtual clock. Messages arrive at once unless one of the hosts is
/// isolated.
class Hosts
{
public:
    explicit Hosts(std::size_t count, std::size_t seeds = 3)
    {
        for (std::size_t i = 0; i < count; ++i) {
            addresses.push_back(Address{ "10.0.0." + std::to_string(i + 1), 7000 });
            systems.push_back(std::make_unique<FleetSystem>(addresses[i], 1, i + 1));
            states.emplace_back();
            descriptions.emplace_back();
            isIsolated.push_back(false);
        }
        const std::vector<Address> list(addresses.begin(),
                                        addresses.begin() + static_cast<std::ptrdiff_t>(seeds));
        for (auto &system : systems)
            system->setSeeds(list);
    }

    void advance(Duration time)
    {
        for (const TimePoint until = now + time; now < until; now += 25ms) {
            for (std::size_t from = 0; from < systems.size(); ++from)
                run(from);
        }
    }

    std::vector<Address> addresses;
    std::vector<std::unique_ptr<FleetSystem>> systems;
    std::vector<PublishedState> states;
    std::vector<FleetHost> descriptions;
    std::vector<bool> isIsolated;
    TimePoint now{ 1h };
    std::size_t bytes = 0; ///< Total size of all messages sent, as frames.
    std::size_t itemMessages = 0;

private:
    void run(std::size_t from)
    {
        for (const OutgoingFleetMessage &outgoing :
             systems[from]->run(now, descriptions[from], states[from])) {
            bytes += encodeFrame(PeerFrame{ Incarnation{ 5 }, 6, toPeerMessage(outgoing) }).size();
            itemMessages += std::holds_alternative<PublishedUpdate>(outgoing.message) ? 1 : 0;
            for (std::size_t to = 0; to < systems.size(); ++to) {
                if (FleetSystem::idOf(addresses[to]) == outgoing.to && !isIsolated[from]
                    && !isIsolated[to])
                    deliver(from, to, outgoing);
            }
        }
    }

    void deliver(std::size_t from, std::size_t to, const OutgoingFleetMessage &outgoing)
    {
        const HostId sender = FleetSystem::idOf(addresses[from]);
        if (const auto *update = std::get_if<FleetUpdate>(&outgoing.message)) {
            systems[to]->receive(now, sender, *update, states[to]);
        } else if (const auto *request = std::get_if<PublishedRequest>(&outgoing.message)) {
            systems[to]->receive(now, sender, *request, states[to]);
        } else {
            systems[to]->receive(now, sender, std::get<PublishedUpdate>(outgoing.message),
                                 states[to]);
        }
    }
};

} // namespace

TEST_CASE("hosts that know only seeds find all others")
{
    Hosts hosts(9);
    hosts.advance(5s);
    for (const auto &system : hosts.systems)
        CHECK(system->presentHostCount(hosts.now) == 8);
}

TEST_CASE("hosts find each other when all seeds but one are down")
{
    Hosts hosts(6);
    hosts.isIsolated[0] = true;
    hosts.isIsolated[1] = true;
    hosts.advance(8s);
    for (std::size_t i = 2; i < 6; ++i)
        CHECK(hosts.systems[i]->presentHostCount(hosts.now) == 3);
}

TEST_CASE(
    "a change that a host received out of order is not skipped by the hosts that learn from it")
{
    Hosts hosts(4);
    hosts.advance(3s);
    // The first host has a later change, and lacks the leaving of a server before it.
    hosts.states[0].apply(hosts.now, { PublishedItem{ "other", "ready", 8, false } }, 6);
    hosts.advance(1s);
    hosts.states[0].apply(hosts.now, { PublishedItem{ "server", "leaving", 7, false } }, 8);
    hosts.advance(1s);
    for (const PublishedState &state : hosts.states)
        CHECK(state.changesAfter(hosts.now, 0).size() == 2);
}

TEST_CASE(
    "a host that requests changes of one with a later revision but no later change is answered, "
    "and takes over that revision")
{
    Hosts hosts(4);
    for (PublishedState &state : hosts.states)
        state.apply(hosts.now, { PublishedItem{ "a", "x", 5, false } }, 5);
    hosts.advance(3s);
    hosts.states[0].replace(hosts.now, "", { PublishedItem{ "a", "x", 5, false } }, 9);
    hosts.advance(1s);
    for (const PublishedState &state : hosts.states)
        CHECK(state.revision() == 9);
    for (const auto &system : hosts.systems)
        CHECK(system->counters().itemRequestsUnanswered == 0);
    // A change right after it is not held up.
    hosts.states[0].apply(hosts.now, { PublishedItem{ "a", "y", 10, false } }, 10);
    hosts.advance(300ms);
    for (const PublishedState &state : hosts.states)
        CHECK(state.revision() == 10);
}

TEST_CASE("a host that the platform does not answer gets the published items from other hosts")
{
    Hosts hosts(4);
    hosts.advance(3s);
    for (std::size_t i = 0; i < 3; ++i) {
        hosts.descriptions[i].reachesPlatform = true;
        hosts.states[i].apply(hosts.now, { PublishedItem{ "a", "x", 7, false } }, 7);
    }
    hosts.advance(1s);
    CHECK(hosts.states[3].revision() == 7);
    // Removals are forwarded as well.
    for (std::size_t i = 0; i < 3; ++i)
        hosts.states[i].apply(hosts.now, { PublishedItem{ "a", "", 8, true } }, 8);
    hosts.advance(1s);
    CHECK(hosts.states[3].revision() == 8);
}

TEST_CASE("a host whose watch of the platform stopped delivering gets changes from other hosts")
{
    Hosts hosts(4);
    for (FleetHost &self : hosts.descriptions)
        self.reachesPlatform = true;
    for (PublishedState &state : hosts.states)
        state.apply(hosts.now, { PublishedItem{ "server", "ready", 6, false } }, 6);
    hosts.advance(3s);
    // The watch of the last host has failed, but the host believes that nothing changed.
    for (std::size_t i = 0; i < 3; ++i)
        hosts.states[i].apply(hosts.now, { PublishedItem{ "server", "leaving", 7, false } }, 7);
    hosts.advance(1500ms);
    CHECK(hosts.states[3].revision() == 7);
}

TEST_CASE("an unresponsive host still has a share of the deployment-wide limits")
{
    Hosts hosts(6);
    hosts.advance(5s);
    hosts.isIsolated[4] = true;
    hosts.isIsolated[5] = true;
    hosts.advance(5s);
    CHECK(hosts.systems[0]->presentHostCount(hosts.now) == 3);
    CHECK(hosts.systems[0]->hostsSharingLimits(hosts.now) == 6);
}

TEST_CASE(
    "updates of many hosts stay within their byte rate, confirmations of the platform included")
{
    constexpr std::size_t count = 60;
    for (const Duration bound : { 2s, 4s }) {
        Hosts hosts(count);
        for (auto &system : hosts.systems)
            system->setChangeBound(bound);
        hosts.advance(10s);
        const std::size_t before = hosts.bytes;
        for (int confirmation = 0; confirmation < 100; ++confirmation) {
            hosts.states[static_cast<std::size_t>(confirmation) % 9].confirm(hosts.now);
            hosts.advance(100ms);
        }
        const double perHost = static_cast<double>(hosts.bytes - before) / count / 10.0;
        CHECK(perHost <= 3'000.0);
    }
}

TEST_CASE("hosts of a large fleet find each other, and notice a lost one within twice the time for "
          "which it counts as present")
{
    constexpr std::size_t count = 80;
    Hosts hosts(count);
    hosts.advance(10s);
    for (const auto &system : hosts.systems)
        CHECK(system->presentHostCount(hosts.now) == count - 1);
    hosts.isIsolated[5] = true;
    hosts.advance(20s);
    const HostId lost = FleetSystem::idOf(hosts.addresses[5]);
    for (std::size_t i = 0; i < count; ++i)
        CHECK((i == 5 || !hosts.systems[i]->isPresent(hosts.now, lost)));
}

TEST_CASE("few hosts of a failure domain watch the platform, and others replace lost ones")
{
    Hosts hosts(24);
    for (std::size_t i = 0; i < 24; ++i)
        hosts.descriptions[i].failureDomain = FailureDomainId{ 1 + i % 3 };
    const auto watchers = [&hosts](std::uint64_t domain) {
        std::size_t count = 0;
        for (std::size_t i = 0; i < hosts.systems.size(); ++i) {
            const bool isIn = hosts.descriptions[i].failureDomain == FailureDomainId{ domain };
            const bool watches = hosts.systems[i]->mustWatchPlatform(hosts.now);
            hosts.descriptions[i].reachesPlatform = !hosts.isIsolated[i];
            count += isIn && !hosts.isIsolated[i] && watches ? 1 : 0;
        }
        return count;
    };
    const auto settle = [&](Duration time) {
        for (const TimePoint until = hosts.now + time; hosts.now < until;) {
            for (std::uint64_t domain = 1; domain <= 3; ++domain)
                (void)watchers(domain);
            hosts.advance(100ms);
        }
    };
    settle(10s);
    for (std::uint64_t domain = 1; domain <= 3; ++domain)
        CHECK(watchers(domain) == 3);
    for (std::size_t i = 0; i < 24; ++i)
        hosts.isIsolated[i] = hosts.systems[i]->mustWatchPlatform(hosts.now) && i % 3 == 0;
    settle(8s);
    CHECK(watchers(1) == 3);
}

TEST_CASE("when a large fleet starts, only a few hosts of a failure domain begin to watch")
{
    constexpr std::size_t count = 150;
    constexpr std::size_t domains = 5;
    constexpr std::ptrdiff_t watchersPerDomain = 3;
    Hosts hosts(count);
    for (std::size_t i = 0; i < count; ++i) {
        hosts.descriptions[i].failureDomain = FailureDomainId{ 1 + i % domains };
        hosts.descriptions[i].reachesPlatform = true;
    }
    const auto watchers = [&hosts] {
        return std::count_if(hosts.systems.begin(), hosts.systems.end(), [&](const auto &system) {
            return system->mustWatchPlatform(hosts.now);
        });
    };
    hosts.advance(2500ms);
    CHECK(watchers() == 0);
    for (int i = 0; i < 20; ++i) {
        hosts.advance(200ms);
        // Fewer once all hosts know each other.
        CHECK(watchers() <= 2 * watchersPerDomain * static_cast<std::ptrdiff_t>(domains));
    }
    CHECK(watchers() == watchersPerDomain * static_cast<std::ptrdiff_t>(domains));
}

TEST_CASE("a change reaches all hosts of a large fleet within a second, with under two transfers "
          "for each")
{
    constexpr std::size_t count = 80;
    Hosts hosts(count);
    hosts.advance(10s);
    hosts.states[7].apply(hosts.now, { PublishedItem{ "a", "x", 9, false } }, 9);
    hosts.advance(1s);
    std::size_t reached = 0;
    for (const PublishedState &state : hosts.states)
        reached += state.revision() == 9 ? 1 : 0;
    CHECK(reached == count);
    CHECK(hosts.itemMessages < 2 * count);
}

TEST_CASE("a host that restarts with its clock set back is present again at once")
{
    Hosts hosts(4);
    hosts.advance(5s);
    hosts.systems[2] = std::make_unique<FleetSystem>(hosts.addresses[2], 0, 99);
    hosts.systems[2]->setSeeds({ hosts.addresses[0] });
    hosts.advance(4s);
    const HostId restarted = FleetSystem::idOf(hosts.addresses[2]);
    for (const std::size_t i : { std::size_t{ 0 }, std::size_t{ 1 }, std::size_t{ 3 } })
        CHECK(hosts.systems[i]->isPresent(hosts.now, restarted));
}

TEST_CASE("all hosts name the same owner of a partition, and another one once it does not answer")
{
    Hosts hosts(12);
    for (std::size_t i = 0; i < 12; ++i) {
        hosts.descriptions[i].canOwn = true;
        hosts.descriptions[i].weight = i < 6 ? 10 : 50;
    }
    hosts.advance(6s);
    const ServiceId service = ServiceId::ofName("engines");
    const auto owner = [&](std::size_t host, std::size_t partition) {
        const HostId named = hosts.systems[host]->ownerOf(hosts.now, service, partition);
        return named.isValid() ? named : FleetSystem::idOf(hosts.addresses[host]);
    };
    std::size_t ownedByHeavierHosts = 0;
    constexpr std::size_t partitionCount = 200;
    for (std::size_t partition = 0; partition < partitionCount; ++partition) {
        const HostId chosen = owner(0, partition);
        for (std::size_t host = 1; host < 12; ++host)
            CHECK(owner(host, partition) == chosen);
        for (std::size_t host = 6; host < 12; ++host)
            ownedByHeavierHosts += FleetSystem::idOf(hosts.addresses[host]) == chosen ? 1 : 0;
    }
    // Six of the hosts have five sixths of the total weight.
    CHECK(ownedByHeavierHosts >= partitionCount * 7 / 10);
    const HostId first = owner(0, 1);
    std::size_t requester = 0;
    while (FleetSystem::idOf(hosts.addresses[requester]) == first)
        ++requester;
    CHECK(hosts.systems[requester]->exclude(hosts.now, first));
    CHECK(owner(requester, 1) != first);
}

TEST_CASE("an owner that leaves many requests unanswered at the same time is excluded only once")
{
    Hosts hosts(4);
    for (FleetHost &self : hosts.descriptions)
        self.canOwn = true;
    hosts.advance(6s);
    const ServiceId service = ServiceId::ofName("engines");
    FleetSystem &requester = *hosts.systems[0];
    std::size_t partition = 0;
    while (!requester.ownerOf(hosts.now, service, partition).isValid())
        ++partition;
    const HostId owner = requester.ownerOf(hosts.now, service, partition);
    for (int request = 0; request < 10; ++request)
        CHECK(requester.exclude(hosts.now, owner) == (request == 0));
    CHECK(requester.ownerOf(hosts.now, service, partition) != owner);
    CHECK(requester.ownerOf(hosts.now + 1100ms, service, partition) == owner);
}
