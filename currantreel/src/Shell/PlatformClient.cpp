#include "PlatformClient.h"

#include "../Configuration/ConfigurationDocument.h"
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

constexpr int statusOk = 200;
constexpr Duration hostsInterval = 1s;
constexpr Duration retryInterval = 500ms;
/// Time by which a watch may exceed the wait it asked for.
constexpr Duration watchSlack = 2s;

std::optional<Liveness> parseLiveness(const std::string &text)
{
    if (text == "live")
        return Liveness::Live;
    if (text == "leaving")
        return Liveness::Leaving;
    return std::nullopt;
}

Address addressAt(const nlohmann::json &entry, const char *key)
{
    return parseAddress(entry.value(key, "")).value_or(Address());
}

HostListRead parseHosts(const nlohmann::json &document)
{
    HostListRead list;
    for (const nlohmann::json &entry : document.at("hosts")) {
        const auto liveness = parseLiveness(entry.at("state").get<std::string>());
        if (!liveness)
            continue;
        HostEntry host;
        host.name = entry.at("name").get<std::string>();
        host.id = HostId::ofName(host.name);
        host.failureDomain = FailureDomainId::ofName(entry.at("failure_domain").get<std::string>());
        host.callers = addressAt(entry, "callers");
        host.peers = addressAt(entry, "peers");
        host.liveness = *liveness;
        list.hosts.push_back(std::move(host));
    }
    for (const nlohmann::json &entry : document.at("backend_servers")) {
        if (const auto liveness = parseLiveness(entry.at("state").get<std::string>()))
            list.backendServers.push_back(
                { BackendServerId::ofName(entry.at("name").get<std::string>()), *liveness });
    }
    return list;
}

} // namespace

struct PlatformClient::Reader
{
    EventHandle timer;
    std::unique_ptr<OutgoingExchange> exchange;
    bool isEnded = false;
    int status = 0;
    std::string body;

    void end()
    {
        isEnded = true;
        event_active(timer.get(), EV_TIMEOUT, 0);
    }
    void wait(Duration time)
    {
        exchange.reset();
        isEnded = false;
        const timeval delay = toTimeval(time);
        event_add(timer.get(), &delay);
    }
};

PlatformClient::PlatformClient(event_base *base, const HostSettings &settings, const Log &log,
                               std::function<void(Event)> sink)
    : m_base(base),
      m_settings(&settings),
      m_log(&log),
      m_sink(std::move(sink)),
      m_watch(std::make_unique<Reader>()),
      m_hosts(std::make_unique<Reader>())
{
    const auto onWatch = [](evutil_socket_t, short, void *self) {
        static_cast<PlatformClient *>(self)->onWatchTimer();
    };
    const auto onHostsDue = [](evutil_socket_t, short, void *self) {
        static_cast<PlatformClient *>(self)->onHostsTimer();
    };
    m_watch->timer.reset(event_new(base, -1, 0, onWatch, this));
    m_hosts->timer.reset(event_new(base, -1, 0, onHostsDue, this));
}

PlatformClient::~PlatformClient() = default;

void PlatformClient::start()
{
    m_watch->wait(Duration::zero());
    m_hosts->wait(Duration::zero());
}

void PlatformClient::setReachable(bool isReachable)
{
    if (isReachable == m_isReachable)
        return;
    m_isReachable = isReachable;
    m_log->write(isReachable ? "platform_reachable" : "platform_unreachable");
}

void PlatformClient::read(Reader &reader, const std::string &path)
{
    ++m_calls;
    reader.status = 0;
    reader.body.clear();
    reader.isEnded = false;
    OutgoingRequest request;
    request.address = m_settings->platform[m_addressIndex % m_settings->platform.size()];
    request.path = path;
    request.silence = m_settings->platformPoll + watchSlack;
    OutgoingCallbacks callbacks;
    callbacks.onHead = [&reader](const AnswerHead &head) { reader.status = head.status; };
    callbacks.onBody = [&reader](evbuffer *body) {
        const std::size_t length = evbuffer_get_length(body);
        const std::size_t before = reader.body.size();
        reader.body.resize(before + length);
        evbuffer_remove(body, reader.body.data() + before, length);
    };
    callbacks.onDone = [&reader] { reader.end(); };
    callbacks.onFailed = [&reader](bool) {
        reader.status = 0;
        reader.end();
    };
    reader.exchange = std::make_unique<OutgoingExchange>(m_base, request, std::move(callbacks));
}

void PlatformClient::onWatchTimer()
{
    if (!m_watch->isEnded) {
        read(*m_watch, fmt::format("/v1/watch/head?after={}&wait_ms={}", m_version,
                                   toMilliseconds(m_settings->platformPoll)));
        return;
    }
    setReachable(m_watch->status != 0);
    if (m_watch->status == 0)
        ++m_addressIndex;
    const bool isDocument = m_headVersion != 0;
    const bool isOk = m_watch->status == statusOk;
    if (isOk && !isDocument) {
        onHead(m_watch->body);
        if (m_headVersion != 0)
            return;
    } else if (isOk) {
        onDocument(m_watch->body);
    }
    m_headVersion = 0;
    m_watch->wait(isOk && isDocument ? Duration::zero() : retryInterval);
}

void PlatformClient::onHead(const std::string &body)
{
    const nlohmann::json head = nlohmann::json::parse(body, nullptr, false);
    if (!head.is_object() || !head.contains("version") || !head["version"].is_number_unsigned()
        || !head.contains("digest") || !head["digest"].is_string()) {
        m_log->write("configuration_head_refused", { { "reason", "malformed" } });
        return;
    }
    const auto version = head["version"].get<std::uint64_t>();
    if (version <= m_version)
        return;
    m_headVersion = version;
    m_headDigest = head["digest"].get<std::string>();
    read(*m_watch, fmt::format("/v1/values/snapshot/{}/0", version));
}

void PlatformClient::onDocument(const std::string &body)
{
    if (digestOf(body) != m_headDigest) {
        m_log->write(
            "configuration_refused",
            { { "version", std::to_string(m_headVersion) },
              { "code", std::to_string(number(ResultCode::ConfigurationDigestMismatch)) } });
        return;
    }
    auto parsed = parseConfiguration(body, fmt::format("snapshot/{}/0", m_headVersion));
    if (const auto *faults = std::get_if<FaultList>(&parsed)) {
        for (const Fault &fault : *faults)
            m_log->write("configuration_refused", { { "version", std::to_string(m_headVersion) },
                                                    { "fault", toText(fault) } });
        return;
    }
    auto configuration =
        std::make_shared<Configuration>(std::get<Configuration>(std::move(parsed)));
    configuration->version = m_headVersion;
    configuration->digest = m_headDigest;
    m_version = m_headVersion;
    m_sink(ConfigurationRead{ std::move(configuration) });
}

void PlatformClient::onHostsTimer()
{
    if (!m_hosts->isEnded) {
        read(*m_hosts, "/v1/hosts");
        return;
    }
    const bool isOk = m_hosts->status == statusOk;
    if (isOk)
        onHosts(m_hosts->body);
    m_hosts->wait(isOk ? hostsInterval : retryInterval);
}

void PlatformClient::onHosts(const std::string &body)
{
    try {
        m_sink(parseHosts(nlohmann::json::parse(body)));
    } catch (const nlohmann::json::exception &failure) {
        m_log->write("host_list_refused", { { "reason", failure.what() } });
    }
}

} // namespace currantreel
