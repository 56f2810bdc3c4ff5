#include "ReplyBackpressure.h"

namespace currantreel {

ReplyBackpressure::ReplyBackpressure(std::size_t maxUnsentBytes,
                                     std::function<void(RequestId)> onDrained)
    : m_maxUnsentBytes(maxUnsentBytes), m_onDrained(std::move(onDrained))
{
}

bool ReplyBackpressure::send(RequestId id, evhttp_request *request, evbuffer *chunk)
{
    evhttp_send_reply_chunk_with_cb(request, chunk, &ReplyBackpressure::onDrained, this);
    evhttp_connection *connection = evhttp_request_get_connection(request);
    bufferevent *stream = evhttp_connection_get_bufferevent(connection);
    const std::size_t unsent = evbuffer_get_length(bufferevent_get_output(stream));
    if (unsent <= m_maxUnsentBytes)
        return false;
    m_slow[connection] = id;
    return true;
}

void ReplyBackpressure::onDrained(evhttp_connection *connection, void *self)
{
    auto *backpressure = static_cast<ReplyBackpressure *>(self);
    const auto found = backpressure->m_slow.find(connection);
    if (found == backpressure->m_slow.end())
        return;
    const RequestId id = found->second;
    backpressure->m_slow.erase(found);
    backpressure->m_onDrained(id);
}

} // namespace currantreel
