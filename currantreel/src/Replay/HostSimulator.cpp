#include "HostSimulator.h"

#include "../World/Timing.h"
#include "ReplayRandom.h"

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Difference between the origins of two hosts' clocks.
constexpr Duration clockSpread = 1000s;
/// Time that every host's clock shows at least.
constexpr Duration clockStart = 100s;
/// Bits of an identifier below the incarnation.
constexpr std::uint64_t incarnationBits = 40;
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
HostBench<Policy>::HostBench(BenchState &state, std::shared_ptr<const Configuration> configuration,
                             std::uint64_t seed, Sink sink)
    : m_state(&state),
      m_configuration(std::move(configuration)),
      m_seed(seed),
      m_sink(std::move(sink)),
      m_rows(state.hosts.size())
{
}

template <RoutingPolicy Policy>
void HostBench<Policy>::start(const BackendBench &backends)
{
    m_backends = &backends;
    m_listing = listing();
    for (std::size_t host = 0; host < m_rows.size(); ++host)
        restart(host);
    pollPlatform();
}

template <RoutingPolicy Policy>
HostListRead HostBench<Policy>::listing() const
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
void HostBench<Policy>::readPlatform(std::size_t host)
{
    if (!m_isPlatformUp)
        return;
    deliver(host, ConfigurationRead{ m_configuration });
    deliver(host, m_listing);
}

template <RoutingPolicy Policy>
void HostBench<Policy>::pollPlatform()
{
    m_state->schedule.after(replaytiming::platformInterval, [this] {
        HostListRead seen = listing();
        m_state->schedule.after(replaytiming::platformLag,
                                [this, seen = std::move(seen)] { m_listing = seen; });
        for (std::size_t host = 0; host < m_rows.size(); ++host)
            readPlatform(host);
        pollPlatform();
    });
}

template <RoutingPolicy Policy>
void HostBench<Policy>::restart(std::size_t host)
{
    HostState &state = m_state->hosts[host];
    state.isDown = false;
    ++state.incarnation;
    const Incarnation incarnation{ state.incarnation << incarnationBits };
    m_rows[host].world = std::make_unique<BasicWorld<Policy>>(
        HostIdentity{ state.id, state.name, FailureDomainId::ofName(state.failureDomain),
                      incarnation },
        secretOf(m_seed + state.id.value + incarnation.value));
    readPlatform(host);
    tick(host, state.incarnation);
}

template <RoutingPolicy Policy>
void HostBench<Policy>::crash(std::size_t host)
{
    m_state->hosts[host].isDown = true;
    m_rows[host].world.reset();
    m_rows[host].inbox.clear();
}

template <RoutingPolicy Policy>
void HostBench<Policy>::pause(std::size_t host, Duration time)
{
    m_state->hosts[host].standsStillUntil = m_state->schedule.now() + time;
}

template <RoutingPolicy Policy>
void HostBench<Policy>::deliver(std::size_t host, Event event)
{
    if (m_state->hosts[host].isDown)
        return;
    m_rows[host].inbox.push_back(std::move(event));
    scheduleStep(host);
}

template <RoutingPolicy Policy>
void HostBench<Policy>::scheduleStep(std::size_t host)
{
    Row &row = m_rows[host];
    if (std::exchange(row.isStepDue, true))
        return;
    const TimePoint at = std::max(m_state->schedule.now(), m_state->hosts[host].standsStillUntil);
    m_state->schedule.at(at, [this, host] { step(host); });
}

template <RoutingPolicy Policy>
void HostBench<Policy>::tick(std::size_t host, std::uint64_t incarnation)
{
    if (!m_state->isUp(host, incarnation))
        return;
    scheduleStep(host);
    m_state->schedule.after(timing::tickInterval,
                            [this, host, incarnation] { tick(host, incarnation); });
}

template <RoutingPolicy Policy>
void HostBench<Policy>::step(std::size_t host)
{
    Row &row = m_rows[host];
    row.isStepDue = false;
    if (!row.world)
        return;
    const TimePoint now = m_state->schedule.now();
    // A pause may have begun after the step was asked for.
    if (now < m_state->hosts[host].standsStillUntil) {
        scheduleStep(host);
        return;
    }
    const std::vector<Event> events = std::exchange(row.inbox, {});
    const Duration origin = clockStart + clockSpread * static_cast<std::int64_t>(host);
    const EffectList effects = row.world->step(now + origin, events);
    for (const Effect &effect : effects) {
        if (const auto *message = std::get_if<SendPeer>(&effect))
            send(host, *message);
        else
            m_sink(host, effect);
    }
}

template <RoutingPolicy Policy>
std::size_t HostBench<Policy>::indexOf(HostId id) const
{
    const auto found = std::find_if(m_state->hosts.begin(), m_state->hosts.end(),
                                    [id](const HostState &host) { return host.id == id; });
    return static_cast<std::size_t>(found - m_state->hosts.begin());
}

template <RoutingPolicy Policy>
void HostBench<Policy>::send(std::size_t from, const SendPeer &effect)
{
    const std::size_t to = indexOf(effect.to);
    if (to == m_rows.size())
        return;
    m_state->schedule.after(replaytiming::hop, [this, from, to, message = effect.message] {
        const HostState &sender = m_state->hosts[from];
        if (!m_state->partitions.isCut(sender.failureDomain, m_state->hosts[to].failureDomain))
            deliver(to, PeerMessageReceived{ sender.id, message });
    });
}

template class HostBench<TieredPolicy>;
template class HostBench<FifoPolicy>;
template class HostBench<RoundRobinPolicy>;
template class HostBench<ReportedLoadPolicy>;
template class HostBench<NoOwnerPolicy>;

} // namespace currantreel
