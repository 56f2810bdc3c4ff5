#include "CallerBufferEntries.h"

#include "../SteadyNow.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace currantreel {

namespace {

/// Bytes of further requests that are read while a reply is not completely sent.
constexpr std::size_t readAheadBytes = 16UL * 1024;
/// The bound of all connections is at least so many times the largest request, so that one is served.
constexpr std::size_t minLargestRequests = 2;
/// Larger published sizes count as this one, so that sums of sizes fit their type.
constexpr std::size_t maxRequestPartBytes = 1024UL * 1024 * 1024;
/// Memory for a header line besides its text: evhttp keeps one in three allocations.
constexpr std::size_t headerLineBytes = 128;
/// A head takes so many times its largest size of memory at most: lines of twelve bytes take as much.
constexpr std::size_t headMemoryFactor = 12;
/// Makes evhttp refuse a head at its next line.
constexpr ev_ssize_t refusedHeadBytes = 1;
constexpr std::string_view continueEnd = " 100 Continue\r\n\r\n";

/// A connection is closed if evhttp takes nothing of a full buffer from one check to the next.
constexpr Duration fullCheckInterval = std::chrono::seconds(1);

/// Whether a request is in progress on @p stream, for which the read watermarks are set elsewhere; see
/// detectCloseInProgress().
bool isInProgress(bufferevent *stream)
{
    std::size_t low = 0;
    bufferevent_getwatermark(stream, EV_READ, &low, nullptr);
    return low == SIZE_MAX;
}

/// Whether what was added to @p output last is evhttp's own "100 Continue", which is no reply yet.
bool endsWithContinue(evbuffer *output, std::size_t added)
{
    if (added < continueEnd.size())
        return false;
    evbuffer_ptr start;
    const std::size_t offset = evbuffer_get_length(output) - continueEnd.size();
    std::array<char, continueEnd.size()> last{};
    if (evbuffer_ptr_set(output, &start, offset, EVBUFFER_PTR_SET) != 0)
        return false;
    evbuffer_copyout_from(output, &start, last.data(), last.size());
    return std::string_view(last.data(), last.size()) == continueEnd;
}

/// Whether the line that was taken from @p input had text, so that its end is left.
bool startsWithLineEnd(evbuffer *input)
{
    std::array<char, 2> next{};
    const ev_ssize_t copied = evbuffer_copyout(input, next.data(), next.size());
    return (copied > 0 && next[0] == '\n') || (copied > 1 && next[0] == '\r' && next[1] == '\n');
}

} // namespace

CallerBuffers::CallerBuffers(event_base *base, const HostBounds &bounds, const Log &log)
    : m_log(&log),
      m_requests(bounds.requestBytes),
      m_bounds(bounds),
      m_maxBytes(bounds.callerBufferBytes),
      m_overLimit(event_new(base, -1, 0, &CallerBuffers::onOverLimit, this)),
      m_roomNeeded(event_new(base, -1, 0, &CallerBuffers::onRoomNeeded, this)),
      m_fullCheck(event_new(base, -1, 0, &CallerBuffers::onFullCheck, this))
{
    // Otherwise each connection with input could add to the excess before one is closed.
    event_priority_set(m_overLimit.get(), static_cast<int>(EventPriority::Urgent));
    event_priority_set(m_roomNeeded.get(), static_cast<int>(EventPriority::Urgent));
}

CallerBuffers::~CallerBuffers() = default;

void CallerBuffers::attach(evhttp *server, const RequestSizes &sizes)
{
    const std::size_t headerBytes = std::min(sizes.headerBytes, maxRequestPartBytes);
    const std::size_t bodyBytes = std::min(sizes.bodyBytes, maxRequestPartBytes);
    evhttp_set_max_headers_size(server, static_cast<ev_ssize_t>(headerBytes));
    evhttp_set_max_body_size(server, static_cast<ev_ssize_t>(bodyBytes));
    std::unique_ptr<Listener> &listener = m_listeners[server];
    if (!listener)
        listener = std::make_unique<Listener>(server, *this);
    listener->sizes = { headerBytes, bodyBytes };
    listener->readLimit = headerBytes + bodyBytes + readAheadBytes;
    listener->maxHeadMemory = headerBytes * headMemoryFactor;
    listener->maxParsed = listener->maxHeadMemory + headerLineBytes + bodyBytes;
    evhttp_set_bevcb(server, &CallerBuffers::onAccepted, listener.get());
    updateBound();
}

void CallerBuffers::updateBound()
{
    m_maxBytes = m_bounds.callerBufferBytes;
    RequestSizes largestSizes{ 0, 0 };
    for (const auto &[server, listener] : m_listeners) {
        largestSizes.headerBytes = std::max(largestSizes.headerBytes, listener->sizes.headerBytes);
        largestSizes.bodyBytes = std::max(largestSizes.bodyBytes, listener->sizes.bodyBytes);
        const std::size_t largest = std::max(listener->readLimit, listener->maxParsed);
        m_maxBytes = std::max(m_maxBytes, largest * minLargestRequests);
    }
    m_requests.setLargestRequest(largestSizes.headerBytes, largestSizes.bodyBytes);
}

