#include "HostSimulator.h"

#include "../World/Timing.h"
#include "ReplayRandom.h"

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Difference between the clock origins of consecutive hosts.
constexpr Duration clockOriginSpacing = 1000s;
/// Clock origin of the first host; no clock shows an earlier time.
constexpr Duration minClockOrigin = 100s;
/// Number of identifier bits below the incarnation.
constexpr std::uint64_t incarnationShift = 40;
constexpr std::uint16_t callerPort = 8080;
constexpr std::uint16_t peerPort = 8082;

Address addressOf(std::size_t host, std::uint16_t port)
{
    Address address;
    address.ip = "10.0.0." + std::to_string(host + 1);
    address.port = port;
    return address;
}

KeySecret secretOf(std::uint64_t seed)
{
    ReplayRandom random(seed);
    KeySecret secret{};
    for (unsigned char &byte : secret)
        byte = static_cast<unsigned char>(random.below(UINT8_MAX + 1));
    return secret;
}

} // namespace

template <RoutingPolicy Policy>
HostSimulator<Policy>::HostSimulator(SimulationState &state,
                                     std::shared_ptr<const Configuration> configuration,
                                     std::uint64_t seed, EffectHandler effectHandler)
    : m_state(&state),
      m_configuration(std::move(configuration)),
      m_seed(seed),
      m_effectHandler(std::move(effectHandler)),
      m_processes(state.hosts.size())
{
}

template <RoutingPolicy Policy>
void HostSimulator<Policy>::start(const BackendSimulator &backends)
{
    m_backends = &backends;
    m_platformList = currentHostList();
    for (std::size_t host = 0; host < m_processes.size(); ++host)
        restart(host);
    pollPlatform();
}

template <RoutingPolicy Policy>
HostListRead HostSimulator<Policy>::currentHostList() const
{
    HostListRead list;
    for (std::size_t i = 0; i < m_state->hosts.size(); ++i) {
        const HostState &host = m_state->hosts[i];
        list.hosts.push_back(HostEntry{ host.id, host.name,
                                        FailureDomainId::ofName(host.failureDomain),
                                        addressOf(i, callerPort), addressOf(i, peerPort) });
    }
    for (const BackendServer &server : m_configuration->backendServers) {
        const bool isLeaving = m_backends->isLeaving(server.id);
        list.backendServers.push_back(
            BackendServerEntry{ server.id, isLeaving ? Liveness::Leaving : Liveness::Live });
    }
    return list;
}

template <RoutingPolicy Policy>
void HostSimulator<Policy>::deliverPlatformState(std::size_t host)
{
    if (!m_isPlatformUp)
        return;
    deliver(host, ConfigurationRead{ m_configuration });
    deliver(host, m_platformList);
}

template <RoutingPolicy Policy>
void HostSimulator<Policy>::pollPlatform()
{
    m_state->scheduler.after(replaytiming::platformPollInterval, [this] {
        HostListRead seen = currentHostList();
        m_state->scheduler.after(replaytiming::platformStaleness,
                                 [this, seen = std::move(seen)] { m_platformList = seen; });
        for (std::size_t host = 0; host < m_processes.size(); ++host)
            deliverPlatformState(host);
        pollPlatform();
    });
}

template <RoutingPolicy Policy>
void HostSimulator<Policy>::restart(std::size_t host)
{
    HostState &state = m_state->hosts[host];
    state.isDown = false;
    ++state.incarnation;
    const Incarnation incarnation{ state.incarnation << incarnationShift };
    m_processes[host].world = std::make_unique<BasicWorld<Policy>>(
        HostIdentity{ state.id, state.name, FailureDomainId::ofName(state.failureDomain),
                      incarnation },
        secretOf(m_seed + state.id.value + incarnation.value));
    deliverPlatformState(host);
    tick(host, state.incarnation);
}

template <RoutingPolicy Policy>
void HostSimulator<Policy>::crash(std::size_t host)
{
    m_state->hosts[host].isDown = true;
    m_processes[host].world.reset();
    m_processes[host].inbox.clear();
}

template <RoutingPolicy Policy>
void HostSimulator<Policy>::pause(std::size_t host, Duration time)
{
    m_state->hosts[host].pausedUntil = m_state->scheduler.now() + time;
}

template <RoutingPolicy Policy>
void HostSimulator<Policy>::deliver(std::size_t host, Event event)
{
    if (m_state->hosts[host].isDown)
        return;
    m_processes[host].inbox.push_back(std::move(event));
    scheduleStep(host);
}

template <RoutingPolicy Policy>
void HostSimulator<Policy>::scheduleStep(std::size_t host)
{
    HostProcess &process = m_processes[host];
    if (std::exchange(process.isStepDue, true))
        return;
    const TimePoint at = std::max(m_state->scheduler.now(), m_state->hosts[host].pausedUntil);
    m_state->scheduler.at(at, [this, host] { step(host); });
}

template <RoutingPolicy Policy>
void HostSimulator<Policy>::tick(std::size_t host, std::uint64_t incarnation)
{
    if (!m_state->isUp(host, incarnation))
        return;
    scheduleStep(host);
    m_state->scheduler.after(timing::tickInterval,
                             [this, host, incarnation] { tick(host, incarnation); });
}

template <RoutingPolicy Policy>
void HostSimulator<Policy>::step(std::size_t host)
{
    HostProcess &process = m_processes[host];
    process.isStepDue = false;
    if (!process.world)
        return;
    const TimePoint now = m_state->scheduler.now();
    // A pause may have begun after the step was scheduled.
    if (now < m_state->hosts[host].pausedUntil) {
        scheduleStep(host);
        return;
    }
    const std::vector<Event> events = std::exchange(process.inbox, {});
    const Duration origin = minClockOrigin + clockOriginSpacing * static_cast<std::int64_t>(host);
    const EffectList effects = process.world->step(now + origin, events);
    for (const Effect &effect : effects) {
        if (const auto *message = std::get_if<SendPeer>(&effect))
            send(host, *message);
        else
            m_effectHandler(host, effect);
    }
}

template <RoutingPolicy Policy>
std::size_t HostSimulator<Policy>::indexOf(HostId id) const
{
    const auto found = std::find_if(m_state->hosts.begin(), m_state->hosts.end(),
                                    [id](const HostState &host) { return host.id == id; });
    return static_cast<std::size_t>(found - m_state->hosts.begin());
}

template <RoutingPolicy Policy>
void HostSimulator<Policy>::send(std::size_t from, const SendPeer &effect)
{
    const std::size_t to = indexOf(effect.to);
    if (to == m_processes.size())
        return;
    m_state->scheduler.after(replaytiming::hopLatency, [this, from, to, message = effect.message] {
        const HostState &sender = m_state->hosts[from];
        if (!m_state->partitions.isPartitioned(sender.failureDomain,
                                               m_state->hosts[to].failureDomain))
            deliver(to, PeerMessageReceived{ sender.id, message });
    });
}

template class HostSimulator<TieredPolicy>;
template class HostSimulator<FifoPolicy>;
template class HostSimulator<RoundRobinPolicy>;
template class HostSimulator<ReportedLoadPolicy>;
template class HostSimulator<NoOwnerPolicy>;

} // namespace currantreel
