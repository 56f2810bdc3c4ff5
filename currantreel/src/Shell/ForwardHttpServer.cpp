#include "ForwardHttpServer.h"

#include "../Forward/RequestHead.h"
#include "ForwardExchanges.h"
#include "HostMeasures.h"
#include "HttpReply.h"
#include "SteadyNow.h"
#include <algorithm>
#include <charconv>

namespace currantreel {

namespace {

/// Connections are kept for the backend server's keep-alive timeout divided by this.
constexpr int keepAliveDivisor = 2;
constexpr int firstNonSuccessStatus = 300;

/// Time for which an idle connection is kept, from the timeout in the server's Keep-Alive header.
Duration keepAliveTime(const HttpHeaders &headers)
{
    constexpr std::string_view field = "timeout=";
    const std::string_view value = headerValue(headers, "Keep-Alive");
    const std::size_t start = value.find(field);
    if (start == std::string_view::npos)
        return ConnectionPool::maxIdleTime;
    std::int64_t seconds = 0;
    const std::string_view digits = value.substr(start + field.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds) / keepAliveDivisor;
}

std::string drainToString(evbuffer *buffer)
{
    std::string bytes(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, bytes.data(), bytes.size());
    return bytes;
}

} // namespace

ForwardHttpServer::ForwardHttpServer(event_base *base, const HostSettings &settings, const Log &log,
                                     CallerBuffers &buffers, ForwardSystem &system,
                                     std::function<void()> applyEffects)
    : m_base(base),
      m_settings(&settings),
      m_log(&log),
      m_buffers(&buffers),
      m_system(&system),
      m_applyEffects(std::move(applyEffects)),
      m_received(measuredBounds(settings.limits).answerBytes),
      m_backpressure(settings.limits.streamBufferBytes,
                     [this](RequestId id) { onReplyDrained(id); }),
      m_server(evhttp_new(base)),
      m_pool(measuredBounds(settings.limits).idleServerConnections),
      m_connections(buffers)
{
    evhttp_set_allowed_methods(m_server.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT
                                                   | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH
                                                   | EVHTTP_REQ_HEAD | EVHTTP_REQ_OPTIONS
                                                   | EVHTTP_REQ_CONNECT);
    // An answer is passed on without a type if it has none.
    evhttp_set_default_content_type(m_server.get(), nullptr);
    evhttp_set_gencb(m_server.get(), &ForwardHttpServer::onRequest, this);
    setLimits(CallerLimits{});
}

ForwardHttpServer::~ForwardHttpServer()
{
    // evhttp_free closes the connections after the members that close callbacks use are destroyed.
    for (const auto &[id, exchange] : m_exchanges) {
        if (exchange->request)
            m_connections.release(evhttp_request_get_connection(exchange->request));
    }
}

bool ForwardHttpServer::listen()
{
    m_buffers->setRefusal(m_server.get(), refusalForMemory());
    m_isAccepting =
        m_buffers->listen(m_server.get(), m_settings->callers, CallerBuffers::Peers::Callers);
    return m_isAccepting;
}

void ForwardHttpServer::setLimits(const CallerLimits &limits)
{
    m_buffers->attach(m_server.get(), { limits.headerBytes, limits.bodyBytes });
    m_idleTimeout = limits.idleTimeout;
    const timeval idle = toTimeval(m_idleTimeout);
    evhttp_set_timeout_tv(m_server.get(), &idle);
}

void ForwardHttpServer::beginStop()
{
    m_isStopping = true;
    m_connections.close(CallerConnections::State::Idle);
}

void ForwardHttpServer::refuseNewRequests()
{
    m_isRefusing = true;
    m_isAccepting = false;
    m_buffers->stopListening(m_server.get());
}

void ForwardHttpServer::onReplySent(evhttp_request *request, void *self)
{
    auto *server = static_cast<ForwardHttpServer *>(self);
    evhttp_connection *connection = evhttp_request_get_connection(request);
    if (evhttp_request_get_command(request) == EVHTTP_REQ_CONNECT) {
        // evhttp keeps these connections open whatever the reply's headers say.
        server->m_connections.track(connection, CallerConnections::State::Aborted);
        return;
    }
    if (server->m_isStopping) {
        // The headers of a reply that began before shutdown lack "Connection: close". Adding it now
        // makes evhttp close the connection.
        evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
        server->m_connections.release(connection);
        return;
    }
    server->m_connections.track(connection, CallerConnections::State::Idle);
}

ForwardHttpServer::Exchange *ForwardHttpServer::find(RequestId id)
{
    const auto found = m_exchanges.find(id);
    return found == m_exchanges.end() ? nullptr : found->second.get();
}

ForwardHttpServer::Attempt *ForwardHttpServer::find(AttemptId id)
{
    const auto found = m_attempts.find(id);
    return found == m_attempts.end() ? nullptr : found->second.get();
}

void ForwardHttpServer::onReplyDrained(RequestId id)
{
    const Exchange *drained = find(id);
    const Attempt *attempt = drained ? find(drained->relayedAttempt) : nullptr;
    if (attempt && !attempt->isEnded)
        attempt->outgoing->setReading(true);
}

void ForwardHttpServer::handle(const StartForward &effect)
{
    Exchange *exchange = find(effect.request);
    if (!exchange)
        return;
    auto newAttempt = std::make_unique<Attempt>();
    Attempt *attempt = newAttempt.get();
    attempt->id = effect.attempt;
    attempt->request = effect.request;
    attempt->address = effect.address;
    attempt->events = EventStreamReader(exchange->lastEventId);
    m_attempts.emplace(effect.attempt, std::move(newAttempt));

    OutgoingRequest outgoing;
    outgoing.address = effect.address;
    outgoing.method = exchange->method;
    outgoing.path = exchange->target;
    outgoing.headers = exchange->headers;
    platform::addAttemptHeaders(outgoing.headers, effect, exchange->lastEventId);
    outgoing.body = exchange->body.get();
    outgoing.usesKeepAlive = true;
    outgoing.maxUnparsedBytes = std::max(m_settings->limits.answerBytes, outgoing.maxUnparsedBytes);
    if (effect.mayReuseConnection)
        outgoing.connection = m_pool.acquire(effect.address, steadyNow());
    attempt->isOnReusedConnection = outgoing.connection != nullptr;
    OutgoingCallbacks callbacks;
    callbacks.onHead = [this, attempt](const ResponseHead &head) { onHead(*attempt, head); };
    callbacks.onBody = [this, attempt](evbuffer *body) { onBody(*attempt, body); };
    callbacks.onDone = [this, attempt] { onDone(*attempt); };
    callbacks.onFailed = [this, attempt](bool wasWritten) { onFailed(*attempt, wasWritten); };
    callbacks.onReceived = [this, attempt](std::size_t unparsed) {
        onReceived(*attempt, unparsed);
    };
    callbacks.onWritten = [this, attempt] { m_system->onWritten(attempt->id); };
    attempt->outgoing =
        std::make_unique<OutgoingExchange>(m_base, std::move(outgoing), std::move(callbacks));
}

void ForwardHttpServer::handle(const CancelForward &effect)
{
    retire(effect.attempt);
}

void ForwardHttpServer::retire(AttemptId id)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return;
    found->second->isEnded = true;
    m_received.release(id);
    m_retired.push_back(std::move(found->second));
    m_attempts.erase(found);
}

