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

/// Several hosts under one clock; messages arrive at once unless a host is cut off.
class Hosts
{
public:
    explicit Hosts(std::size_t count, std::size_t seeds = 3)
    {
        for (std::size_t i = 0; i < count; ++i) {
            addresses.push_back(Address{ "10.0.0." + std::to_string(i + 1), 7000 });
            systems.push_back(std::make_unique<FleetSystem>(addresses[i], 1, i + 1));
            states.emplace_back();
            selves.emplace_back();
            isCut.push_back(false);
        }
        const std::vector<Address> list(addresses.begin(),
                                        addresses.begin() + static_cast<std::ptrdiff_t>(seeds));
        for (auto &system : systems)
            system->setSeeds(list);
    }

    void pass(Duration time)
    {
        for (const TimePoint until = now + time; now < until; now += 25ms) {
            for (std::size_t from = 0; from < systems.size(); ++from)
                run(from);
        }
    }

    std::vector<Address> addresses;
    std::vector<std::unique_ptr<FleetSystem>> systems;
    std::vector<PublishedState> states;
    std::vector<FleetHost> selves;
    std::vector<bool> isCut;
    TimePoint now{ 1h };
    std::size_t bytes = 0; ///< Of all messages, as frames.
    std::size_t itemMessages = 0;

private:
    void run(std::size_t from)
    {
        for (const OutgoingFleetMessage &outgoing :
             systems[from]->run(now, selves[from], states[from])) {
            bytes += encodeFrame(PeerFrame{ Incarnation{ 5 }, 6, toPeerMessage(outgoing) }).size();
            itemMessages += std::holds_alternative<PublishedUpdate>(outgoing.message) ? 1 : 0;
            for (std::size_t to = 0; to < systems.size(); ++to) {
                if (FleetSystem::idOf(addresses[to]) == outgoing.to && !isCut[from] && !isCut[to])
                    deliver(from, to, outgoing);
            }
        }
    }

    void deliver(std::size_t from, std::size_t to, const OutgoingFleetMessage &outgoing)
    {
        const HostId sender = FleetSystem::idOf(addresses[from]);
        if (const auto *news = std::get_if<FleetUpdate>(&outgoing.message)) {
            systems[to]->receive(now, sender, *news);
        } else if (const auto *request = std::get_if<PublishedRequest>(&outgoing.message)) {
            systems[to]->receive(sender, *request, states[to]);
        } else {
            states[to].apply(now, std::get<PublishedUpdate>(outgoing.message).items);
            systems[to]->onItemsReceived();
        }
    }
};

} // namespace

TEST_CASE("hosts that know only seeds find all others")
{
    Hosts hosts(9);
    hosts.pass(5s);
    for (const auto &system : hosts.systems)
        CHECK(system->presentHostCount(hosts.now) == 8);
}

TEST_CASE("hosts find each other when all seeds but one are down")
{
    Hosts hosts(6);
    hosts.isCut[0] = true;
    hosts.isCut[1] = true;
    hosts.pass(8s);
    for (std::size_t i = 2; i < 6; ++i)
        CHECK(hosts.systems[i]->presentHostCount(hosts.now) == 3);
}

TEST_CASE("a host that the platform does not answer gets what is published from the others")
{
    Hosts hosts(4);
    hosts.pass(3s);
    for (std::size_t i = 0; i < 3; ++i) {
        hosts.selves[i].watchesPlatform = true;
        hosts.states[i].apply(hosts.now, { PublishedItem{ "a", "x", 7, false } });
    }
    hosts.pass(1s);
    CHECK(hosts.states[3].revision() == 7);
    // A removal travels the same way.
    for (std::size_t i = 0; i < 3; ++i)
        hosts.states[i].apply(hosts.now, { PublishedItem{ "a", "", 8, true } });
    hosts.pass(1s);
    CHECK(hosts.states[3].revision() == 8);
}

TEST_CASE("a host whose connection to the platform went silent gets changes from the others")
{
    Hosts hosts(4);
    for (FleetHost &self : hosts.selves)
        self.watchesPlatform = true;
    for (PublishedState &state : hosts.states)
        state.apply(hosts.now, { PublishedItem{ "server", "ready", 6, false } });
    hosts.pass(3s);
    // The last host still takes its silent watch for a quiet one.
    for (std::size_t i = 0; i < 3; ++i)
        hosts.states[i].apply(hosts.now, { PublishedItem{ "server", "leaving", 7, false } });
    hosts.pass(1500ms);
    CHECK(hosts.states[3].revision() == 7);
}

TEST_CASE("a host that fell silent still counts in shares of common bounds")
{
    Hosts hosts(6);
    hosts.pass(5s);
    hosts.isCut[4] = true;
    hosts.isCut[5] = true;
    hosts.pass(5s);
    CHECK(hosts.systems[0]->presentHostCount(hosts.now) == 3);
    CHECK(hosts.systems[0]->hostsSharingLimits(hosts.now) == 6);
}

