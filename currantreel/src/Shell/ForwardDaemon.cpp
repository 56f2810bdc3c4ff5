#include "ForwardDaemon.h"

#include "../Forward/ForwardTiming.h"
#include "../Settings/CheckedTable.h"
#include "DecisionLog.h"
#include "HostMeasures.h"
#include "SteadyNow.h"
#include <csignal>
#include <random>
#include <xxhash.h>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

constexpr int exitOk = 0;
constexpr int exitListenFailed = 3;
constexpr int exitStopTimedOut = 4;

/// Sources of published changes in the log, besides other hosts.
constexpr const char *platformSource = "platform";
constexpr const char *deferredSource = "deferred";

/// Shortest watch of a host, in percent of the longest one.
constexpr Duration::rep minWatchPercent = 70;

constexpr Duration tickInterval = 25ms;
/// Interval at which the settings file is checked for changes.
constexpr Duration settingsCheckInterval = 2s;
constexpr Duration idleCheckInterval = 1s;
/// Time without a new request after which connections are no longer accepted, and again the daemon
/// ends, so that no request is cut off on a connection that was accepted last.
constexpr Duration stopQuietTime = 300ms;
/// Time after the start of a graceful shutdown at which connections are no longer accepted, even if
/// requests still arrive.
constexpr Duration maxStopAcceptTime = 5s;
/// Time before the end of the grace time at which the remaining requests are answered as not
/// completed, and at which the process ends even if replies are not sent completely.
constexpr Duration finalAnswerMargin = 500ms;
constexpr Duration forcedStopMargin = 300ms;

/// Upper bound of the heartbeats of a host per second. Counters start from the wall clock in these
/// units, so that those of a restarted process are higher than all of its predecessor.
constexpr std::uint64_t heartbeatsPerSecond = 64;

/// Initial heartbeat counter of this process.
std::uint64_t firstHeartbeat()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch).count();
    return static_cast<std::uint64_t>(seconds) * heartbeatsPerSecond;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::uint64_t wallClockMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

std::uint64_t hashOfFile(const std::string &path)
{
    FaultList faults;
    const auto text = detail::readFile(path, faults);
    return text ? XXH3_64bits(text->data(), text->size()) : 0;
}

platform::StoreCallbacks makeStoreCallbacks(std::function<void(const PublishedPage &)> onPage,
                                            std::function<void(const PublishedChanges &)> onChanges,
                                            std::function<void(ReadFailure, std::string)> onFailed)
{
    return { std::move(onPage), std::move(onChanges), std::move(onFailed) };
}

PublishedReaderTiming readerTiming(const HostSettings &settings)
{
    PublishedReaderTiming timing;
    // A silent watch is noticed, and replaced, well within the bound for changes.
    const Duration longest =
        std::min(settings.platformWatchTimeout, settings.forward->changeBound * 2 / 5);
    // Hosts wait for different times, so that the platform confirms the state to one after the other.
    const std::uint64_t hash = XXH3_64bits(settings.name.data(), settings.name.size());
    const auto percent =
        minWatchPercent + static_cast<Duration::rep>(hash % (101 - minWatchPercent));
    timing.watch = longest * percent / 100;
    return timing;
}

} // namespace

