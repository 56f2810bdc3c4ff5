#ifndef CURRANTREEL_SHELL_EVENTHANDLES_H
#define CURRANTREEL_SHELL_EVENTHANDLES_H

#include "../Core/Time.h"
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <memory>
#include <sys/time.h>

namespace currantreel {

namespace detail {

/// Deleter of a libevent object. @tparam Free function of libevent that frees it.
template <auto Free>
struct EventDeleter
{
    template <typename T>
    void operator()(T *object) const
    {
        Free(object);
    }
};

} // namespace detail

using EventBaseHandle = std::unique_ptr<event_base, detail::EventDeleter<event_base_free>>;
using EventHandle = std::unique_ptr<event, detail::EventDeleter<event_free>>;
using BuffereventHandle = std::unique_ptr<bufferevent, detail::EventDeleter<bufferevent_free>>;
using HttpServerHandle = std::unique_ptr<evhttp, detail::EventDeleter<evhttp_free>>;
using HttpConnectionHandle =
    std::unique_ptr<evhttp_connection, detail::EventDeleter<evhttp_connection_free>>;
using BufferHandle = std::unique_ptr<evbuffer, detail::EventDeleter<evbuffer_free>>;

/// Priorities of events: an urgent one is handled before the other events of the same turn of the loop.
enum class EventPriority : std::uint8_t { Urgent, Usual };

/// Creates an event loop in which events have EventPriority::Usual unless set otherwise.
[[nodiscard]] inline EventBaseHandle makeEventBase()
{
    constexpr int priorities = 2; // the default is half of it: EventPriority::Usual
    EventBaseHandle base(event_base_new());
    event_base_priority_init(base.get(), priorities);
    return base;
}

/// Creates an empty buffer.
[[nodiscard]] inline BufferHandle makeBuffer()
{
    return BufferHandle(evbuffer_new());
}

/// Converts @p time for libevent.
[[nodiscard]] inline timeval toTimeval(Duration time)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
    return timeval{ seconds.count(), (time - seconds).count() };
}

} // namespace currantreel

#endif
