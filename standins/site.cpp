/// @file
/// Stand-in for a site that the daemon forwards requests of: the platform's store, which can only be
/// read, and backend servers, in one process. What a backend server does with a request is chosen by
/// the request's header X-Test. /control/ on the store's address publishes items and tells what ran.

#include "HttpStandin.h"
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <event2/keyvalq_struct.h>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <sodium.h>

ABSL_FLAG(std::string, store, "127.0.0.1:9300", "address of the store");
ABSL_FLAG(std::vector<std::string>, servers, {}, "backend servers, as INSTANCE=ADDRESS, by commas");
ABSL_FLAG(unsigned, event_ms, 10, "milliseconds between two events of a stream");
ABSL_FLAG(unsigned, call_ms, 5, "milliseconds that a call takes");

namespace {

using currantreel::BufferHandle;
using currantreel::headerOf;
using currantreel::jsonType;
using currantreel::makeBuffer;
using currantreel::queryOf;
using currantreel::sendReply;
using currantreel::toTimeval;
using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusGone = 410;
constexpr int statusMisdirected = 421;
constexpr int statusError = 500;
constexpr int statusUnavailable = 503;
constexpr std::uint64_t streamEvents = 6;

std::string encodeBase64(const std::string &bytes)
{
    std::string text(sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    text.resize(text.size() - 1);
    return text;
}

std::uint64_t numberIn(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

/// The published items with their history.
class Store
{
public:
    void publish(const std::string &key, const std::string &value)
    {
        ++m_revision;
        m_items[key] = Json{ { "key", key },
                             { "value", encodeBase64(value) },
                             { "revision", m_revision },
                             { "created", m_revision },
                             { "lease", 0 } };
        m_history.push_back(m_items[key]);
        wake();
    }

    void remove(const std::string &key)
    {
        ++m_revision;
        m_items.erase(key);
        m_history.push_back(
            Json{ { "key", key }, { "revision", m_revision }, { "tombstone", true } });
        wake();
    }

    /// Forgets the history: watches from before get 410.
    void compact()
    {
        m_history.clear();
        m_compacted = m_revision;
        wake();
    }

    void answer(evhttp_request *request)
    {
        ++m_reads;
        const std::string path = currantreel::pathOf(request);
        if (m_isDown)
            sendReply(request, statusUnavailable, jsonType, "{}");
        else if (path == "/kv-range")
            list(request);
        else if (path == "/kv-watch")
            watch(request);
        else
            sendReply(request, statusNotFound, jsonType, "{}");
    }

    void setDown(bool isDown)
    {
        m_isDown = isDown;
        wake();
    }
    [[nodiscard]] std::uint64_t reads() const { return m_reads; }

private:
    struct Watch
    {
        Store *store = nullptr;
        evhttp_request *request = nullptr;
        std::uint64_t after = 0;
        currantreel::EventHandle timer;
    };

    void list(evhttp_request *request)
    {
        Json reply{ { "items", Json::array() }, { "has-more", false }, { "at", m_revision } };
        const std::string after = queryOf(request, "after");
        for (const auto &[key, item] : m_items) {
            if (key > after)
                reply["items"].push_back(item);
        }
        sendReply(request, statusOk, jsonType, reply.dump());
    }

    void watch(evhttp_request *request)
    {
        const std::uint64_t after = numberIn(queryOf(request, "after"));
        if (reply(request, after, false))
            return;
        auto watch = std::make_unique<Watch>();
        watch->store = this;
        watch->request = request;
        watch->after = after;
        event_base *base = evhttp_connection_get_base(evhttp_request_get_connection(request));
        watch->timer.reset(event_new(base, -1, 0, &Store::onDue, watch.get()));
        const std::chrono::milliseconds wait(numberIn(queryOf(request, "wait-ms")));
        const timeval rest = toTimeval(wait);
        event_add(watch->timer.get(), &rest);
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), &Store::onClosed,
                                      watch.get());
        m_watches.push_back(std::move(watch));
    }

    /// Answers if there is something to tell or @p isDue. Returns whether it did.
    bool reply(evhttp_request *request, std::uint64_t after, bool isDue)
    {
        if (m_isDown || after < m_compacted) {
            sendReply(request, m_isDown ? statusUnavailable : statusGone, jsonType, "{}");
            return true;
        }
        Json events = Json::array();
        for (const Json &event : m_history) {
            if (event["revision"] > after)
                events.push_back(event);
        }
        if (events.empty() && !isDue)
            return false;
        sendReply(request, statusOk, jsonType,
                  Json{ { "events", events }, { "at", m_revision } }.dump());
        return true;
    }

    void wake()
    {
        for (auto &watch : m_watches)
            end(*watch, false);
        m_watches.remove_if([](const auto &watch) { return watch->request == nullptr; });
    }

    void end(Watch &watch, bool isDue)
    {
        evhttp_request *request = watch.request;
        if (!request)
            return;
        evhttp_connection *connection = evhttp_request_get_connection(request);
        if (!reply(request, watch.after, isDue))
            return;
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        watch.request = nullptr;
    }

    static void onDue(int /*descriptor*/, short /*what*/, void *watch)
    {
        auto *due = static_cast<Watch *>(watch);
        due->store->end(*due, true);
    }

    static void onClosed(evhttp_connection * /*connection*/, void *watch)
    {
        static_cast<Watch *>(watch)->request = nullptr;
    }

    std::map<std::string, Json> m_items;
    std::list<Json> m_history;
    std::list<std::unique_ptr<Watch>> m_watches;
    std::uint64_t m_revision = 100;
    std::uint64_t m_compacted = 0;
    std::uint64_t m_reads = 0;
    bool m_isDown = false;
};

/// What one backend server was sent, and what became of it.
struct Run
{
    Json seen;
    evhttp_request *request = nullptr;
    evhttp_connection *connection = nullptr;
    event_base *base = nullptr;
    std::string behaviour;
    std::string instance;
    std::uint64_t nextEvent = 1;
    currantreel::EventHandle timer;
};

/// The backend servers, told apart by the address at which a request arrives.
class Servers
{
public:
    Servers(event_base *base, const std::vector<std::string> &list) : m_base(base)
    {
        for (const std::string &text : list) {
            const std::vector<std::string> parts = absl::StrSplit(text, '=');
            auto server = std::make_unique<Server>();
            server->owner = this;
            server->instance = parts.at(0);
            const auto address = currantreel::parseAddress(parts.at(1));
            server->http.reset(evhttp_new(base));
            evhttp_set_gencb(server->http.get(), &Servers::onRequest, server.get());
            if (!address
                || evhttp_bind_socket(server->http.get(), address->ip.c_str(), address->port) != 0)
                std::exit(EXIT_FAILURE);
            m_servers.push_back(std::move(server));
        }
    }

