#ifndef CURRANTREEL_REPLAY_HOSTSIMULATOR_H
#define CURRANTREEL_REPLAY_HOSTSIMULATOR_H

#include "../World/World.h"
#include "BackendSimulator.h"
#include "SimulationState.h"
#include <functional>
#include <memory>
#include <vector>

namespace currantreel {

/// Several worlds under one virtual clock, with messages handed across. The clock of each host has
/// an origin of its own.
template <RoutingPolicy Policy>
class HostBench
{
public:
    using Sink = std::function<void(std::size_t host, const Effect &effect)>;

    /// @param sink receives every effect but messages to peers.
    HostBench(BenchState &state, std::shared_ptr<const Configuration> configuration,
              std::uint64_t seed, Sink sink);

    /// Starts every host and reads the platform's list from time to time.
    void start(const BackendBench &backends);

    /// An event happens to @p host; it is lost if the host is down.
    void deliver(std::size_t host, Event event);

    void pause(std::size_t host, Duration time);
    void crash(std::size_t host);
    void restart(std::size_t host);
    void setPlatformUp(bool isUp) { m_isPlatformUp = isUp; }

private:
    struct Row
    {
        std::unique_ptr<BasicWorld<Policy>> world;
        std::vector<Event> inbox;
        bool isStepDue = false;
    };

    void readPlatform(std::size_t host);
    void pollPlatform();
    void tick(std::size_t host, std::uint64_t incarnation);
    void scheduleStep(std::size_t host);
    void step(std::size_t host);
    void send(std::size_t from, const SendPeer &effect);
    [[nodiscard]] std::size_t indexOf(HostId id) const;
    [[nodiscard]] HostListRead listing() const;

    BenchState *m_state;
    std::shared_ptr<const Configuration> m_configuration;
    std::uint64_t m_seed;
    Sink m_sink;
    const BackendBench *m_backends = nullptr;
    std::vector<Row> m_rows;
    HostListRead m_listing; ///< What the platform says now, which was true some time ago.
    bool m_isPlatformUp = true;
};

extern template class HostBench<TieredPolicy>;
extern template class HostBench<FifoPolicy>;
extern template class HostBench<RoundRobinPolicy>;
extern template class HostBench<ReportedLoadPolicy>;
extern template class HostBench<NoOwnerPolicy>;

} // namespace currantreel

#endif
