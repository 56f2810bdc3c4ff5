/// @file
/// Simulates a service for the demo and the tests. It counts executions per Idempotency-Key and
/// doesn't deduplicate them, so that a duplicate execution is detected.

#include "HttpStandin.h"
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <map>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, listen, "127.0.0.1:9200", "address to listen on");
ABSL_FLAG(std::string, name, "service", "name in answers");
ABSL_FLAG(unsigned, delay_ms, 20, "milliseconds that one run takes");

namespace {

using currantreel::headerOf;
using currantreel::jsonType;
using currantreel::sendReply;

constexpr int statusOk = 200;

/// Counts each request and answers it after a fixed delay.
class ServiceStandin
{
public:
    ServiceStandin()
        : m_http(absl::GetFlag(FLAGS_listen),
                 [this](evhttp_request *request) { handleRequest(request); })
    {
    }

    void run() { m_http.run(); }

private:
    /// A request whose response is pending; @c request is null once the caller has disconnected.
    struct Run
    {
        evhttp_request *request = nullptr;
        std::string body;
    };

    void handleRequest(evhttp_request *request)
    {
        if (currantreel::pathOf(request) == "/control/runs") {
            sendReply(request, statusOk, jsonType, nlohmann::json(m_runsByKey).dump());
            return;
        }
        const std::string key = headerOf(request, "Idempotency-Key");
        const int runs = ++m_runsByKey[key];
        const nlohmann::json body{ { "service", absl::GetFlag(FLAGS_name) },
                                   { "entry", ++m_executionCount },
                                   { "runs_of_key", runs } };
        auto *run = new Run{ request, body.dump() };
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), &onConnectionClosed,
                                      run);
        const timeval delay =
            currantreel::toTimeval(std::chrono::milliseconds(absl::GetFlag(FLAGS_delay_ms)));
        event_base_once(m_http.base(), -1, EV_TIMEOUT, &onDelayElapsed, run, &delay);
    }

    static void onConnectionClosed(evhttp_connection * /*connection*/, void *run)
    {
        static_cast<Run *>(run)->request = nullptr;
    }

    static void onDelayElapsed(evutil_socket_t /*descriptor*/, short /*what*/, void *argument)
    {
        const std::unique_ptr<Run> run(static_cast<Run *>(argument));
        if (!run->request)
            return;
        evhttp_connection_set_closecb(evhttp_request_get_connection(run->request), nullptr,
                                      nullptr);
        sendReply(run->request, statusOk, jsonType, run->body);
    }

    standins::HttpStandin m_http;
    std::map<std::string, int> m_runsByKey;
    int m_executionCount = 0;
};

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Stand-in for a plain service.");
    absl::ParseCommandLine(argc, argv);
    ServiceStandin service;
    service.run();
    return 0;
}
