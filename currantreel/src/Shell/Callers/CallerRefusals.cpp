#include "CallerBufferEntries.h"

/// @file
/// Uploads that are refused before they are read, since there is no room for them.

namespace currantreel {

namespace {

/// Time for which a refused caller may send or receive nothing before its connection is closed.
constexpr Duration discardTimeout = std::chrono::seconds(1);

} // namespace

void CallerBuffers::setRefusal(evhttp *server, std::string reply)
{
    m_listeners.at(server)->refusal = std::move(reply);
}

bool CallerBuffers::mayRefuse(const Connection &connection) const
{
    // A body in chunks is taken by evhttp as it arrives, and only closing frees it.
    const bool isUploading = !connection.isInHead && !connection.isInProgress
                             && connection.parsed <= connection.maxHeadMemory;
    return isUploading && !connection.isRefused && !connection.listener->refusal.empty()
           && connection.bytes > RequestMemory::usualRequestBytes
           && evbuffer_get_length(bufferevent_get_output(connection.stream)) == 0;
}

void CallerBuffers::refuse(Connection &connection)
{
    m_requests.countRefused();
    connection.isRefused = true;
    connection.isFull = false;
    bufferevent *stream = connection.stream;
    // evhttp takes no further part. What arrives is discarded, since a connection that is closed with bytes
    // unread is reset, and the reply may be lost with it.
    bufferevent_setcb(stream, &CallerBuffers::onDiscarded, nullptr, &CallerBuffers::onRefusalEnded,
                      &connection);
    evbuffer *input = bufferevent_get_input(stream);
    evbuffer_remove_cb(input, &CallerBuffers::onInput, &connection);
    const std::size_t unread = evbuffer_get_length(input);
    connection.bytes -= unread;
    m_total -= unread;
    evbuffer_drain(input, unread);
    bufferevent_setwatermark(stream, EV_READ, 0, 0);
    const timeval timeout = toTimeval(discardTimeout);
    bufferevent_set_timeouts(stream, &timeout, &timeout);
    const std::string &reply = connection.listener->refusal;
    bufferevent_write(stream, reply.data(), reply.size());
    bufferevent_enable(stream, EV_READ | EV_WRITE);
}

void CallerBuffers::onDiscarded(bufferevent *stream, void *connection)
{
    auto *refused = static_cast<Connection *>(connection);
    evbuffer *input = bufferevent_get_input(stream);
    refused->discarded += evbuffer_get_length(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (refused->discarded > refused->readLimit)
        refused->owner->closeConnection(*refused);
}

void CallerBuffers::onRefusalEnded(bufferevent * /*stream*/, short /*what*/, void *connection)
{
    auto *refused = static_cast<Connection *>(connection);
    refused->owner->closeConnection(*refused);
}

} // namespace currantreel
