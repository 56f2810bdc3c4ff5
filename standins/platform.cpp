/// @file
/// Read-only simulation of the platform: serves reads and watches of published values from a
/// directory, and a list of hosts and backend servers that is refreshed with a delay.
///
/// DIRECTORY/values/NAME contains the value NAME; DIRECTORY/hosts.json contains the list.

#include "HttpStandin.h"
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <algorithm>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <list>
#include <nlohmann/json.hpp>
#include <sstream>

ABSL_FLAG(std::string, listen, "127.0.0.1:9000", "address to listen on");
ABSL_FLAG(std::string, directory, ".", "directory of published values");
ABSL_FLAG(unsigned, hosts_lag_ms, 1'000, "age of the host list, in milliseconds");
ABSL_FLAG(unsigned, weight_reads_per_second, 2, "reads of the weight store a second");

namespace {

using currantreel::jsonType;
using currantreel::queryOf;
using currantreel::sendReply;

constexpr int statusOk = 200;
constexpr int statusNotModified = 304;
constexpr int statusNotFound = 404;
constexpr int statusTooManyRequests = 429;
constexpr std::string_view valuesPrefix = "/v1/values/";
constexpr std::string_view watchPrefix = "/v1/watch/";
constexpr std::string_view weightsPrefix = "/v1/weights/";
constexpr std::chrono::milliseconds pollInterval(50);
constexpr std::size_t maxValueBytes = 1024UL * 1024;

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return std::nullopt;
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

/// Simulated HTTP interface of the platform.
class PlatformStandin
{
public:
    PlatformStandin()
        : m_http(absl::GetFlag(FLAGS_listen),
                 [this](evhttp_request *request) { handleRequest(request); }),
          m_hostList(readFile(directory() + "/hosts.json"))
    {
        const auto onPollTimer = [](evutil_socket_t, short, void *self) {
            static_cast<PlatformStandin *>(self)->poll();
        };
        m_pollTimer.reset(event_new(m_http.base(), -1, EV_PERSIST, onPollTimer, this));
        const timeval interval = currantreel::toTimeval(pollInterval);
        event_add(m_pollTimer.get(), &interval);
    }

    void run() { m_http.run(); }

private:
    /// A pending long poll for a newer version of a value.
    struct Watch
    {
        evhttp_request *request = nullptr;
        std::string name;
        std::uint64_t after = 0;
        int remainingPolls = 0;
    };

    [[nodiscard]] std::string directory() const { return absl::GetFlag(FLAGS_directory); }

    /// Returns nothing if the name contains "..", or the value is missing or larger than
    /// maxValueBytes.
    [[nodiscard]] std::optional<std::string> readValue(const std::string &name) const
    {
        if (name.find("..") != std::string::npos)
            return std::nullopt;
        auto value = readFile(directory() + "/values/" + name);
        if (value && value->size() > maxValueBytes)
            return std::nullopt;
        return value;
    }

    static std::uint64_t versionOf(const std::string &value)
    {
        const nlohmann::json document = nlohmann::json::parse(value, nullptr, false);
        return document.is_object() ? document.value("version", std::uint64_t{ 0 }) : 0;
    }

    void handleRequest(evhttp_request *request)
    {
        const std::string path = currantreel::pathOf(request);
        ++m_requestCount;
        if (path.compare(0, 9, "/control/") == 0) {
            handleControl(request, path);
        } else if (m_isDown) {
            return; // Leaves the request unanswered, so that the caller times out.
        } else if (path.compare(0, valuesPrefix.size(), valuesPrefix) == 0) {
            sendValue(request,
                      m_isStale ? std::nullopt : readValue(path.substr(valuesPrefix.size())));
        } else if (path.compare(0, watchPrefix.size(), watchPrefix) == 0) {
            handleWatch(request, path.substr(watchPrefix.size()));
        } else if (path == "/v1/hosts") {
            sendValue(request, m_hostList);
        } else if (path.compare(0, weightsPrefix.size(), weightsPrefix) == 0) {
            handleWeightRead(request);
        } else {
            sendValue(request, std::nullopt);
        }
    }

    void handleControl(evhttp_request *request, const std::string &path)
    {
        if (path == "/control/down")
            m_isDown = queryOf(request, "on") != "0";
        else if (path == "/control/stale")
            m_isStale = queryOf(request, "on") != "0";
        sendReply(request, statusOk, jsonType,
                  nlohmann::json{ { "calls", m_requestCount } }.dump());
    }

    static void sendValue(evhttp_request *request, const std::optional<std::string> &value)
    {
        if (value)
            sendReply(request, statusOk, jsonType, *value);
        else
            sendReply(request, statusNotFound, jsonType, "{\"error\":\"no such value\"}");
    }

    void handleWeightRead(evhttp_request *request)
    {
        if (m_weightReadTokens < 1.0) {
            sendReply(request, statusTooManyRequests, jsonType, "{\"error\":\"rate limit\"}");
            return;
        }
        m_weightReadTokens -= 1.0;
        sendReply(request, statusOk, jsonType, "{\"weights\":\"ready\"}");
    }

    void handleWatch(evhttp_request *request, const std::string &name)
    {
        Watch watch;
        watch.request = request;
        watch.name = name;
        watch.after = std::strtoull(queryOf(request, "after").c_str(), nullptr, 10);
        watch.remainingPolls =
            std::atoi(queryOf(request, "wait_ms").c_str()) / static_cast<int>(pollInterval.count());
        m_watches.push_back(watch);
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), &onConnectionClosed,
                                      &m_watches.back());
        bufferevent_enable(
            evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)), EV_READ);
    }

    static void onConnectionClosed(evhttp_connection * /*connection*/, void *watch)
    {
        static_cast<Watch *>(watch)->request = nullptr;
    }

    void poll()
    {
        const double tokensPerPoll = absl::GetFlag(FLAGS_weight_reads_per_second)
                                     * std::chrono::duration<double>(pollInterval).count();
        m_weightReadTokens = std::min(m_weightReadTokens + tokensPerPoll, 1.0);
        m_hostListAge += pollInterval;
        if (!m_hostList
            || m_hostListAge >= std::chrono::milliseconds(absl::GetFlag(FLAGS_hosts_lag_ms))) {
            m_hostList = readFile(directory() + "/hosts.json");
            m_hostListAge = {};
        }
        if (m_isDown)
            return;
        std::map<std::string, std::optional<std::string>> values;
        m_watches.remove_if([&](Watch &watch) { return answerIfReady(watch, values); });
    }

    bool answerIfReady(Watch &watch, std::map<std::string, std::optional<std::string>> &values)
    {
        if (!watch.request)
            return true;
        const auto [value, isNew] = values.try_emplace(watch.name);
        if (isNew && !m_isStale)
            value->second = readValue(watch.name);
        const bool isNewer = value->second && versionOf(*value->second) > watch.after;
        if (!isNewer && --watch.remainingPolls > 0)
            return false;
        evhttp_connection_set_closecb(evhttp_request_get_connection(watch.request), nullptr,
                                      nullptr);
        if (isNewer)
            sendReply(watch.request, statusOk, jsonType, *value->second);
        else
            sendReply(watch.request, statusNotModified, jsonType, "");
        return true;
    }

    standins::HttpStandin m_http;
    currantreel::EventHandle m_pollTimer;
    std::list<Watch> m_watches;
    std::optional<std::string> m_hostList;
    std::chrono::milliseconds m_hostListAge{};
    double m_weightReadTokens = 1.0;
    std::uint64_t m_requestCount = 0;
    bool m_isDown = false;
    bool m_isStale = false;
};

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Stand-in for the platform.");
    absl::ParseCommandLine(argc, argv);
    PlatformStandin platform;
    platform.run();
    return 0;
}
