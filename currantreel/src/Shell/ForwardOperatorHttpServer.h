#ifndef CURRANTREEL_SHELL_FORWARDOPERATORHTTPSERVER_H
#define CURRANTREEL_SHELL_FORWARDOPERATORHTTPSERVER_H

#include "../Forward/ForwardSystem.h"
#include "../Log/Log.h"
#include "../Published/PublishedRevision.h"
#include "../Settings/HostSettings.h"
#include "Callers/CallerBuffers.h"
#include "EventHandles.h"
#include <functional>

namespace currantreel {

/// State of the published items on a host, for its metrics.
struct PublishedStateReport
{
    PublishedRevision revision;
    std::uint64_t restores = 0; ///< Times that the store came back from an older copy.
    std::uint64_t outdatedAnswers = 0; ///< Of the platform, of an earlier era than the state.
    Duration age{}; ///< Time since the platform last confirmed the state, through any host.
    std::uint64_t platformChecks = 0; ///< Calls to the platform because the state was too old.
    std::size_t deferredRemovals = 0;
    Duration behind{}; ///< For how long the host has known that another one has newer state.
    std::uint64_t itemRequests = 0;
    std::uint64_t itemRequestsUnanswered = 0;
    std::uint64_t itemAnswersWithGaps = 0;
};

/// HTTP server for operators of a host that serves published routes: health, readiness, status and
/// metrics.
class ForwardOperatorHttpServer
{
public:
    /// @param buffers bounds the connections; has to outlive this.
    /// @param clearSegment ends the quarantine of a prompt segment; false if it is not quarantined.
    ForwardOperatorHttpServer(event_base *base, const HostSettings &settings, const Log &log,
                              CallerBuffers &buffers, const ForwardSystem &system,
                              std::function<bool()> isReady,
                              std::function<PublishedStateReport()> publishedState,
                              std::function<bool(std::uint64_t)> clearSegment);

    /// Starts listening. Returns false if the address cannot be bound.
    [[nodiscard]] bool listen();

private:
    static void onRequest(evhttp_request *request, void *self);
    void reply(evhttp_request *request);
    void replyToClear(evhttp_request *request, std::string_view segment);
    [[nodiscard]] std::string quarantineBody() const;
    [[nodiscard]] std::string statusBody() const;
    void appendEvacuations(std::string &text) const;
    [[nodiscard]] std::string metricsBody() const;
    void appendWorkspaces(std::string &text) const;

    const HostSettings *m_settings;
    const Log *m_log;
    CallerBuffers *m_buffers;
    const ForwardSystem *m_system;
    std::function<bool()> m_isReady;
    std::function<PublishedStateReport()> m_publishedState;
    std::function<bool(std::uint64_t)> m_clearSegment;
    HttpServerHandle m_server;
};

} // namespace currantreel

#endif