    [[nodiscard]] Json seen() const
    {
        Json list = Json::array();
        for (const auto &run : m_runs)
            list.push_back(run->seen);
        return list;
    }

private:
    struct Server
    {
        Servers *owner = nullptr;
        std::string instance;
        currantreel::HttpServerHandle http;
    };

    static void onRequest(evhttp_request *request, void *server)
    {
        auto *own = static_cast<Server *>(server);
        own->owner->begin(request, own->instance);
    }

    void begin(evhttp_request *request, const std::string &instance)
    {
        auto owned = std::make_unique<Run>();
        Run *run = owned.get();
        m_runs.push_back(std::move(owned));
        run->request = request;
        run->connection = evhttp_request_get_connection(request);
        run->base = m_base;
        run->instance = instance;
        run->behaviour = headerOf(request, "X-Test");
        run->seen = { { "instance", instance },
                      { "path", evhttp_request_get_uri(request) },
                      { "body", standins::bodyOf(request) },
                      { "ended", "running" } };
        const evkeyvalq *headers = evhttp_request_get_input_headers(request);
        for (const evkeyval *header = headers->tqh_first; header; header = header->next.tqe_next)
            run->seen["headers"][header->key] = header->value;
        evhttp_connection_set_closecb(run->connection, &Servers::onClosed, run);
        bufferevent_enable(evhttp_connection_get_bufferevent(run->connection), EV_READ);
        run->timer.reset(event_new(m_base, -1, EV_PERSIST, &Servers::onDue, run));
        const bool isStream =
            run->seen["path"].get<std::string>().find("/stream") != std::string::npos;
        const unsigned delay =
            isStream ? absl::GetFlag(FLAGS_event_ms) : absl::GetFlag(FLAGS_call_ms);
        const timeval wait = toTimeval(std::chrono::milliseconds(delay));
        event_add(run->timer.get(), &wait);
        if (isStream)
            run->nextEvent = numberIn(headerOf(request, "Last-Event-Id")) + 1;
        else
            run->nextEvent = 0;
    }

    static void onClosed(evhttp_connection * /*connection*/, void *run)
    {
        auto *closed = static_cast<Run *>(run);
        closed->request = nullptr;
        closed->timer.reset();
        if (closed->seen["ended"] == "running")
            closed->seen["ended"] = "cancelled";
    }