void ForwardHttpServer::onHead(Attempt &attempt, const ResponseHead &head)
{
    if (attempt.isEnded)
        return;
    attempt.head = head;
    attempt.metadata = platform::readResponseHeaders(head.headers);
    attempt.isEventStream =
        head.contentType.compare(0, eventStreamType.size(), eventStreamType) == 0;
    const Exchange *exchange = find(attempt.request);
    if (!exchange)
        return;
    const bool isSuccess = head.status < firstNonSuccessStatus;
    // An answer without an identifier may be a late copy of the one to the connection's last request.
    const bool needsIdentifier =
        isSuccess || attempt.isOnReusedConnection || !attempt.metadata.callerId.empty();
    if (needsIdentifier && attempt.metadata.callerId != exchange->callerId)
        fail(attempt, AttemptFailure::WrongAnswer);
    else if (isSuccess && (!attempt.metadata.isSigned || attempt.metadata.isEncoded))
        fail(attempt, AttemptFailure::Broken);
    else if (attempt.metadata.callerId == exchange->callerId)
        onServerState(attempt);
}

void ForwardHttpServer::onServerState(const Attempt &attempt)
{
    const platform::ResponseMetadata &metadata = attempt.metadata;
    if (metadata.coldLeft > Duration::zero())
        m_system->onWarmUpReported(steadyNow(), attempt.id, attempt.status(), metadata.coldLeft);
    if (metadata.reportsLeaving)
        onLeavingReported(attempt);
}

