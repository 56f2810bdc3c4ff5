#ifndef CURRANTREEL_TEST_FLEETFIXTURE_H
#define CURRANTREEL_TEST_FLEETFIXTURE_H

#include "WorldFixture.h"
#include <map>
#include <memory>
#include <set>

namespace test {

/// Several worlds in failure domain "a" with a common virtual clock. Messages arrive in the next
/// tick.
class WorldFleet
{
public:
    explicit WorldFleet(std::size_t hosts)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            HostEntry entry;
            entry.name = "a-" + std::to_string(i);
            entry.id = HostId::ofName(entry.name);
            entry.failureDomain = FailureDomainId::ofName("a");
            list.push_back(entry);
        }
        for (const HostEntry &entry : list)
            start(entry.id);
    }

    void start(HostId id)
    {
        const auto entry = std::find_if(list.begin(), list.end(),
                                        [id](const HostEntry &one) { return one.id == id; });
        const HostIdentity identity{ id, entry->name, entry->failureDomain,
                                     Incarnation{ ++m_incarnation << 20U } };
        worlds[id] = std::make_unique<World>(identity, KeySecret{});
        step(id, { ConfigurationRead{ makeConfiguration() }, HostListRead{ list, {} } });
    }

    void step(HostId id, const std::vector<Event> &events)
    {
        for (const Effect &effect : worlds.at(id)->step(now, events))
            handle(id, effect);
    }

    void advance(Duration time)
    {
        for (const TimePoint end = now + time; now < end;) {
            now += 20ms;
            std::map<HostId, std::vector<Event>> arriving;
            arriving.swap(m_inTransit);
            for (const auto &[id, world] : worlds)
                step(id, arriving[id]);
        }
    }

    /// Owner of the engine in the view of @p viewer.
    HostId owner(HostId viewer) const
    {
        return worlds.at(viewer)->ownership().ownerOf(BackendServerId::ofName("engine-1"));
    }

    /// The first host that is not @p other.
    HostId otherThan(HostId other) const { return list[0].id == other ? list[1].id : list[0].id; }

    RequestArrived chat(std::uint64_t request, const std::string &className)
    {
        RequestArrived event;
        event.request = RequestId{ request };
        event.className = className;
        event.workspace = "mill";
        event.target = "m";
        return event;
    }

    std::vector<HostEntry> list;
    std::map<HostId, std::unique_ptr<World>> worlds;
    TimePoint now = TimePoint(10s);
    std::set<std::pair<HostId, HostId>> blockedLinks; ///< Sender, receiver.
    std::map<RequestId, std::vector<AttemptId>> started; ///< Attempts of each request.
    std::map<RequestId, Outcome> refused;
    std::set<HostId> stopped;

private:
    void handle(HostId id, const Effect &effect)
    {
        if (const auto *sent = std::get_if<SendPeer>(&effect)) {
            if (!blockedLinks.contains({ id, sent->to }))
                m_inTransit[sent->to].push_back(PeerMessageReceived{ id, sent->message });
        } else if (const auto *start = std::get_if<StartAttempt>(&effect)) {
            started[start->request].push_back(start->attempt);
        } else if (const auto *refusal = std::get_if<RefuseRequest>(&effect)) {
            refused[refusal->request] = refusal->outcome;
        } else if (std::holds_alternative<StopCompleted>(effect)) {
            stopped.insert(id);
        }
    }

    std::uint64_t m_incarnation = 0;
    std::map<HostId, std::vector<Event>> m_inTransit;
};

} // namespace test

#endif
