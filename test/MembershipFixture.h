#ifndef CURRANTREEL_TEST_MEMBERSHIPFIXTURE_H
#define CURRANTREEL_TEST_MEMBERSHIPFIXTURE_H

#include <currantreel/Membership>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace test {

using namespace currantreel;
using namespace std::chrono_literals;

/// Many memberships under one virtual clock. Messages take a millisecond.
class MembershipFleet
{
public:
    MembershipFleet(std::size_t hosts, std::size_t domains, std::uint64_t seed = 1) : m_random(seed)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            HostEntry entry;
            entry.name = fmt::format("host-{}", i);
            entry.id = HostId::ofName(entry.name);
            entry.failureDomain = FailureDomainId::ofName(fmt::format("domain-{}", i % domains));
            entry.callerAddress = Address{ "10.0.0.1", 8000 };
            entry.peerAddress = Address{ "10.0.0.1", 9000 };
            list.push_back(entry);
        }
        for (std::size_t i = 0; i < hosts; ++i)
            start(i);
    }

    /// Starts host @p index, as a new incarnation.
    void start(std::size_t index)
    {
        const HostEntry &entry = list[index];
        const HostIdentity identity{ entry.id, entry.name, entry.failureDomain,
                                     Incarnation{ ++m_incarnation } };
        auto &host = m_hosts[entry.id];
        host = std::make_unique<Membership>(identity, m_random());
        host->advance(now);
        host->updateList(list);
        // What the daemon's messages carry besides.
        host->piggyback().configuration = ConfigurationSummary{ 1, std::string(64, 'd') };
        host->piggyback().ownLoads.resize(4);
        host->piggyback().domainLoads.resize(4);
    }

    void kill(std::size_t index) { m_hosts.erase(list[index].id); }

    Membership &at(std::size_t index) { return *m_hosts.at(list[index].id); }
    [[nodiscard]] bool runs(std::size_t index) const { return m_hosts.contains(list[index].id); }

    /// True if host @p viewer sees host @p subject in service.
    bool sees(std::size_t viewer, std::size_t subject)
    {
        return at(viewer).isInService(list[subject].id);
    }

    void advance(Duration time)
    {
        const TimePoint end = now + time;
        while (now < end) {
            now += tick;
            deliver();
            for (auto &[id, host] : m_hosts) {
                if (paused.contains(id))
                    continue;
                host->advance(now);
                host->run();
                collect(id, *host);
            }
        }
    }

    std::vector<HostEntry> list;
    TimePoint now = TimePoint(10s);
    unsigned lossPercent = 0;
    std::set<std::pair<HostId, HostId>> cut; ///< From, to.
    std::set<HostId> paused;
    std::uint64_t bytes = 0; ///< Sent.
    std::uint64_t reconnects = 0;

private:
    static constexpr Duration tick = 20ms;

    struct Flight
    {
        HostId from;
        OutgoingMembershipMessage outgoing;
    };

    void collect(HostId id, Membership &host)
    {
        reconnects += host.takeReconnects().size();
        for (OutgoingMembershipMessage &outgoing : host.takeMessages()) {
            bytes +=
                std::visit([](const auto &message) { return wireSize(message); }, outgoing.message);
            m_flying.push(Flight{ id, std::move(outgoing) });
        }
    }

    /// A message arrives in the tick after it was sent; so do the answers that it causes.
    void deliver()
    {
        std::queue<Flight> arriving;
        arriving.swap(m_flying);
        for (; !arriving.empty(); arriving.pop()) {
            const Flight &flight = arriving.front();
            const auto target = m_hosts.find(flight.outgoing.to);
            const bool isLost = m_random() % 100 < lossPercent;
            const bool isCut = cut.contains({ flight.from, flight.outgoing.to });
            if (target == m_hosts.end() || isLost || isCut || paused.contains(flight.outgoing.to))
                continue;
            target->second->advance(now);
            std::visit([&](const auto &message) { target->second->receive(flight.from, message); },
                       flight.outgoing.message);
            collect(target->first, *target->second);
        }
    }

    std::mt19937_64 m_random;
    std::uint64_t m_incarnation = 0;
    std::map<HostId, std::unique_ptr<Membership>> m_hosts;
    std::queue<Flight> m_flying;
};

} // namespace test

#endif
