#include "Daemon.h"

#include "../World/Timing.h"
#include "HostMeasures.h"
#include "SteadyNow.h"
#include <csignal>
#include <sodium.h>

namespace currantreel {

namespace {

constexpr int exitOk = 0;
constexpr int exitListenFailed = 3;
constexpr int exitStopTimedOut = 4;

/// Low bits of an identifier, below those of the incarnation. Identifiers of two incarnations of a
/// host differ as long as a process creates fewer than 2^20 per millisecond.
constexpr unsigned sequenceBits = 20;

/// Time for sending the last replies after the last request has ended.
constexpr Duration flushTime = std::chrono::milliseconds(200);

Incarnation drawIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    return Incarnation{ static_cast<std::uint64_t>(milliseconds) << sequenceBits };
}

KeySecret drawSecret()
{
    KeySecret secret{};
    randombytes_buf(secret.data(), secret.size());
    return secret;
}

HostIdentity identityOf(const HostSettings &settings, Incarnation incarnation)
{
    return HostIdentity{ HostId::ofName(settings.name), settings.name,
                         FailureDomainId::ofName(settings.failureDomain), incarnation };
}

} // namespace

Daemon::Daemon(const HostSettings &settings)
    : m_settings(&settings),
      m_base(makeEventBase()),
      m_incarnation(drawIncarnation()),
      m_log(settings.name, m_incarnation.value),
      m_libeventLog(m_log),
      m_world(identityOf(settings, m_incarnation), drawSecret()),
      m_buffers(m_base.get(), measuredBounds(settings.limits), m_log),
      m_callers(m_base.get(), settings, m_buffers, m_incarnation,
                [this](Event event) { post(std::move(event)); }),
      m_operators(m_base.get(), settings, m_buffers, m_world),
      m_platform(m_base.get(), settings, m_log, [this](Event event) { post(std::move(event)); }),
      m_peers(
          m_base.get(), settings,
          LinkIdentity{ HostId::ofName(settings.name), m_incarnation, settings.clusterSecret },
          m_log, [this](HostId host) { return m_world.isHostKnown(host); },
          [this](Event event) { post(std::move(event)); }),
      m_tick(event_new(m_base.get(), -1, EV_PERSIST, &Daemon::onTick, this)),
      m_terminate(evsignal_new(m_base.get(), SIGTERM, &Daemon::onSignal, this)),
      m_interrupt(evsignal_new(m_base.get(), SIGINT, &Daemon::onSignal, this))
{
}

int Daemon::run()
{
    if (!m_callers.listen() || !m_operators.listen() || !m_peers.listen()) {
        m_log.write("listen_failed",
                    { { "code", std::to_string(number(ResultCode::SettingsListenFailed)) },
                      { "callers", toText(m_settings->callers) },
                      { "operators", toText(m_settings->operators) },
                      { "peers", toText(m_settings->peers) } });
        m_log.flush();
        return exitListenFailed;
    }
    signal(SIGPIPE, SIG_IGN);
    const timeval interval = toTimeval(timing::tickInterval);
    event_add(m_tick.get(), &interval);
    event_add(m_terminate.get(), nullptr);
    event_add(m_interrupt.get(), nullptr);
    m_log.write("started", { { "callers", toText(m_settings->callers) },
                             { "operators", toText(m_settings->operators) } });
    event_base_dispatch(m_base.get());
    const bool hasCompleted = m_callers.exchanges() == 0;
    m_log.write("stopped", { { "requests_cut_off", std::to_string(m_callers.exchanges()) } });
    return hasCompleted ? exitOk : exitStopTimedOut;
}

void Daemon::post(Event event)
{
    m_events.push_back(std::move(event));
    event_active(m_tick.get(), EV_TIMEOUT, 0);
}

void Daemon::onTick(int /*descriptor*/, short /*what*/, void *self)
{
    static_cast<Daemon *>(self)->tick();
}

void Daemon::tick()
{
    const std::vector<Event> events = std::exchange(m_events, {});
    for (const Effect &effect : m_world.step(steadyNow(), events))
        std::visit([this](const auto &alternative) { handle(alternative); }, effect);
    m_callers.sweep();
    m_log.flush();
    if (m_isStopping && steadyNow() > m_stopBy)
        event_base_loopbreak(m_base.get());
}

void Daemon::onSignal(int /*signal*/, short /*what*/, void *self)
{
    static_cast<Daemon *>(self)->stop();
}

void Daemon::stop()
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_stopBy = steadyNow() + m_settings->stopGrace;
    m_log.write("stopping",
                { { "requests_in_progress", std::to_string(m_world.requestsInProgress()) } });
    post(StopRequested{});
}

void Daemon::handle(const SendPeer &effect)
{
    m_peers.send(effect.to, effect.address, effect.message);
}

void Daemon::handle(const StartAttempt &effect)
{
    // The lease may have expired if the process was paused after the slot was granted.
    if (steadyNow() > effect.notAfter)
        post(AttemptFailed{ effect.attempt, false });
    else
        m_callers.handle(effect);
}

void Daemon::handle(const ReconnectPeer &effect)
{
    m_peers.reconnect(effect.host, effect.address);
}

void Daemon::handle(const ConfigurationActivated &effect)
{
    m_log.write("configuration_in_force", { { "version", std::to_string(effect.version) },
                                            { "digest", m_world.configuration().digest } });
}

void Daemon::handle(const PatchRefused &effect)
{
    m_log.write("patch_refused", { { "patch", std::to_string(effect.number) },
                                   { "code", std::to_string(number(effect.error.code)) },
                                   { "name", std::string(info(effect.error.code).name) },
                                   { "detail", effect.error.detail } });
}

void Daemon::handle(const WatchPlatform &effect)
{
    m_platform.watch(effect);
}

void Daemon::handle(const ReadPlatform &effect)
{
    m_platform.read(effect);
}

void Daemon::handle(const ReadHostList & /*effect*/)
{
    m_platform.readHostList();
}

void Daemon::handle(const StopCompleted & /*effect*/)
{
    const timeval timeout = toTimeval(flushTime);
    event_base_loopexit(m_base.get(), &timeout);
}

} // namespace currantreel