bufferevent *CallerBuffers::onAccepted(event_base *base, void *listener)
{
    auto *accepting = static_cast<Listener *>(listener);
    bufferevent *stream = bufferevent_socket_new(base, -1, 0);
    if (!stream)
        return nullptr;
    accepting->owner->forget(stream);
    auto &connection = accepting->owner->m_connections[stream];
    connection = std::make_unique<Connection>();
    connection->owner = accepting->owner;
    connection->listener = accepting;
    connection->acceptedAt = steadyNow();
    connection->socket = &accepting->socket;
    connection->stream = stream;
    connection->readLimit = accepting->readLimit;
    connection->maxHeadMemory = accepting->maxHeadMemory;
    connection->maxParsed = accepting->maxParsed;
    bufferevent_setwatermark(stream, EV_READ, 0, connection->readLimit);
    evbuffer_add_cb(bufferevent_get_input(stream), &CallerBuffers::onInput, connection.get());
    evbuffer_add_cb(bufferevent_get_output(stream), &CallerBuffers::onOutput, connection.get());
    accepting->socket.order().add(stream);
    if (accepting->socket.isFull())
        accepting->socket.setAccepting(false);
    accepting->owner->m_accepted.push_back(stream);
    event_active(accepting->owner->m_roomNeeded.get(), EV_TIMEOUT, 0);
    return stream;
}

void CallerBuffers::onInput(evbuffer *buffer, const evbuffer_cb_info *info, void *connection)
{
    auto *reading = static_cast<Connection *>(connection);
    reading->owner->add(*reading, *info);
    if (info->n_deleted > 0) {
        reading->owner->keepParsed(*reading, info->n_deleted);
        reading->isFull = reading->wasFull = false;
    }
    if (reading->owner->mayRefuse(*reading)
        && !reading->owner->m_requests.hasRoom(reading->bytes)) {
        reading->owner->m_toRefuse.push_back(reading->stream);
        event_active(reading->owner->m_overLimit.get(), EV_TIMEOUT, 0);
    }
    if (evbuffer_get_length(buffer) < reading->readLimit)
        return;
    reading->isFull = true;
    const timeval interval = toTimeval(fullCheckInterval);
    if (!event_pending(reading->owner->m_fullCheck.get(), EV_TIMEOUT, nullptr))
        event_add(reading->owner->m_fullCheck.get(), &interval);
}

void CallerBuffers::onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *connection)
{
    auto *sending = static_cast<Connection *>(connection);
    if (!isInProgress(sending->stream))
        limitReading(*sending);
    if (!sending->isInProgress)
        sending->owner->setUse(*sending, evbuffer_get_length(buffer) > 0
                                             ? CallerListener::Order::Use::InUse
                                             : CallerListener::Order::Use::Idle);
    sending->owner->add(*sending, *info);
    if (info->n_added > 0 && !endsWithContinue(buffer, info->n_added))
        sending->owner->releaseParsed(*sending);
}

void CallerBuffers::beginRequest(evhttp_connection *connection)
{
    Connection *found = find(connection);
    if (!found)
        return;
    releaseParsed(*found);
    found->isInProgress = true;
    setUse(*found, CallerListener::Order::Use::InUse);
}

void CallerBuffers::endRequest(evhttp_connection *connection)
{
    Connection *found = find(connection);
    if (!found)
        return;
    limitReading(*found);
    found->isInProgress = false;
    if (evbuffer_get_length(bufferevent_get_output(found->stream)) == 0)
        setUse(*found, CallerListener::Order::Use::Idle);
}

void CallerBuffers::limitReading(const Connection &connection)
{
    const bool isSent = evbuffer_get_length(bufferevent_get_output(connection.stream)) == 0;
    bufferevent_setwatermark(connection.stream, EV_READ, 0,
                             isSent ? connection.readLimit : readAheadBytes);
}

CallerBuffers::Connection *CallerBuffers::find(evhttp_connection *connection)
{
    const auto found = m_connections.find(evhttp_connection_get_bufferevent(connection));
    return found == m_connections.end() ? nullptr : found->second.get();
}

std::unique_ptr<CallerBuffers::Connection> CallerBuffers::forget(bufferevent *stream)
{
    const auto found = m_connections.find(stream);
    if (found == m_connections.end())
        return nullptr;
    std::unique_ptr<Connection> forgotten = std::move(found->second);
    m_connections.erase(found);
    std::erase(m_accepted, stream);
    std::erase(m_toRefuse, stream);
    forgotten->socket->order().remove(stream);
    if (forgotten->socket->isPaused())
        event_active(m_roomNeeded.get(), EV_TIMEOUT, 0);
    m_total -= forgotten->bytes;
    return forgotten;
}

void CallerBuffers::add(Connection &connection, const evbuffer_cb_info &change)
{
    connection.bytes += change.n_added;
    connection.bytes -= change.n_deleted;
    m_total += change.n_added;
    m_total -= change.n_deleted;
    checkBound();
}