void ForwardHttpServer::onLeavingReported(const Attempt &attempt)
{
    m_pool.close(attempt.address);
    m_system->onLeavingReported(steadyNow(), attempt.id, attempt.status());
    m_applyEffects();
}

void ForwardHttpServer::onBody(Attempt &attempt, evbuffer *body)
{
    if (attempt.isEnded)
        return;
    attempt.unparsedBytes = 0;
    const bool isSuccess = attempt.head.status < firstNonSuccessStatus;
    if (attempt.isEventStream && isSuccess)
        addEvents(attempt, body);
    else
        addBody(attempt, body);
    updateBudget(attempt);
}

void ForwardHttpServer::addBody(Attempt &attempt, evbuffer *body)
{
    // Copied, since each of many small chunks would keep a buffer of its own.
    const std::string bytes = drainToString(body);
    evbuffer_add(attempt.body.get(), bytes.data(), bytes.size());
    if (evbuffer_get_length(attempt.body.get()) > m_settings->limits.answerBytes)
        fail(attempt, AttemptFailure::TooLarge);
}

void ForwardHttpServer::addEvents(Attempt &attempt, evbuffer *body)
{
    attempt.events.add(drainToString(body));
    if (attempt.events.isOutOfOrder()) {
        fail(attempt, AttemptFailure::Broken);
        return;
    }
    if (attempt.events.isOversized()) {
        fail(attempt, AttemptFailure::TooLarge);
        return;
    }
    attempt.hasEvents = attempt.hasEvents || attempt.events.hasNewEvent();
    if (attempt.events.hasNewEvent())
        m_system->onEvents(steadyNow(), attempt.id, attempt.status());
    Exchange *exchange = find(attempt.request);
    if (exchange && exchange->relayedAttempt == attempt.id)
        relayEvents(*exchange, attempt);
    m_applyEffects();
}

void ForwardHttpServer::onReceived(Attempt &attempt, std::size_t unparsed)
{
    if (attempt.isEnded)
        return;
    attempt.unparsedBytes = unparsed;
    updateBudget(attempt);
}

void ForwardHttpServer::updateBudget(const Attempt &attempt)
{
    if (attempt.isEnded)
        return;
    const auto excessive = m_received.update(attempt.id, attempt.heldBytes());
    if (Attempt *largest = excessive ? find(*excessive) : nullptr)
        fail(*largest, AttemptFailure::TooLarge);
}

bool ForwardHttpServer::endsEarly(const Attempt &attempt)
{
    // Without a length, the end of the connection right after the head may be that of the server.
    const bool endsBeforeEvents = !attempt.head.isFramed && !attempt.hasEvents;
    return attempt.events.isWithinEvent() || endsBeforeEvents;
}

void ForwardHttpServer::onDone(Attempt &attempt)
{
    if (attempt.isEnded)
        return;
    if (attempt.isEventStream && endsEarly(attempt)) {
        fail(attempt, AttemptFailure::Broken);
        return;
    }
    HttpConnectionHandle connection = attempt.outgoing->takeConnection();
    if (connection && !attempt.metadata.reportsLeaving)
        m_pool.release(attempt.address, std::move(connection), steadyNow(),
                       keepAliveTime(attempt.head.headers));
    m_system->onAnswer(steadyNow(), attempt.id, attempt.status());
    m_applyEffects();
}

void ForwardHttpServer::onFailed(Attempt &attempt, bool wasWritten)
{
    fail(attempt, wasWritten ? AttemptFailure::Broken : AttemptFailure::NotConnected);
}

void ForwardHttpServer::fail(Attempt &attempt, AttemptFailure failure)
{
    if (attempt.isEnded)
        return;
    m_system->onFailed(steadyNow(), attempt.id, failure);
    m_applyEffects();
}

void ForwardHttpServer::close(RequestId id)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end())
        return;
    if (found->second->request)
        detachCaller(*found->second);
    std::vector<AttemptId> ended;
    for (const auto &[attempt, state] : m_attempts) {
        if (state->request == id)
            ended.push_back(attempt);
    }
    for (const AttemptId attempt : ended)
        retire(attempt);
    m_exchanges.erase(found);
}

void ForwardHttpServer::sweep()
{
    m_retired.clear();
    m_connections.close(CallerConnections::State::Aborted);
}

} // namespace currantreel
