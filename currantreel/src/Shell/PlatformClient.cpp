#include "PlatformClient.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace currantreel {

namespace {

using namespace std::chrono_literals;

constexpr int statusOk = 200;
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
        host.callerAddress = addressAt(entry, "callers");
        host.peerAddress = addressAt(entry, "peers");
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

struct PlatformClient::Call
{
    PlatformClient *client = nullptr;
    EventHandle timer;
    std::unique_ptr<OutgoingExchange> exchange;
    std::string name; ///< Path as the core knows it.
    int status = 0; ///< 0: no whole answer.
    std::string body;

    void finish() { event_active(timer.get(), EV_TIMEOUT, 0); }
};

PlatformClient::PlatformClient(event_base *base, const HostSettings &settings, const Log &log,
                               std::function<void(Event)> sink)
    : m_base(base),
      m_settings(&settings),
      m_log(&log),
      m_sink(std::move(sink)),
      m_configuration(std::make_unique<Call>()),
      m_hosts(std::make_unique<Call>())
{
    for (Call *call : { m_configuration.get(), m_hosts.get() }) {
        call->client = this;
        call->timer.reset(event_new(base, -1, 0, &PlatformClient::onTimer, call));
    }
}

PlatformClient::~PlatformClient() = default;

void PlatformClient::watch(const WatchPlatform &effect)
{
    begin(*m_configuration, "head",
          fmt::format("/v1/watch/head?after={}&wait_ms={}", effect.after,
                      toMilliseconds(m_settings->platformPoll)));
}

void PlatformClient::read(const ReadPlatform &effect)
{
    begin(*m_configuration, effect.path, "/v1/values/" + effect.path);
}

void PlatformClient::readHostList()
{
    begin(*m_hosts, "hosts", "/v1/hosts");
}

void PlatformClient::setReachable(bool isReachable)
{
    if (!isReachable)
        ++m_addressIndex;
    if (isReachable == m_isReachable)
        return;
    m_isReachable = isReachable;
    m_log->write(isReachable ? "platform_reachable" : "platform_unreachable");
}

void PlatformClient::begin(Call &call, std::string name, std::string path)
{
    call.name = std::move(name);
    call.status = 0;
    call.body.clear();
    OutgoingRequest request;
    request.address = m_settings->platform[m_addressIndex % m_settings->platform.size()];
    request.path = std::move(path);
    request.inactivityTimeout = m_settings->platformPoll + watchSlack;
    OutgoingCallbacks callbacks;
    callbacks.onHead = [&call](const ResponseHead &head) { call.status = head.status; };
    callbacks.onBody = [&call](evbuffer *body) {
        const std::size_t length = evbuffer_get_length(body);
        const std::size_t before = call.body.size();
        call.body.resize(before + length);
        evbuffer_remove(body, call.body.data() + before, length);
    };
    callbacks.onDone = [&call] { call.finish(); };
    callbacks.onFailed = [&call](bool) {
        call.status = 0;
        call.finish();
    };
    call.exchange =
        std::make_unique<OutgoingExchange>(m_base, std::move(request), std::move(callbacks));
}

void PlatformClient::onTimer(int /*descriptor*/, short /*what*/, void *call)
{
    auto *ended = static_cast<Call *>(call);
    ended->client->end(*ended);
}

void PlatformClient::end(Call &call)
{
    call.exchange.reset();
    setReachable(call.status != 0);
    const bool isHostList = &call == m_hosts.get();
    if (call.status == 0 || (isHostList && call.status != statusOk))
        m_sink(PlatformUnreachable{ call.name });
    else if (isHostList)
        endHostList(call.body);
    else
        m_sink(PlatformValue{ call.name, call.status, std::move(call.body) });
}

void PlatformClient::endHostList(const std::string &body)
{
    try {
        m_sink(parseHosts(nlohmann::json::parse(body)));
    } catch (const nlohmann::json::exception &failure) {
        m_log->write("host_list_refused", { { "reason", failure.what() } });
        m_sink(PlatformUnreachable{ "hosts" });
    }
}

} // namespace currantreel