void CallerBuffers::keepParsed(Connection &connection, std::size_t taken)
{
    const bool isHeaderLine = endsHeaderLine(connection);
    const std::size_t memory = taken + (isHeaderLine ? headerLineBytes : 0);
    const std::size_t kept = std::min(memory, connection.maxParsed - connection.parsed);
    connection.parsed += kept;
    connection.bytes += kept;
    m_total += kept;
    if (isHeaderLine && connection.parsed > connection.maxHeadMemory)
        evhttp_connection_set_max_headers_size(connection.connection, refusedHeadBytes);
    checkBound();
}

bool CallerBuffers::endsHeaderLine(Connection &connection)
{
    // evhttp takes the text of a line first, if there is any, and then its end.
    if (!connection.isInHead)
        return false;
    if (connection.isLineTaken) {
        connection.isLineTaken = false;
        return true;
    }
    connection.isLineTaken = startsWithLineEnd(bufferevent_get_input(connection.stream));
    connection.isInHead = connection.isLineTaken;
    return false;
}

void CallerBuffers::releaseParsed(Connection &connection)
{
    m_total -= connection.parsed;
    connection.bytes -= connection.parsed;
    connection.parsed = 0;
    connection.isInHead = true;
    connection.isLineTaken = false;
}

void CallerBuffers::checkBound()
{
    if (m_total > m_maxBytes)
        event_active(m_overLimit.get(), EV_TIMEOUT, 0);
}

void CallerBuffers::setCloseCallback(evhttp_connection *connection, CloseCallback callback,
                                     void *argument)
{
    Connection *found = find(connection);
    if (!found)
        return;
    found->onClosed = callback;
    found->closedArgument = argument;
}

void CallerBuffers::onClosed(evhttp_connection *connection, void *self)
{
    const std::unique_ptr<Connection> closed =
        static_cast<CallerBuffers *>(self)->forget(evhttp_connection_get_bufferevent(connection));
    if (!closed)
        return;
    evbuffer_remove_cb(bufferevent_get_input(closed->stream), &CallerBuffers::onInput,
                       closed.get());
    evbuffer_remove_cb(bufferevent_get_output(closed->stream), &CallerBuffers::onOutput,
                       closed.get());
    if (closed->onClosed)
        closed->onClosed(connection, closed->closedArgument);
}

void CallerBuffers::onOverLimit(int /*descriptor*/, short /*events*/, void *self)
{
    auto *buffers = static_cast<CallerBuffers *>(self);
    for (bufferevent *stream : std::exchange(buffers->m_toRefuse, {})) {
        const auto found = buffers->m_connections.find(stream);
        // It may have ended, or its request may be complete meanwhile.
        if (found != buffers->m_connections.end() && buffers->mayRefuse(*found->second))
            buffers->refuse(*found->second);
    }
    const std::uint64_t before = buffers->m_closed;
    while (buffers->m_total > buffers->m_maxBytes && buffers->closeLargest()) { }
    if (buffers->m_closed > before)
        buffers->m_log->write("callers_closed_over_buffer",
                              { { "connections", std::to_string(buffers->m_closed - before) },
                                { "bytes_left", std::to_string(buffers->m_total) } });
}

bool CallerBuffers::closeLargest()
{
    const auto holdsLess = [](const auto &left, const auto &right) {
        return left.second->bytes < right.second->bytes;
    };
    const auto largest = std::max_element(m_connections.begin(), m_connections.end(), holdsLess);
    if (largest == m_connections.end() || largest->second->bytes == 0)
        return false;
    if (mayRefuse(*largest->second))
        refuse(*largest->second);
    else
        close(*largest->second);
    return true;
}

void CallerBuffers::close(Connection &connection)
{
    ++m_closed;
    closeConnection(connection);
}

void CallerBuffers::closeConnection(Connection &connection)
{
    bufferevent *stream = connection.stream;
    if (connection.connection)
        evhttp_connection_free(connection.connection);
    forget(stream);
}

void CallerBuffers::onFullCheck(int /*descriptor*/, short /*events*/, void *self)
{
    static_cast<CallerBuffers *>(self)->closeFull();
}

void CallerBuffers::closeFull()
{
    std::vector<bufferevent *> closing;
    bool isAnyFull = false;
    for (const auto &[stream, connection] : m_connections) {
        if (connection->isFull && connection->wasFull)
            closing.push_back(stream);
        connection->wasFull = connection->isFull;
        isAnyFull = isAnyFull || connection->isFull;
    }
    const std::uint64_t before = m_closed;
    for (bufferevent *stream : closing) {
        // The callbacks of one connection may close another.
        const auto found = m_connections.find(stream);
        if (found != m_connections.end())
            close(*found->second);
    }
    if (m_closed > before)
        m_log->write("callers_closed_without_request",
                     { { "connections", std::to_string(m_closed - before) } });
    const timeval interval = toTimeval(fullCheckInterval);
    if (isAnyFull)
        event_add(m_fullCheck.get(), &interval);
}

} // namespace currantreel
