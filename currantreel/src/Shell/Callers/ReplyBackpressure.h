#ifndef CURRANTREEL_SHELL_REPLYBACKPRESSURE_H
#define CURRANTREEL_SHELL_REPLYBACKPRESSURE_H

#include "../../Core/Id.h"
#include "../EventHandles.h"
#include <functional>
#include <unordered_map>

namespace currantreel {

/// Sends the chunks of streamed replies, and tells which callers read too slowly and when they have
/// caught up.
///
/// evhttp keeps the callback of the last chunk with its argument until the connection is freed or
/// another write replaces it; nothing takes it back. A request may end earlier. So the argument is
/// this object, which has to outlive the connections, and never an object of a request.
class ReplyBackpressure
{
public:
    /// @param maxUnsentBytes unsent bytes of a reply above which its caller reads too slowly.
    /// @param onDrained called with a request whose caller read too slowly, once all was sent.
    ReplyBackpressure(std::size_t maxUnsentBytes, std::function<void(RequestId)> onDrained);
    ReplyBackpressure(const ReplyBackpressure &) = delete;
    ReplyBackpressure &operator=(const ReplyBackpressure &) = delete;

    /// Sends @p chunk of the reply to @p request, whose headers were sent.
    /// @return whether the caller reads too slowly, so that no more should be sent until it has
    /// caught up.
    [[nodiscard]] bool send(RequestId id, evhttp_request *request, evbuffer *chunk);

    /// The reply on @p connection has ended or the connection is being closed.
    void release(evhttp_connection *connection) { m_slow.erase(connection); }

private:
    static void onDrained(evhttp_connection *connection, void *self);

    std::size_t m_maxUnsentBytes;
    std::function<void(RequestId)> m_onDrained;
    std::unordered_map<evhttp_connection *, RequestId> m_slow; ///< Replies to slow callers.
};

} // namespace currantreel

#endif
