#ifndef CURRANTREEL_SHELL_PLATFORMCLIENT_H
#define CURRANTREEL_SHELL_PLATFORMCLIENT_H

#include "../Log/Log.h"
#include "../Settings/HostSettings.h"
#include "../World/Event.h"
#include "EventHandles.h"
#include "OutgoingExchange.h"
#include <functional>
#include <memory>
#include <string>

namespace currantreel {

/// Reads what the platform publishes: the configuration's head and document, and the host list.
/// It never writes. While the platform is down the last values stay in force.
class PlatformClient
{
public:
    PlatformClient(event_base *base, const HostSettings &settings, const Log &log,
                   std::function<void(Event)> sink);
    ~PlatformClient();
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    /// Begins to watch.
    void start();

    [[nodiscard]] bool isReachable() const { return m_isReachable; }
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }

private:
    /// One series of reads; a finished one is looked at when its timer fires, outside of the
    /// exchange's own callbacks.
    struct Reader;

    void read(Reader &reader, const std::string &path);
    void onWatchTimer();
    void onHostsTimer();
    void onHead(const std::string &body);
    void onDocument(const std::string &body);
    void onHosts(const std::string &body);
    void setReachable(bool isReachable);

    event_base *m_base;
    const HostSettings *m_settings;
    const Log *m_log;
    std::function<void(Event)> m_sink;
    std::unique_ptr<Reader> m_watch;
    std::unique_ptr<Reader> m_hosts;
    std::uint64_t m_version = 0; ///< Version in force.
    std::uint64_t m_headVersion = 0; ///< Version being read; 0 while the head is watched.
    std::string m_headDigest;
    std::uint64_t m_calls = 0;
    std::size_t m_addressIndex = 0;
    bool m_isReachable = false;
};

} // namespace currantreel

#endif
