#ifndef CURRANTREEL_SHELL_PLATFORMCLIENT_H
#define CURRANTREEL_SHELL_PLATFORMCLIENT_H

#include "../Log/Log.h"
#include "../Settings/HostSettings.h"
#include "../World/Effect.h"
#include "../World/Event.h"
#include "EventHandles.h"
#include "OutgoingExchange.h"
#include <functional>
#include <memory>
#include <string>

namespace currantreel {

/// Read-only client of the platform: reads and watches the configuration and reads the host list,
/// with at most one call in progress for each.
class PlatformClient
{
public:
    PlatformClient(event_base *base, const HostSettings &settings, const Log &log,
                   std::function<void(Event)> sink);
    ~PlatformClient();
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    /// Each call ends with an event PlatformValue, HostListRead or PlatformUnreachable.
    void watch(const WatchPlatform &effect);
    void read(const ReadPlatform &effect);
    void readHostList();

private:
    /// One call. Its completion is handled when its timer fires, since the exchange must not be
    /// destroyed in its own callbacks.
    struct Call;

    void begin(Call &call, std::string name, std::string path);
    static void onTimer(int descriptor, short what, void *call);
    void end(Call &call);
    void endHostList(const std::string &body);
    void setReachable(bool isReachable);

    event_base *m_base;
    const HostSettings *m_settings;
    const Log *m_log;
    std::function<void(Event)> m_sink;
    std::unique_ptr<Call> m_configuration;
    std::unique_ptr<Call> m_hosts;
    std::size_t m_addressIndex = 0;
    bool m_isReachable = false;
};

} // namespace currantreel

#endif