TEST_CASE("news of many hosts stay within their bytes a second")
{
    constexpr std::size_t count = 60;
    Hosts hosts(count);
    hosts.pass(10s);
    const std::size_t before = hosts.bytes;
    hosts.pass(10s);
    const double perHost = static_cast<double>(hosts.bytes - before) / count / 10.0;
    CHECK(perHost <= 3'000.0);
}

TEST_CASE("hosts of a large fleet know each other, and miss a lost one in twice the time for which "
          "it counts as present")
{
    constexpr std::size_t count = 80;
    Hosts hosts(count);
    hosts.pass(10s);
    for (const auto &system : hosts.systems)
        CHECK(system->presentHostCount(hosts.now) == count - 1);
    hosts.isCut[5] = true;
    hosts.pass(20s);
    const HostId lost = FleetSystem::idOf(hosts.addresses[5]);
    for (std::size_t i = 0; i < count; ++i)
        CHECK((i == 5 || !hosts.systems[i]->isPresent(hosts.now, lost)));
}

TEST_CASE("few hosts of a failure domain read the platform, and others step in for lost ones")
{
    Hosts hosts(24);
    for (std::size_t i = 0; i < 24; ++i)
        hosts.selves[i].failureDomain = FailureDomainId{ 1 + i % 3 };
    const auto readers = [&hosts](std::uint64_t domain) {
        std::size_t count = 0;
        for (std::size_t i = 0; i < hosts.systems.size(); ++i) {
            const bool isIn = hosts.selves[i].failureDomain == FailureDomainId{ domain };
            const bool reads = hosts.systems[i]->mustWatchPlatform(hosts.now);
            hosts.selves[i].watchesPlatform = reads && !hosts.isCut[i];
            count += isIn && !hosts.isCut[i] && reads ? 1 : 0;
        }
        return count;
    };
    const auto settle = [&](Duration time) {
        for (const TimePoint until = hosts.now + time; hosts.now < until;) {
            for (std::uint64_t domain = 1; domain <= 3; ++domain)
                (void)readers(domain);
            hosts.pass(100ms);
        }
    };
    settle(10s);
    for (std::uint64_t domain = 1; domain <= 3; ++domain)
        CHECK(readers(domain) == 3);
    for (std::size_t i = 0; i < 24; ++i)
        hosts.isCut[i] = hosts.systems[i]->mustWatchPlatform(hosts.now) && i % 3 == 0;
    settle(8s);
    CHECK(readers(1) == 3);
}

TEST_CASE("a change reaches all hosts of a large fleet in a second through those that ask for it")
{
    constexpr std::size_t count = 80;
    Hosts hosts(count);
    hosts.pass(10s);
    hosts.states[7].apply(hosts.now, { PublishedItem{ "a", "x", 9, false } });
    hosts.pass(1s);
    std::size_t reached = 0;
    for (const PublishedState &state : hosts.states)
        reached += state.revision() == 9 ? 1 : 0;
    CHECK(reached == count);
    CHECK(hosts.itemMessages < 2 * count);
}

TEST_CASE("a host that restarts with an earlier time of day is present again at once")
{
    Hosts hosts(4);
    hosts.pass(5s);
    hosts.systems[2] = std::make_unique<FleetSystem>(hosts.addresses[2], 0, 99);
    hosts.systems[2]->setSeeds({ hosts.addresses[0] });
    hosts.pass(4s);
    const HostId restarted = FleetSystem::idOf(hosts.addresses[2]);
    for (const std::size_t i : { std::size_t{ 0 }, std::size_t{ 1 }, std::size_t{ 3 } })
        CHECK(hosts.systems[i]->isPresent(hosts.now, restarted));
}

TEST_CASE("all hosts name the same owner of a part, and another one once it does not answer")
{
    Hosts hosts(12);
    for (std::size_t i = 0; i < 12; ++i) {
        hosts.selves[i].canOwn = true;
        hosts.selves[i].weight = i < 6 ? 10 : 50;
    }
    hosts.pass(6s);
    const ServiceId service = ServiceId::ofName("engines");
    const auto owner = [&](std::size_t host, std::size_t part) {
        const HostId named = hosts.systems[host]->ownerOf(hosts.now, service, part);
        return named.isValid() ? named : FleetSystem::idOf(hosts.addresses[host]);
    };
    std::size_t heavy = 0;
    constexpr std::size_t parts = 200;
    for (std::size_t part = 0; part < parts; ++part) {
        const HostId chosen = owner(0, part);
        for (std::size_t host = 1; host < 12; ++host)
            CHECK(owner(host, part) == chosen);
        for (std::size_t host = 6; host < 12; ++host)
            heavy += FleetSystem::idOf(hosts.addresses[host]) == chosen ? 1 : 0;
    }
    // Five sixths of the weight are with six of the hosts.
    CHECK(heavy >= parts * 7 / 10);
    const HostId first = owner(0, 1);
    std::size_t asking = 0;
    while (FleetSystem::idOf(hosts.addresses[asking]) == first)
        ++asking;
    CHECK(hosts.systems[asking]->exclude(hosts.now, first));
    CHECK(owner(asking, 1) != first);
}

TEST_CASE("an owner that leaves many questions unanswered at one moment is passed over once")
{
    Hosts hosts(4);
    for (FleetHost &self : hosts.selves)
        self.canOwn = true;
    hosts.pass(6s);
    const ServiceId service = ServiceId::ofName("engines");
    FleetSystem &asking = *hosts.systems[0];
    std::size_t part = 0;
    while (!asking.ownerOf(hosts.now, service, part).isValid())
        ++part;
    const HostId owner = asking.ownerOf(hosts.now, service, part);
    for (int question = 0; question < 10; ++question)
        CHECK(asking.exclude(hosts.now, owner) == (question == 0));
    CHECK(asking.ownerOf(hosts.now, service, part) != owner);
    CHECK(asking.ownerOf(hosts.now + 1100ms, service, part) == owner);
}