ForwardDaemon::ForwardDaemon(HostSettings settings, std::string settingsPath)
    : m_settings(std::move(settings)),
      m_settingsPath(std::move(settingsPath)),
      m_settingsHash(hashOfFile(m_settingsPath)),
      m_base(makeEventBase()),
      m_log(m_settings.name, wallClockMilliseconds()),
      m_libeventLog(m_log),
      m_buffers(m_base.get(), measuredBounds(m_settings.limits), m_log),
      m_system(FailureDomainId::ofName(m_settings.failureDomain), randomSeed()),
      m_callers(m_base.get(), m_settings, m_log, m_buffers, m_system, [this] { applyEffects(); }),
      m_publishedLog(m_log),
      m_evacuationLog(m_log),
      m_store(m_base.get(), m_settings.platform.front(),
              makeStoreCallbacks(
                  [this](const PublishedPage &page) {
                      onStoreAnswered(page.revision);
                      apply(steadyNow(), platformSource, m_reader.onPage(steadyNow(), page));
                  },
                  [this](const PublishedChanges &changes) {
                      onStoreAnswered(changes.revision);
                      apply(steadyNow(), platformSource, m_reader.onChanges(steadyNow(), changes));
                  },
                  [this](ReadFailure failure, const std::string &detail) {
                      onStoreFailed(failure, detail);
                  })),
      m_reader(m_store, m_published, readerTiming(m_settings)),
      m_fleet(m_settings.peers, firstHeartbeat(), randomSeed()),
      m_runChecks(m_base.get(), [this](ServerRunId run,
                                       ServerRunState state) { onServerRunChecked(run, state); }),
      m_leases(m_system.directory(), m_system.groups(), Incarnation{ wallClockMilliseconds() }),
      m_peers(
          m_base.get(), m_settings,
          LinkIdentity{
              FleetSystem::idOf(m_settings.peers), Incarnation{ wallClockMilliseconds() }, {} },
          m_log, [](HostId /*host*/) { return true; },
          [this](Event event) { onPeerEvent(std::move(event)); }),
      m_operators(
          m_base.get(), m_settings, m_log, m_buffers, m_system, [this] { return isReady(); },
          [this] { return reportPublishedState(); },
          [this](std::uint64_t segment) { return clearSegment(segment); }),
      m_tick(event_new(m_base.get(), -1, EV_PERSIST, &ForwardDaemon::onTick, this)),
      m_sweep(event_new(m_base.get(), -1, 0, &ForwardDaemon::onSweep, this)),
      m_terminate(evsignal_new(m_base.get(), SIGTERM, &ForwardDaemon::onTerminate, this)),
      m_interrupt(evsignal_new(m_base.get(), SIGINT, &ForwardDaemon::onTerminate, this)),
      m_hangup(evsignal_new(m_base.get(), SIGHUP, &ForwardDaemon::onHangup, this))
{
    RetryBound bound;
    bound.ratio = m_settings.forward->retryRatio;
    bound.slack = m_settings.forward->retrySlack;
    bound.window = m_settings.forward->retryWindow;
    m_system.retries().setBound(bound);
    m_system.retries().setHosts(assumedHostCount);
    m_fleet.setSeeds(m_settings.forward->seeds);
    m_fleet.setChangeBound(m_settings.forward->changeBound);
    setWarmUpLimit();
    m_system.setOwnerLookup([this](TimePoint now, ServiceId service, std::size_t partition) {
        return m_fleet.ownerOf(now, service, partition);
    });
}

void ForwardDaemon::setWarmUpLimit()
{
    WarmUpLimit &limit = m_system.directory().warmUp();
    limit.setBound({ m_settings.forward->warmUpRatio, m_settings.forward->warmUpSlack });
    limit.setHosts({ [this](TimePoint now, ServiceId service, std::size_t partition) {
                        return m_fleet.isFirstOwner(now, service, partition);
                    },
                     [this](TimePoint /*now*/, BackendServerId server) {
                         return HostRank{ m_fleet.rankOfSelf(server.value), m_fleet.knownHosts() };
                     } });
}

int ForwardDaemon::run()
{
    if (!m_callers.listen() || !m_operators.listen() || !m_peers.listen()) {
        m_log.write("listen_failed",
                    { { "code", std::to_string(number(ResultCode::SettingsListenFailed)) },
                      { "callers", toText(m_settings.callers) },
                      { "operators", toText(m_settings.operators) },
                      { "peers", toText(m_settings.peers) } });
        m_log.flush();
        return exitListenFailed;
    }
    signal(SIGPIPE, SIG_IGN);
    const timeval interval = toTimeval(tickInterval);
    event_add(m_tick.get(), &interval);
    event_add(m_terminate.get(), nullptr);
    event_add(m_interrupt.get(), nullptr);
    event_add(m_hangup.get(), nullptr);
    m_log.write("started", { { "callers", toText(m_settings.callers) },
                             { "operators", toText(m_settings.operators) },
                             { "failure_domain", m_settings.failureDomain },
                             { "peers_proven", "false" } });
    m_reader.start(steadyNow());
    m_log.flush();
    event_base_dispatch(m_base.get());
    const std::size_t cutOff = m_callers.exchanges();
    m_log.write("stopped", { { "requests_cut_off", std::to_string(cutOff) } });
    m_log.flush();
    return cutOff == 0 ? exitOk : exitStopTimedOut;
}

void ForwardDaemon::applyEffects()
{
    if (m_isApplyingEffects)
        return;
    m_isApplyingEffects = true;
    for (auto effects = m_system.takeEffects(); !effects.empty();
         effects = m_system.takeEffects()) {
        for (const ForwardEffect &effect : effects)
            std::visit([this](const auto &alternative) { handle(alternative); }, effect);
    }
    m_isApplyingEffects = false;
    event_active(m_sweep.get(), EV_TIMEOUT, 0);
}

void ForwardDaemon::onTick(int /*descriptor*/, short /*what*/, void *self)
{
    static_cast<ForwardDaemon *>(self)->tick();
}

void ForwardDaemon::onSweep(int /*descriptor*/, short /*what*/, void *self)
{
    auto *daemon = static_cast<ForwardDaemon *>(self);
    daemon->m_callers.sweep();
    daemon->m_runChecks.sweep();
    daemon->m_log.flush();
}

