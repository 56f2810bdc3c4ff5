/// @file
/// Stand-in for a plain service. It counts its runs by Idempotency-Key, which nothing limits: a key
/// that ran twice shows as such.

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

/// Runs each request after a delay and counts.
class ServiceStandin
{
public:
    ServiceStandin()
        : m_http(absl::GetFlag(FLAGS_listen), [this](evhttp_request *request) { answer(request); })
    {
    }

    void run() { m_http.run(); }

private:
    /// One run that is in progress.
    struct Run
    {
        evhttp_request *request = nullptr;
        std::string body;
    };

    void answer(evhttp_request *request)
    {
        if (currantreel::pathOf(request) == "/control/runs") {
            sendReply(request, statusOk, jsonType, nlohmann::json(m_runsByKey).dump());
            return;
        }
        const std::string key = headerOf(request, "Idempotency-Key");
        const int runs = ++m_runsByKey[key];
        const nlohmann::json body{ { "service", absl::GetFlag(FLAGS_name) },
                                   { "entry", ++m_entries },
                                   { "runs_of_key", runs } };
        auto *run = new Run{ request, body.dump() };
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), &onClosed, run);
        const timeval delay =
            currantreel::toTimeval(std::chrono::milliseconds(absl::GetFlag(FLAGS_delay_ms)));
        event_base_once(m_http.base(), -1, EV_TIMEOUT, &onDue, run, &delay);
    }

    static void onClosed(evhttp_connection * /*connection*/, void *run)
    {
        static_cast<Run *>(run)->request = nullptr;
    }

    static void onDue(evutil_socket_t /*descriptor*/, short /*what*/, void *argument)
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
    int m_entries = 0;
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
