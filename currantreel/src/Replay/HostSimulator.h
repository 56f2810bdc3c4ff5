#ifndef CURRANTREEL_REPLAY_HOSTSIMULATOR_H
#define CURRANTREEL_REPLAY_HOSTSIMULATOR_H

#include "../World/World.h"
#include "BackendSimulator.h"
#include "SimulationState.h"
#include <functional>
#include <memory>
#include <vector>

namespace currantreel {

/// Runs several worlds under one virtual clock and delivers the messages between them. The clock of
/// each host has its own origin.
template <RoutingPolicy Policy>
class HostSimulator
{
public:
    using EffectHandler = std::function<void(std::size_t host, const Effect &effect)>;

    /// @param sink receives every effect but messages to peers.
    HostSimulator(SimulationState &state, std::shared_ptr<const Configuration> configuration,
                  std::uint64_t seed, EffectHandler effectHandler);

    /// Starts every host and the periodic polling of the platform.
    void start(const BackendSimulator &backends);

    /// Delivers an event to @p host; it is lost if the host is down.
    void deliver(std::size_t host, Event event);

    void pause(std::size_t host, Duration time);
    void crash(std::size_t host);
    void restart(std::size_t host);
    void setPlatformUp(bool isUp) { m_isPlatformUp = isUp; }

private:
    struct HostProcess
    {
        std::unique_ptr<BasicWorld<Policy>> world;
        std::vector<Event> inbox;
        bool isStepDue = false;
    };

    void deliverPlatformState(std::size_t host);
    void pollPlatform();
    void tick(std::size_t host, std::uint64_t incarnation);
    void scheduleStep(std::size_t host);
    void step(std::size_t host);
    void send(std::size_t from, const SendPeer &effect);
    [[nodiscard]] std::size_t indexOf(HostId id) const;
    [[nodiscard]] HostListRead currentHostList() const;

    SimulationState *m_state;
    std::shared_ptr<const Configuration> m_configuration;
    std::uint64_t m_seed;
    EffectHandler m_effectHandler;
    const BackendSimulator *m_backends = nullptr;
    std::vector<HostProcess> m_processes;
    HostListRead m_platformList; ///< Stale by replaytiming::platformStaleness.
    bool m_isPlatformUp = true;
};

extern template class HostSimulator<TieredPolicy>;
extern template class HostSimulator<FifoPolicy>;
extern template class HostSimulator<RoundRobinPolicy>;
extern template class HostSimulator<ReportedLoadPolicy>;
extern template class HostSimulator<NoOwnerPolicy>;

} // namespace currantreel

#endif