void ForwardDaemon::tick()
{
    const TimePoint time = steadyNow();
    m_reader.run(time);
    apply(time, deferredSource, m_published.takeDueRemovals(time));
    runFleet(time);
    m_system.run(time);
    writeWarmUps();
    applyEffects();
    runQuarantine(time);
    grantQueued(time);
    checkSettingsFile(time);
    closeIdleConnections(time);
    logReadiness();
    if (m_isStopping)
        checkStop(time);
    m_log.flush();
}

bool ForwardDaemon::isReady() const
{
    return !m_isStopping && m_system.routes().version() > 0 && m_system.directory().size() > 0;
}

void ForwardDaemon::logReadiness()
{
    if (isReady() == m_wasReady)
        return;
    m_wasReady = !m_wasReady;
    m_log.write(m_wasReady ? "ready" : "not_ready",
                { { "version", std::to_string(m_system.routes().version()) },
                  { "servers", std::to_string(m_system.directory().size()) } });
}

void ForwardDaemon::onTerminate(int /*signal*/, short /*what*/, void *self)
{
    static_cast<ForwardDaemon *>(self)->stop();
}

void ForwardDaemon::stop()
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_stopStarted = steadyNow();
    m_callers.beginStop();
    m_system.beginStop(m_stopStarted, m_stopStarted + m_settings.stopGrace - finalAnswerMargin);
    m_log.write("stopping", { { "requests_in_progress", std::to_string(m_callers.exchanges()) } });
}

void ForwardDaemon::checkStop(TimePoint time)
{
    const Duration since = time - m_stopStarted;
    const bool isQuiet = time - m_callers.lastRequestAt() >= stopQuietTime;
    const bool endsAccepting =
        since >= timing::stopAcceptTime && (isQuiet || since >= maxStopAcceptTime);
    if (endsAccepting && m_callers.isAccepting()) {
        m_callers.refuseNewRequests();
        m_acceptEndedAt = time;
    }
    if (since >= m_settings.stopGrace - finalAnswerMargin) {
        m_callers.refuseNewRequests();
        m_system.endAll(time);
        applyEffects();
    }
    const bool isDone = !m_callers.isAccepting() && isQuiet
                        && time - m_acceptEndedAt >= stopQuietTime && !m_callers.isBusy();
    if (isDone || since >= m_settings.stopGrace - forcedStopMargin)
        event_base_loopexit(m_base.get(), nullptr);
}

void ForwardDaemon::onHangup(int /*signal*/, short /*what*/, void *self)
{
    static_cast<ForwardDaemon *>(self)->reload();
}

void ForwardDaemon::checkSettingsFile(TimePoint time)
{
    if (time - m_settingsCheckedAt < settingsCheckInterval)
        return;
    m_settingsCheckedAt = time;
    if (hashOfFile(m_settingsPath) != m_settingsHash)
        reload();
}

void ForwardDaemon::closeIdleConnections(TimePoint time)
{
    if (time - m_idleClosedAt < idleCheckInterval)
        return;
    m_idleClosedAt = time;
    m_callers.closeIdle(time);
}

void ForwardDaemon::reload()
{
    m_settingsHash = hashOfFile(m_settingsPath);
    auto loaded = loadHostSettings(m_settingsPath);
    if (const auto *faults = std::get_if<FaultList>(&loaded)) {
        m_log.write("reload_refused", { { "fault", toText(faults->front()) } });
        return;
    }
    const auto &settings = std::get<HostSettings>(loaded);
    if (!settings.forward) {
        m_log.write("reload_refused", { { "fault", "the [forward] table is missing" } });
        return;
    }
    m_settings.forward = settings.forward;
    m_system.directory().warmUp().setBound(
        { m_settings.forward->warmUpRatio, m_settings.forward->warmUpSlack });
    m_fleet.setSeeds(m_settings.forward->seeds);
    m_fleet.setChangeBound(m_settings.forward->changeBound);
    m_settings.stopGrace = settings.stopGrace;
    m_log.write("reloaded", { { "seeds", std::to_string(m_settings.forward->seeds.size()) } });
}

void ForwardDaemon::handle(const DecisionRecord &decision)
{
    writeDecision(m_log, decision);
}

void ForwardDaemon::handle(const FailureRecord &record)
{
    writeFailure(m_log, record);
}

void ForwardDaemon::writeWarmUps()
{
    ServerDirectory &directory = m_system.directory();
    for (const WarmUpRecord &record : directory.warmUp().takeRecords()) {
        const ForwardServer *server = directory.find(record.server);
        m_log.write(record.kind == WarmUpRecord::Kind::Began ? "server_warming_up"
                                                             : "warm_up_limit_reached",
                    { { "instance", server ? server->announced.instance : std::string() },
                      { "cold_ms", std::to_string(toMilliseconds(record.coldLeft)) },
                      { "share", std::to_string(record.share) } });
    }
}

void ForwardDaemon::handle(const LeavingRecord &record)
{
    m_log.write("server_leaving_reported",
                { { "request", record.callerId }, { "instance", record.instance } });
}

} // namespace currantreel