    static void onDue(int /*descriptor*/, short /*what*/, void *run)
    {
        auto *due = static_cast<Run *>(run);
        if (due->nextEvent == 0)
            finishCall(*due);
        else
            sendEvent(*due);
    }

    static void addMarks(Run &run, const std::string &callerId)
    {
        evkeyvalq *headers = evhttp_request_get_output_headers(run.request);
        evhttp_add_header(headers, "X-Request-Id", callerId.c_str());
        evhttp_add_header(headers, "X-Server-Stamp", ("stamp-" + run.instance).c_str());
    }

    static void end(Run &run, const char *how)
    {
        run.seen["ended"] = how;
        evhttp_connection_set_closecb(run.connection, nullptr, nullptr);
        run.timer.reset();
        run.request = nullptr;
    }

    static void breakOff(Run &run)
    {
        evhttp_connection *connection = run.connection;
        end(run, "broken");
        evhttp_connection_free(connection);
    }

    static void finishCall(Run &run)
    {
        const std::string id = headerOf(run.request, "X-Request-Id");
        const std::string expected = headerOf(run.request, "X-Expect-Instance");
        evkeyvalq *headers = evhttp_request_get_output_headers(run.request);
        evhttp_request *request = run.request;
        if (run.behaviour == "silent")
            return;
        if (run.behaviour == "break") {
            breakOff(run);
        } else if (!expected.empty() && expected != run.instance) {
            evhttp_add_header(headers, "X-Instance-Id", run.instance.c_str());
            end(run, "misdirected");
            sendReply(request, statusMisdirected, jsonType, "{}");
        } else if (run.behaviour == "refuse") {
            evhttp_add_header(headers, "X-Not-Executed", "1");
            end(run, "refused");
            sendReply(request, statusUnavailable, jsonType, "{}");
        } else if (run.behaviour == "error") {
            addMarks(run, id);
            end(run, "failed");
            sendReply(request, statusError, jsonType, R"({"fails":true})");
        } else {
            addMarks(run, run.behaviour == "wrong-id" ? "other" : id);
            end(run, "done");
            sendReply(request, statusOk, "text/plain", "answer to " + id);
            if (run.behaviour == "surplus")
                addSurplus(run.connection);
        }
    }

    static void addSurplus(evhttp_connection *connection)
    {
        constexpr std::string_view surplus = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad";
        evbuffer *output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
        evbuffer_add(output, surplus.data(), surplus.size());
    }

    static void sendEvent(Run &run)
    {
        evhttp_request *request = run.request;
        if (run.behaviour == "silent")
            return;
        const bool isFirst = !run.seen.contains("begun");
        if (isFirst) {
            run.seen["begun"] = run.nextEvent;
            addMarks(run, headerOf(request, "X-Request-Id"));
            evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                              "text/event-stream");
            evhttp_send_reply_start(request, statusOk, nullptr);
        }
        const BufferHandle chunk = makeBuffer();
        const bool isBreaking =
            run.behaviour == "break" && run.nextEvent == streamEvents / 2 && run.seen["begun"] == 1;
        evbuffer_add_printf(chunk.get(), "id: %llu\ndata: %s\n%s",
                            static_cast<unsigned long long>(run.nextEvent), run.instance.c_str(),
                            isBreaking ? "" : "\n");
        evhttp_send_reply_chunk(request, chunk.get());
        if (isBreaking) {
            run.behaviour = "break-now";
            return;
        }
        if (run.behaviour == "break-now") {
            breakOff(run);
        } else if (++run.nextEvent > streamEvents) {
            end(run, "done");
            evhttp_send_reply_end(request);
        }
    }

    event_base *m_base;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::list<std::unique_ptr<Run>> m_runs;
};

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    if (sodium_init() < 0)
        return EXIT_FAILURE;
    Store store;
    Servers *servers = nullptr;
    standins::HttpStandin http(absl::GetFlag(FLAGS_store), [&](evhttp_request *request) {
        const std::string path = currantreel::pathOf(request);
        const std::string key = queryOf(request, "key");
        if (path == "/control/publish")
            store.publish(key, standins::bodyOf(request));
        else if (path == "/control/remove")
            store.remove(key);
        else if (path == "/control/compact")
            store.compact();
        else if (path == "/control/down" || path == "/control/up")
            store.setDown(path == "/control/down");
        else if (path != "/control/seen") {
            store.answer(request);
            return;
        }
        sendReply(request, statusOk, jsonType, servers->seen().dump());
    });
    Servers owned(http.base(), absl::GetFlag(FLAGS_servers));
    servers = &owned;
    http.run();
    return EXIT_SUCCESS;
}
