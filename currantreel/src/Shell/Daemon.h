#ifndef CURRANTREEL_SHELL_DAEMON_H
#define CURRANTREEL_SHELL_DAEMON_H

#include "../Log/Log.h"
#include "../Settings/HostSettings.h"
#include "../World/World.h"
#include "CallerHttpServer.h"
#include "EventHandles.h"
#include "LibeventLog.h"
#include "OperatorHttpServer.h"
#include "PeerLinks.h"
#include "PlatformClient.h"
#include <vector>

namespace currantreel {

/// Process of one host: the deterministic core with its HTTP servers, peer links and platform
/// client, on a single-threaded event loop.
class Daemon
{
public:
    explicit Daemon(const HostSettings &settings);

    /// Starts listening and runs until a graceful shutdown has completed.
    /// @return exit status: 0 if all requests completed, 3 if an address could not be bound, 4 if
    /// requests were cut off at the end of the grace time.
    [[nodiscard]] int run();

private:
    void post(Event event);
    void tick();
    void stop();
    void handle(const StartAttempt &effect);
    void handle(const SendPeer &effect);
    void handle(const ReconnectPeer &effect);
    void handle(const ConfigurationActivated &effect);
    void handle(const PatchRefused &effect);
    void handle(const WatchPlatform &effect);
    void handle(const ReadPlatform &effect);
    void handle(const ReadHostList &effect);
    void handle(const StopCompleted &effect);
    template <typename T>
    void handle(const T &effect)
    {
        m_callers.handle(effect);
    }

    static void onTick(int descriptor, short what, void *self);
    static void onSignal(int signal, short what, void *self);

    const HostSettings *m_settings;
    EventBaseHandle m_base;
    Incarnation m_incarnation;
    Log m_log;
    LibeventLog m_libeventLog;
    World m_world;
    CallerBuffers m_buffers; ///< Outlives the HTTP servers.
    CallerHttpServer m_callers;
    OperatorHttpServer m_operators;
    PlatformClient m_platform;
    PeerLinks m_peers;
    std::vector<Event> m_events;
    EventHandle m_tick;
    EventHandle m_terminate;
    EventHandle m_interrupt;
    TimePoint m_stopBy;
    bool m_isStopping = false;
};

} // namespace currantreel

#endif
