#include "ForwardOperatorHttpServer.h"

#include "../Core/ParseNumber.h"
#include "../Placement/EvacuationReport.h"
#include "HttpReply.h"
#include "SteadyNow.h"
#include <cmath>
#include <fmt/format.h>
#include <iterator>
#include <nlohmann/json.hpp>

namespace currantreel {

namespace {

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr std::string_view metricsText = "text/plain; version=0.0.4";
constexpr std::string_view quarantinePath = "/v1/quarantine";
constexpr int hexadecimal = 16;

/// Names come from keys of the store and from other hosts: bytes that aren't UTF-8 are replaced.
std::string textOf(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string quoted(const std::string &text)
{
    return textOf(nlohmann::json(text));
}

} // namespace

ForwardOperatorHttpServer::ForwardOperatorHttpServer(
    event_base *base, const HostSettings &settings, const Log &log, CallerBuffers &buffers,
    const ForwardSystem &system, std::function<bool()> isReady,
    std::function<PublishedStateReport()> publishedState,
    std::function<bool(std::uint64_t)> clearSegment)
    : m_settings(&settings),
      m_log(&log),
      m_buffers(&buffers),
      m_system(&system),
      m_isReady(std::move(isReady)),
      m_publishedState(std::move(publishedState)),
      m_clearSegment(std::move(clearSegment)),
      m_server(evhttp_new(base))
{
    buffers.attach(m_server.get(), RequestSizes{});
    evhttp_set_gencb(m_server.get(), &ForwardOperatorHttpServer::onRequest, this);
}

bool ForwardOperatorHttpServer::listen()
{
    return m_buffers->listen(m_server.get(), m_settings->operators,
                             CallerBuffers::Peers::Operators);
}

void ForwardOperatorHttpServer::onRequest(evhttp_request *request, void *self)
{
    static_cast<ForwardOperatorHttpServer *>(self)->reply(request);
}

void ForwardOperatorHttpServer::reply(evhttp_request *request)
{
    const std::string path = pathOf(request);
    if (path == "/ready" || path == "/readyz")
        sendReply(request, m_isReady() ? statusOk : statusUnavailable, jsonType,
                  m_isReady() ? R"({"ready":true})" : R"({"ready":false})");
    else if (path == "/healthz")
        sendReply(request, statusOk, jsonType, R"({"healthy":true})");
    else if (path == "/v1/status")
        sendReply(request, statusOk, jsonType, statusBody());
    else if (path == quarantinePath)
        sendReply(request, statusOk, jsonType, quarantineBody());
    else if (path.starts_with(quarantinePath))
        replyToClear(request, std::string_view(path).substr(quarantinePath.size()));
    else if (path == "/metrics")
        sendReply(request, statusOk, metricsText, metricsBody());
    else
        sendError(request, ResultCode::RequestUnknownPath, Outcome::NotRun, {}, path);
}

void ForwardOperatorHttpServer::replyToClear(evhttp_request *request, std::string_view segment)
{
    if (evhttp_request_get_command(request) != EVHTTP_REQ_DELETE) {
        sendError(request, ResultCode::RequestWrongMethod, Outcome::NotRun, {});
        return;
    }
    const std::string_view digits = segment.starts_with('/') ? segment.substr(1) : segment;
    const auto id = parseNumber(digits, hexadecimal);
    if (!id || !m_clearSegment(*id)) {
        sendError(request, ResultCode::SegmentNotQuarantined, Outcome::NotRun, {});
        return;
    }
    sendReply(request, statusOk, jsonType, R"({"cleared":true})");
}

std::string ForwardOperatorHttpServer::quarantineBody() const
{
    nlohmann::json segments = nlohmann::json::array();
    for (const SegmentQuarantine::Listing &entry : m_system->quarantine().listing(steadyNow())) {
        segments.push_back({ { "segment", fmt::format("{:x}", entry.evidence.segment) },
                             { "ends", entry.evidence.ends },
                             { "spread_ms", toMilliseconds(entry.evidence.spread) },
                             { "was_sound", entry.evidence.wasSound },
                             { "time_left_ms", toMilliseconds(entry.timeLeft) } });
    }
    return textOf({ { "host", m_settings->name }, { "segments", segments } });
}

std::string ForwardOperatorHttpServer::statusBody() const
{
    nlohmann::json status;
    status["host"] = m_settings->name;
    status["failure_domain"] = m_settings->failureDomain;
    status["ready"] = m_isReady();
    status["configuration"] = { { "version", m_system->routes().version() } };
    status["requests_in_progress"] = m_system->size();
    status["queued"] = m_system->queued();
    status["evacuated_failure_domains"] = nlohmann::json::array();
    for (const EvacuationReport &report : evacuationReports(m_system->directory(), steadyNow())) {
        status["evacuated_failure_domains"].push_back(
            { { "failure_domain", report.failureDomain },
              { "evacuated_ms", toMilliseconds(report.evacuated) },
              { "servers", report.servers },
              { "own_requests", report.ownRequests },
              { "others_requests", report.othersRequests } });
    }
    status["backend_servers"] = nlohmann::json::array();
    for (const ForwardServer &server : m_system->directory().servers()) {
        status["backend_servers"].push_back(
            { { "instance", server.announced.instance },
              { "address", toText(server.announced.address) },
              { "leaving", server.isLeaving() },
              { "warming_up", steadyNow() < server.coldUntil },
              { "evacuated", m_system->directory().isEvacuated(server) },
              { "own_requests", server.own.total().requests },
              { "others_requests", server.others.total().requests },
              { "failure_share", server.health.failureShare() } });
    }
    return textOf(status);
}

void ForwardOperatorHttpServer::appendWorkspaces(std::string &text) const
{
    const auto append = [&text](std::string_view name, std::string_view kind, const auto &items,
                                const auto &valueOf) {
        if (items.empty())
            return;
        fmt::format_to(std::back_inserter(text), "# TYPE {} {}\n", name, kind);
        for (const auto &[workspace, item] : items)
            fmt::format_to(std::back_inserter(text), "{}{{workspace={}}} {}\n", name,
                           quoted(workspace), valueOf(item));
    };
    const auto &workspaces = m_system->counters().workspaces;
    append("currantreel_workspace_served_cost_total", "counter", workspaces,
           [](const WorkspaceCounters &one) { return std::llround(one.servedCost); });
    append("currantreel_workspace_attempts_total", "counter", workspaces,
           [](const WorkspaceCounters &one) { return one.attempts; });
    append("currantreel_workspace_late_total", "counter", workspaces,
           [](const WorkspaceCounters &one) { return one.late; });
    append("currantreel_workspace_refused_total", "counter", workspaces,
           [](const WorkspaceCounters &one) { return one.refused; });
    append("currantreel_workspace_queued", "gauge", m_system->waitingByWorkspace(),
           [](std::size_t count) { return count; });
}

std::string ForwardOperatorHttpServer::metricsBody() const
{
    const ForwardCounters &counters = m_system->counters();
    std::string text;
    const auto counter = [&text](std::string_view name, std::uint64_t value) {
        fmt::format_to(std::back_inserter(text), "# TYPE {0} counter\n{0} {1}\n", name, value);
    };
    const auto gauge = [&text](std::string_view name, std::uint64_t value) {
        fmt::format_to(std::back_inserter(text), "# TYPE {0} gauge\n{0} {1}\n", name, value);
    };
    counter("currantreel_requests_total", counters.arrived);
    counter("currantreel_completed_total", counters.completed);
    counter("currantreel_late_total", counters.late);
    counter("currantreel_callers_left_total", counters.callersDisconnected);
    counter("currantreel_attempts_total", counters.attempts);
    counter("currantreel_retries_total", counters.retries);
    counter("currantreel_owner_asks_total", counters.ownerRequests);
    counter("currantreel_owner_asks_full_total", counters.ownerRequestsFull);
    counter("currantreel_owner_asks_unanswered_total", counters.ownerRequestsUnanswered);
    counter("currantreel_streams_resumed_total", counters.streamsResumed);
    counter("currantreel_replies_broken_off_total", counters.repliesAborted);
    text += "# TYPE currantreel_refused_total counter\n";
    for (const auto &[code, count] : counters.refused)
        fmt::format_to(std::back_inserter(text), "currantreel_refused_total{{code=\"{}\"}} {}\n",
                       number(code), count);
    appendWorkspaces(text);
    const PublishedStateReport published = m_publishedState();
    counter("currantreel_published_requests_total", published.itemRequests);
    counter("currantreel_published_requests_unanswered_total", published.itemRequestsUnanswered);
    counter("currantreel_published_answers_with_gaps_total", published.itemAnswersWithGaps);
    counter("currantreel_platform_checks_total", published.platformChecks);
    counter("currantreel_store_restores_total", published.restores);
    counter("currantreel_platform_outdated_answers_total", published.outdatedAnswers);
    counter("currantreel_server_leaving_reports_total", counters.leavingReports);
    counter("currantreel_server_runs_checked_total", counters.serverRunsChecked);
    counter("currantreel_server_runs_ended_total", counters.serverRunsEnded);
    counter("currantreel_evacuated_grants_total", counters.evacuatedGrants);
    counter("currantreel_evacuated_attempts_total", counters.evacuatedAttempts);
    const WarmUpLimit &warmUp = m_system->directory().warmUp();
    counter("currantreel_warm_up_left_out_total", warmUp.timesLeftOut());
    gauge("currantreel_servers_warming_up", warmUp.warmingUp(steadyNow()));
    counter("currantreel_log_lines_dropped_total", m_log->dropped());
    counter("currantreel_callers_closed_over_buffer_total", m_buffers->closed());
    counter("currantreel_callers_closed_for_room_total", m_buffers->closedForRoom());
    counter("currantreel_requests_refused_for_memory_total", m_buffers->requests().refused());
    counters.firstEvents.append(text, "currantreel_first_event_seconds");
    counters.pauses.append(text, "currantreel_pause_seconds");
    gauge("currantreel_requests_in_progress", m_system->size());
    gauge("currantreel_requests_queued", m_system->queued());
    gauge("currantreel_caller_buffer_bytes", m_buffers->total());
    gauge("currantreel_request_memory_bytes", m_buffers->requests().total());
    gauge("currantreel_backend_servers", m_system->directory().size());
    gauge("currantreel_configuration_version", m_system->routes().version());
    gauge("currantreel_quarantined_segments", m_system->quarantine().quarantined(steadyNow()));
    gauge("currantreel_published_revision", published.revision.number);
    gauge("currantreel_published_era", published.revision.era);
    gauge("currantreel_published_age_milliseconds",
          static_cast<std::uint64_t>(toMilliseconds(published.age)));
    gauge("currantreel_published_deferred_removals", published.deferredRemovals);
    gauge("currantreel_published_behind_milliseconds",
          static_cast<std::uint64_t>(toMilliseconds(published.behind)));
    appendEvacuations(text);
    return text;
}

void ForwardOperatorHttpServer::appendEvacuations(std::string &text) const
{
    const std::vector<EvacuationReport> reports =
        evacuationReports(m_system->directory(), steadyNow());
    const auto gauge = [&](std::string_view name, auto valueOf) {
        fmt::format_to(std::back_inserter(text), "# TYPE {} gauge\n", name);
        for (const EvacuationReport &report : reports)
            fmt::format_to(std::back_inserter(text), "{}{{failure_domain={}}} {}\n", name,
                           quoted(report.failureDomain), valueOf(report));
    };
    gauge("currantreel_evacuated_milliseconds",
          [](const EvacuationReport &report) { return toMilliseconds(report.evacuated); });
    gauge("currantreel_evacuated_requests_in_progress",
          [](const EvacuationReport &report) { return report.ownRequests; });
    gauge("currantreel_evacuated_granted_requests",
          [](const EvacuationReport &report) { return report.othersRequests; });
}

} // namespace currantreel
