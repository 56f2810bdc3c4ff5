#include "HttpInput.h"

#include <cstdint>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>

namespace currantreel {

namespace {

/// Limit on buffered bytes of pipelined requests while a request is in progress.
constexpr std::size_t readAheadBytes = 16UL * 1024;
/// Low watermark that the buffer never reaches, so that evhttp's read callback is not called.
constexpr std::size_t neverReadWatermark = SIZE_MAX;

} // namespace

HttpHeaders inputHeaders(evhttp_request *request)
{
    HttpHeaders headers;
    const evkeyvalq *list = evhttp_request_get_input_headers(request);
    for (const evkeyval *header = list->tqh_first; header; header = header->next.tqe_next)
        headers.push_back(HttpHeader{ header->key, header->value });
    return headers;
}

void detectCloseInProgress(evhttp_connection *connection)
{
    bufferevent *stream = evhttp_connection_get_bufferevent(connection);
    bufferevent_setwatermark(stream, EV_READ, neverReadWatermark, readAheadBytes);
    bufferevent_enable(stream, EV_READ);
}

} // namespace currantreel
