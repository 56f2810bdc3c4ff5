#include <currantreel/Fleet>
#include <doctest/doctest.h>
#include <memory>

using namespace currantreel;
using namespace std::chrono_literals;

namespace {

/// Several hosts under one clock; messages arrive at once unless a host is cut off.
class Hosts
{
public:
    explicit Hosts(std::size_t count, std::size_t seeds = 3)
    {
        for (std::size_t i = 0; i < count; ++i) {
            addresses.push_back(Address{ "10.0.0." + std::to_string(i + 1), 7000 });
            systems.push_back(std::make_unique<FleetSystem>(addresses[i], i + 1));
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
    std::vector<FleetSelf> selves;
    std::vector<bool> isCut;
    TimePoint now{ 1h };
    std::size_t messages = 0;

private:
    void run(std::size_t from)
    {
        selves[from].revision = states[from].revision();
        for (const FleetOutgoing &outgoing : systems[from]->run(now, selves[from], states[from])) {
            ++messages;
            for (std::size_t to = 0; to < systems.size(); ++to) {
                if (FleetSystem::idOf(addresses[to]) == outgoing.to && !isCut[from] && !isCut[to])
                    deliver(from, to, outgoing);
            }
        }
    }

    void deliver(std::size_t from, std::size_t to, const FleetOutgoing &outgoing)
    {
        if (const auto *news = std::get_if<FleetNews>(&outgoing.message))
            systems[to]->receive(now, FleetSystem::idOf(addresses[from]), *news);
        else
            states[to].apply(now, std::get<PublishedNews>(outgoing.message).items);
    }
};

} // namespace

TEST_CASE("hosts that know only seeds find all others")
{
    Hosts hosts(9);
    hosts.pass(5s);
    for (const auto &system : hosts.systems)
        CHECK(system->presentHosts(hosts.now) == 8);
}

TEST_CASE("hosts find each other when all seeds but one are down")
{
    Hosts hosts(6);
    hosts.isCut[0] = true;
    hosts.isCut[1] = true;
    hosts.pass(8s);
    for (std::size_t i = 2; i < 6; ++i)
        CHECK(hosts.systems[i]->presentHosts(hosts.now) == 3);
}

TEST_CASE("a host that the platform does not answer gets what is published from the others")
{
    Hosts hosts(4);
    hosts.pass(3s);
    for (std::size_t i = 0; i < 3; ++i) {
        hosts.selves[i].readsPlatform = true;
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
    for (FleetSelf &self : hosts.selves)
        self.readsPlatform = true;
    for (PublishedState &state : hosts.states)
        state.apply(hosts.now, { PublishedItem{ "server", "ready", 6, false } });
    hosts.pass(3s);
    // The last host still takes its silent watch for a quiet one.
    for (std::size_t i = 0; i < 3; ++i)
        hosts.states[i].apply(hosts.now, { PublishedItem{ "server", "leaving", 7, false } });
    hosts.pass(1500ms);
    CHECK(hosts.states[3].revision() == 7);
}

TEST_CASE("the work of others counts while they are heard, and not for long after")
{
    Hosts hosts(3);
    const BackendServerId server = BackendServerId::ofName("engine-1");
    hosts.selves[0].loads = { FleetLoad{ server, ServerLoad{ 3, 500, 900 } } };
    hosts.selves[1].loads = { FleetLoad{ server, ServerLoad{ 2, 100, 100 } } };
    hosts.pass(3s);
    CHECK(hosts.systems[2]->othersLoads(hosts.now).at(server).requests == 5);
    hosts.isCut[0] = true;
    hosts.pass(3s);
    CHECK(hosts.systems[2]->othersLoads(hosts.now).at(server).requests == 2);
}

TEST_CASE("a host that fell silent still counts in shares of common bounds")
{
    Hosts hosts(6);
    hosts.pass(5s);
    hosts.isCut[4] = true;
    hosts.isCut[5] = true;
    hosts.pass(5s);
    CHECK(hosts.systems[0]->presentHosts(hosts.now) == 3);
    CHECK(hosts.systems[0]->countedHosts(hosts.now) == 6);
}

TEST_CASE("news of many hosts stay within their bytes a second")
{
    constexpr std::size_t count = 60;
    Hosts hosts(count);
    hosts.pass(10s);
    const std::size_t before = hosts.messages;
    hosts.pass(10s);
    // 3,000 bytes a second and 120 bytes at least a message.
    const double perHost = static_cast<double>(hosts.messages - before) / count / 10.0;
    CHECK(perHost <= 3'000.0 / 120.0);
}
