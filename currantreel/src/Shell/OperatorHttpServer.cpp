#include "OperatorHttpServer.h"

#include "HttpReply.h"
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <iterator>
#include <nlohmann/json.hpp>

namespace currantreel {

namespace {

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr std::string_view plainText = "text/plain; charset=utf-8";
constexpr std::string_view metricsText = "text/plain; version=0.0.4; charset=utf-8";

/// Converts @p time of the monotonic clock to UTC, using the current offset between the clocks.
std::string wallTime(TimePoint time)
{
    const auto age = std::chrono::steady_clock::now().time_since_epoch() - time.time_since_epoch();
    const auto wall = std::chrono::system_clock::now()
                      - std::chrono::duration_cast<std::chrono::system_clock::duration>(age);
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(wall)));
}

} // namespace

OperatorHttpServer::OperatorHttpServer(event_base *base, const HostSettings &settings,
                                       CallerBuffers &buffers, const World &world)
    : m_settings(&settings), m_buffers(&buffers), m_world(&world), m_server(evhttp_new(base))
{
    buffers.attach(m_server.get(), RequestSizes{});
    evhttp_set_allowed_methods(m_server.get(), EVHTTP_REQ_GET);
    evhttp_set_gencb(m_server.get(), &OperatorHttpServer::onRequest, this);
}

bool OperatorHttpServer::listen()
{
    return m_buffers->listen(m_server.get(), m_settings->operators,
                             CallerBuffers::Peers::Operators);
}

void OperatorHttpServer::onRequest(evhttp_request *request, void *self)
{
    static_cast<OperatorHttpServer *>(self)->reply(request);
}

void OperatorHttpServer::reply(evhttp_request *request)
{
    const std::string path = pathOf(request);
    if (path == "/healthz")
        sendReply(request, statusOk, plainText, "ok\n");
    else if (path == "/readyz")
        sendReply(request, m_world->isReady() ? statusOk : statusUnavailable, plainText,
                  m_world->isReady() ? "ready\n" : "not ready\n");
    else if (path == "/v1/status")
        sendReply(request, statusOk, jsonType, statusBody());
    else if (path == "/v1/config")
        sendReply(request, statusOk, jsonType,
                  configurationBody(!queryOf(request, "summary").empty()));
    else if (path == "/v1/audit")
        sendReply(request, statusOk, jsonType, auditBody());
    else if (path == "/metrics")
        sendReply(request, statusOk, metricsText, metricsBody());
    else
        sendError(request, ResultCode::RequestUnknownPath, Outcome::NotRun, {}, path);
}

std::string OperatorHttpServer::statusBody() const
{
    const Configuration &configuration = m_world->configuration();
    const Counters &counters = m_world->counters();
    nlohmann::json status;
    status["host"] = m_settings->name;
    status["failure_domain"] = m_settings->failureDomain;
    status["incarnation"] = fmt::format("{:x}", m_world->self().incarnation.value);
    status["ready"] = m_world->isReady();
    status["configuration"] = { { "version", configuration.version },
                                { "digest", configuration.digest } };
    status["requests_in_progress"] = m_world->requestsInProgress();
    status["queued"] = m_world->owner().queued();
    status["classes"] = nlohmann::json::array();
    for (const ClassCounters &classCounters : counters.classes) {
        const RequestClass *requestClass = configuration.classes.find(classCounters.id);
        status["classes"].push_back({ { "name", requestClass ? requestClass->name : "(removed)" },
                                      { "arrived", classCounters.arrived },
                                      { "completed", classCounters.completed },
                                      { "in_target", classCounters.inTarget },
                                      { "not_run", classCounters.refused },
                                      { "unknown", classCounters.unknown },
                                      { "abandoned", classCounters.abandoned } });
    }
    status["backend_servers"] = nlohmann::json::array();
    for (const BackendServer &server : configuration.backendServers) {
        if (server.failureDomain != m_world->self().failureDomain)
            continue;
        status["backend_servers"].push_back(
            { { "name", server.name },
              { "slots", server.slots },
              { "in_flight", m_world->owner().inFlight(server.id) } });
    }
    return status.dump();
}

std::string OperatorHttpServer::configurationBody(bool isSummary) const
{
    const ConfigurationSystem &system = m_world->configurationSystem();
    const ConfigurationLog &log = system.log();
    nlohmann::json body;
    body["version"] = log.version();
    body["position"] = log.position();
    body["digest"] = log.digest();
    body["held"] = nullptr;
    if (log.held())
        body["held"] = { { "patch", log.held()->number },
                         { "code", number(log.held()->error.code) },
                         { "detail", log.held()->error.detail } };
    body["diverged"] = system.hasDiverged();
    body["platform"] = { { "reachable", system.platform().isReachable() },
                         { "calls", system.platform().calls() } };
    if (!isSummary)
        body["document"] = log.snapshot();
    return body.dump();
}

std::string OperatorHttpServer::auditBody() const
{
    const ConfigurationLog &log = m_world->configurationSystem().log();
    nlohmann::json body;
    body["position"] = log.position();
    body["digest"] = log.digest();
    body["records"] = nlohmann::json::array();
    for (const AuditRecord &record : log.trail().records()) {
        nlohmann::json entry{ { "patch", record.position }, { "version", record.version },
                              { "digest", record.digest },  { "author", record.author },
                              { "reason", record.reason },  { "seen", wallTime(record.decidedAt) },
                              { "verdict", "accepted" } };
        if (record.rejection) {
            entry["verdict"] = "rejected";
            entry["code"] = number(record.rejection->code);
            entry["name"] = info(record.rejection->code).name;
            entry["detail"] = record.rejection->detail;
        }
        body["records"].push_back(std::move(entry));
    }
    return body.dump();
}

std::string OperatorHttpServer::metricsBody() const
{
    const Counters &counters = m_world->counters();
    std::string text;
    const auto line = [&text](std::string_view name, std::uint64_t value) {
        fmt::format_to(std::back_inserter(text), "# TYPE {0} counter\n{0} {1}\n", name, value);
    };
    line("currantreel_attempts_total", counters.attempts);
    line("currantreel_grants_total", counters.grants);
    line("currantreel_retries_total", counters.retries);
    line("currantreel_hedges_total", counters.hedges);
    line("currantreel_duplicated_tokens_total", counters.duplicatedTokens);
    line("currantreel_useful_tokens_total", counters.usefulTokens);
    line("currantreel_late_tokens_total", counters.lateTokens);
    line("currantreel_cancelled_tokens_total", counters.cancelledTokens);
    line("currantreel_callers_closed_over_buffer_total", m_buffers->closed());
    line("currantreel_callers_closed_for_room_total", m_buffers->closedForRoom());
    line("currantreel_requests_refused_for_memory_total", m_buffers->requests().refused());
    return text;
}

} // namespace currantreel
