#ifndef CURRANTREEL_SHELL_FORWARDDAEMON_H
#define CURRANTREEL_SHELL_FORWARDDAEMON_H

#include "../Fleet/FleetSystem.h"
#include "../Fleet/QuarantineSpread.h"
#include "../Placement/PlacementLeases.h"
#include "../Published/PublishedReader.h"
#include "../Published/PublishedState.h"
#include "EvacuationLog.h"
#include "ForwardHttpServer.h"
#include "ForwardOperatorHttpServer.h"
#include "LibeventLog.h"
#include "PeerLinks.h"
#include "PublishedStateLog.h"
#include "ServerRunChecks.h"
#include <platform/PublishedDocuments.h>
#include <platform/StoreClient.h>

namespace currantreel {

/// Process of one host that serves the published routes: the forward system with its HTTP servers,
/// peer links and store client, on a single-threaded event loop.
class ForwardDaemon
{
public:
    /// @param settingsPath file that is reloaded on SIGHUP and when its content changes.
    ForwardDaemon(HostSettings settings, std::string settingsPath);

    /// Starts listening and runs until a graceful shutdown has completed.
    /// @return exit status: 0 if all requests completed, 3 if an address could not be bound, 4 if
    /// requests were cut off at the end of the grace time.
    [[nodiscard]] int run();

private:
    /// Number of hosts assumed to share the retry budget as long as no peer has been heard of.
    static constexpr std::size_t assumedHostCount = 9;

    using Reader = PublishedReader<platform::StoreClient>;

    void setWarmUpLimit();
    void writeWarmUps();
    void applyEffects();
    void tick();
    void stop();
    void checkStop(TimePoint now);
    void reload();
    void checkSettingsFile(TimePoint now);
    void closeIdleConnections(TimePoint time);
    /// Applies @p changedItems. @param source of the changes, for the log.
    void apply(TimePoint now, const std::string &source,
               const std::vector<PublishedItem> &changedItems);
    void applyDocument(TimePoint now, const PublishedItem &item,
                       std::shared_ptr<const RouteConfiguration> configuration);
    void applyDocument(TimePoint now, const PublishedItem &item, const ServerAnnouncement &server);
    void applyDocument(TimePoint now, const PublishedItem &item,
                       const platform::ServerWithdrawn &server);
    void applyDocument(TimePoint now, const PublishedItem &item,
                       const platform::DomainEvacuated &evacuated);
    void applyDocument(TimePoint now, const PublishedItem &item,
                       const platform::DomainTakenBack &takenBack);
    void applyDocument(TimePoint now, const PublishedItem &item,
                       const platform::IgnoredItem &ignored);
    void applyDocument(TimePoint now, const PublishedItem &item, const Error &error);
    void onPeerEvent(Event event);
    void receive(HostId from, const FleetUpdate &update);
    void receive(HostId from, const PublishedRequest &request);
    void receive(HostId from, const PublishedUpdate &update);
    void receive(HostId from, const PlacementGrantRequest &grantRequest);
    void receive(HostId from, const PlacementGrant &grant);
    void receive(HostId from, const PlacementUpdates &updates);
    void receive(HostId from, const ActivePlacements &placements);
    void receive(HostId from, const SegmentReports &reports);
    /// Ignores messages of the model interface, which hosts of published routes do not use.
    template <typename T>
    void receive(HostId /*from*/, const T & /*message*/)
    {
    }
    void runFleet(TimePoint now);
    void grantQueued(TimePoint now);
    void logShares(TimePoint now);
    void sendFleet(TimePoint now);
    void runQuarantine(TimePoint now);
    bool clearSegment(std::uint64_t segment);
    void onServerRunChecked(ServerRunId run, ServerRunState state);
    [[nodiscard]] FleetHost describeSelf() const;
    void onStoreFailed(ReadFailure failure, const std::string &detail);
    void onStoreAnswered(PublishedRevision revision);
    void setStoreReachable(bool isReachable, const std::string &detail);
    void handle(const DecisionRecord &decision);
    void handle(const FailureRecord &record);
    void handle(const LeavingRecord &record);
    void handle(const SendToOwner &effect);
    void handle(const ExcludeOwner &effect);
    void handle(const CheckServerRun &effect);
    template <typename T>
    void handle(const T &effect)
    {
        m_callers.handle(effect);
    }
    [[nodiscard]] PublishedStateReport reportPublishedState() const;
    [[nodiscard]] bool isReady() const;
    void logReadiness();

    static void onTick(int descriptor, short what, void *self);
    static void onSweep(int descriptor, short what, void *self);
    static void onTerminate(int signal, short what, void *self);
    static void onHangup(int signal, short what, void *self);

    HostSettings m_settings;
    std::string m_settingsPath;
    std::uint64_t m_settingsHash = 0;
    EventBaseHandle m_base;
    Log m_log;
    LibeventLog m_libeventLog;
    CallerBuffers m_buffers; ///< Outlives the HTTP servers.
    ForwardSystem m_system;
    ForwardHttpServer m_callers;
    PublishedState m_published;
    PublishedStateLog m_publishedLog;
    EvacuationLog m_evacuationLog;
    platform::StoreClient m_store;
    Reader m_reader;
    FleetSystem m_fleet;
    QuarantineSpread m_quarantineSpread;
    ServerRunChecks m_runChecks;
    PlacementLeases m_leases;
    PeerLinks m_peers;
    ForwardOperatorHttpServer m_operators;
    EventHandle m_tick;
    EventHandle m_sweep; ///< Deletes ended exchanges outside of their callbacks.
    EventHandle m_terminate;
    EventHandle m_interrupt;
    EventHandle m_hangup;
    TimePoint m_stopStarted;
    TimePoint m_acceptEndedAt; ///< When new connections were last accepted in a graceful shutdown.
    TimePoint m_settingsCheckedAt;
    TimePoint m_idleClosedAt;
    bool m_isApplyingEffects = false;
    bool m_isStopping = false;
    bool m_isStoreReachable = false;
    bool m_wasReady = false;
    std::size_t m_loggedHostCount = 0; ///< Value last logged.
    TimePoint m_peersLoggedAt;
    TimePoint m_sharesLoggedAt;
    TimePoint m_queuePassAt; ///< When queued requests of other hosts were last granted.
};

} // namespace currantreel

#endif
