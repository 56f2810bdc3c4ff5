#include "ForwardDaemon.h"

#include "DecisionLog.h"
#include "SteadyNow.h"
#include <algorithm>

/// @file
/// What the daemon receives besides requests: published items and messages of other hosts.

namespace currantreel {

namespace {

using namespace std::chrono_literals;

/// Minimum time between two passes over the requests that wait here as at their owner.
constexpr Duration minQueuePassInterval = 10ms;
/// Minimum interval between log lines on the number of peers.
constexpr Duration peersLogInterval = 1s;
/// Minimum time between two reports of workspaces ahead of their share, and their number in each.
constexpr Duration sharesLogInterval = 5s;
constexpr std::size_t maxSharesLogged = 4;

/// Weight of a host in the distribution of shared work, in percent of a processor core.
std::uint8_t weightOf(double processorShare)
{
    constexpr double weightPerCore = 100.0;
    constexpr double maxWeight = 255.0;
    return static_cast<std::uint8_t>(std::clamp(processorShare * weightPerCore, 1.0, maxWeight));
}

} // namespace

void ForwardDaemon::apply(TimePoint time, const std::string &source,
                          const std::vector<PublishedItem> &changedItems)
{
    if (changedItems.empty())
        return;
    m_publishedLog.onApplied(source, changedItems);
    // Other hosts are told before the items are decoded, which may take a while.
    sendFleet(time);
    for (const PublishedItem &item : changedItems) {
        std::visit([&](auto &&document) { applyDocument(time, item, document); },
                   platform::decodeDocument(item));
    }
    m_system.onServersChanged(time);
    applyEffects();
}

void ForwardDaemon::applyDocument(TimePoint /*time*/, const PublishedItem &item,
                                  std::shared_ptr<const RouteConfiguration> configuration)
{
    const CallerLimits limits = configuration->limits;
    const std::uint64_t version = configuration->version;
    const bool isInForce = m_system.onConfiguration(std::move(configuration));
    if (isInForce)
        m_callers.setLimits(limits);
    m_log.write(isInForce ? "configuration_in_force" : "configuration_passed_over",
                { { "version", std::to_string(version) },
                  { "revision", std::to_string(item.revision.number) } });
}

void ForwardDaemon::applyDocument(TimePoint time, const PublishedItem &item,
                                  const ServerAnnouncement &server)
{
    m_system.directory().announce(time, server);
    const ForwardServer *known =
        m_system.directory().find(BackendServerId::ofName(server.instance));
    const bool isLeaving = known && known->announced.isLeaving;
    m_log.write("server_announced", { { "instance", server.instance },
                                      { "address", toText(server.address) },
                                      { "leaving", isLeaving ? "true" : "false" },
                                      { "revision", std::to_string(item.revision.number) } });
}

void ForwardDaemon::applyDocument(TimePoint time, const PublishedItem &item,
                                  const platform::ServerWithdrawn &server)
{
    m_system.directory().withdraw(time, server.instance, item.revision.era);
    m_log.write("server_withdrawn", { { "instance", server.instance },
                                      { "reason", server.reason },
                                      { "revision", std::to_string(item.revision.number) } });
}

void ForwardDaemon::applyDocument(TimePoint time, const PublishedItem &item,
                                  const platform::DomainEvacuated &evacuated)
{
    if (!evacuated.fault.empty())
        applyDocument(time, item, Error{ ResultCode::PlatformAnswerMalformed, evacuated.fault });
    if (!m_system.directory().evacuate(time, evacuated.failureDomain))
        return;
    m_system.onEvacuated(time);
    m_evacuationLog.onEvacuated(evacuated.failureDomain, item.revision.number);
}

void ForwardDaemon::applyDocument(TimePoint time, const PublishedItem &item,
                                  const platform::DomainTakenBack &takenBack)
{
    const auto ended = m_system.directory().takeBack(time, takenBack.failureDomain);
    if (ended)
        m_evacuationLog.onTakenBack(time, *ended, item.revision.number);
}

void ForwardDaemon::applyDocument(TimePoint /*time*/, const PublishedItem & /*item*/,
                                  const platform::IgnoredItem & /*ignored*/)
{
}

void ForwardDaemon::applyDocument(TimePoint /*time*/, const PublishedItem &item, const Error &error)
{
    m_log.write("publication_refused", { { "code", std::to_string(number(error.code)) },
                                         { "detail", error.detail },
                                         { "revision", std::to_string(item.revision.number) } });
}

void ForwardDaemon::onPeerEvent(Event event)
{
    const auto *received = std::get_if<PeerMessageReceived>(&event);
    if (!received)
        return;
    m_leases.recordProcess(received->from, received->process);
    std::visit([&](const auto &message) { receive(received->from, message); }, received->message);
}

void ForwardDaemon::receive(HostId from, const FleetUpdate &update)
{
    m_fleet.receive(steadyNow(), from, update, m_published);
    m_quarantineSpread.onUpdate(steadyNow(), from, update.quarantineDigest, m_system.quarantine());
}

void ForwardDaemon::receive(HostId from, const PublishedRequest &request)
{
    m_fleet.receive(steadyNow(), from, request, m_published);
    sendFleet(steadyNow());
}

void ForwardDaemon::receive(HostId from, const PublishedUpdate &update)
{
    apply(steadyNow(), toText(m_fleet.addressOf(from)),
          m_fleet.receive(steadyNow(), from, update, m_published));
}

void ForwardDaemon::receive(HostId from, const PlacementGrantRequest &grantRequest)
{
    m_peers.send(from, m_fleet.addressOf(from),
                 m_leases.grantRequest(steadyNow(), from, grantRequest));
}

void ForwardDaemon::receive(HostId from, const PlacementGrant &grant)
{
    m_system.onGrant(steadyNow(), from, grant);
    applyEffects();
}

void ForwardDaemon::receive(HostId from, const PlacementUpdates &updates)
{
    const TimePoint now = steadyNow();
    m_leases.receive(now, from, updates);
    m_system.onServersChanged(now);
    applyEffects();
    if (now - m_queuePassAt >= minQueuePassInterval)
        grantQueued(now);
}

void ForwardDaemon::grantQueued(TimePoint now)
{
    m_queuePassAt = now;
    for (const auto &[host, grant] : m_leases.grantQueued(now))
        m_peers.send(host, m_fleet.addressOf(host), grant);
}

void ForwardDaemon::logShares(TimePoint now)
{
    if (now - m_sharesLoggedAt < sharesLogInterval)
        return;
    std::size_t logged = 0;
    for (const auto &[workspace, waiting] : m_leases.aheadOfShare()) {
        m_sharesLoggedAt = now;
        if (++logged > maxSharesLogged)
            return;
        m_log.write("workspace_over_share",
                    { { "workspace", std::string(m_system.routes().workspaceName(workspace)) },
                      { "waiting", std::to_string(waiting) } });
    }
}

void ForwardDaemon::receive(HostId from, const ActivePlacements &placements)
{
    m_leases.receive(steadyNow(), from, placements);
    m_log.write("owner_taken_over",
                { { "from", hexOf(from) },
                  { "part", std::to_string(placements.partition) },
                  { "requests", std::to_string(placements.placements.size()) } });
}

void ForwardDaemon::handle(const SendToOwner &effect)
{
    std::visit(
        [&](const auto &message) {
            m_peers.send(effect.owner, m_fleet.addressOf(effect.owner), message);
        },
        effect.message);
}

void ForwardDaemon::handle(const ExcludeOwner &effect)
{
    if (m_fleet.exclude(steadyNow(), effect.owner))
        m_log.write("owner_silent", { { "owner", hexOf(effect.owner) } });
}

FleetHost ForwardDaemon::describeSelf() const
{
    FleetHost self;
    self.failureDomain = FailureDomainId::ofName(m_settings.failureDomain);
    self.weight = weightOf(m_settings.forward->processorShare);
    self.reachesPlatform = m_isStoreReachable;
    self.isLeaving = m_isStopping;
    self.canOwn = isReady();
    return self;
}

PublishedStateReport ForwardDaemon::reportPublishedState() const
{
    PublishedStateReport report;
    report.revision = m_published.revision();
    report.restores = m_published.restores();
    report.outdatedAnswers = m_reader.outdatedAnswers();
    report.age = m_published.age(steadyNow());
    report.platformChecks = m_reader.checks();
    report.deferredRemovals = m_published.deferredRemovals();
    report.behind = m_fleet.timeBehind(steadyNow());
    report.itemRequests = m_fleet.counters().itemRequests;
    report.itemRequestsUnanswered = m_fleet.counters().itemRequestsUnanswered;
    report.itemAnswersWithGaps = m_fleet.counters().itemAnswersWithGaps;
    return report;
}

void ForwardDaemon::sendFleet(TimePoint time)
{
    for (const OutgoingFleetMessage &outgoing : m_fleet.run(time, describeSelf(), m_published)) {
        std::visit(
            [&](const auto &message) { m_peers.send(outgoing.to, outgoing.address, message); },
            outgoing.message);
    }
}

void ForwardDaemon::runFleet(TimePoint time)
{
    sendFleet(time);
    m_publishedLog.run(time, m_fleet, m_published);
    m_evacuationLog.run(time, m_system.directory());
    const bool mustWatchPlatform = m_fleet.mustWatchPlatform(time);
    if (mustWatchPlatform != m_reader.isWatching())
        m_log.write(mustWatchPlatform ? "platform_reading" : "platform_left_to_others",
                    { { "revision", std::to_string(m_published.revision().number) } });
    m_reader.setWatching(time, mustWatchPlatform);
    if (m_fleet.mustCheckPlatform(time, m_published))
        m_reader.check(time);
    m_leases.run(time, [this, time](HostId host) { return m_fleet.isPresent(time, host); });
    logShares(time);
    m_system.retries().setHosts(
        std::max(m_fleet.hostsSharingLimits(time),
                 m_fleet.presentHostCount(time) > 0 ? std::size_t{ 1 } : assumedHostCount));
    const bool isUnchanged = m_fleet.presentHostCount(time) == m_loggedHostCount;
    if (isUnchanged || time - m_peersLoggedAt < peersLogInterval)
        return;
    m_peersLoggedAt = time;
    m_loggedHostCount = m_fleet.presentHostCount(time);
    m_log.write("peers_changed", { { "present", std::to_string(m_loggedHostCount) } });
}

void ForwardDaemon::onStoreFailed(ReadFailure failure, const std::string &detail)
{
    if (failure == ReadFailure::HistoryLost)
        m_log.write("platform_history_lost",
                    { { "revision", std::to_string(m_published.revision().number) } });
    else
        setStoreReachable(false, detail);
    m_reader.onFailed(steadyNow(), failure);
}

void ForwardDaemon::onStoreAnswered(PublishedRevision revision)
{
    const bool isOutdated = m_reader.isOutdated(revision);
    setStoreReachable(!isOutdated, isOutdated ? "the answers are of an earlier era" : "");
}

void ForwardDaemon::setStoreReachable(bool isReachable, const std::string &detail)
{
    if (isReachable == m_isStoreReachable)
        return;
    m_isStoreReachable = isReachable;
    m_log.write(
        isReachable ? "platform_reached" : "platform_lost",
        { { "detail", detail }, { "revision", std::to_string(m_published.revision().number) } });
}

} // namespace currantreel
