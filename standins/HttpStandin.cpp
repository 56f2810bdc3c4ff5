#include "HttpStandin.h"

#include <csignal>
#include <fmt/format.h>

namespace standins {

namespace {

constexpr int exitUsage = 2;
constexpr ev_ssize_t maxBodyBytes = 64L * 1024 * 1024;

void stopLoop(evutil_socket_t /*signal*/, short /*what*/, void *base)
{
    event_base_loopbreak(static_cast<event_base *>(base));
}

} // namespace

HttpStandin::HttpStandin(const std::string &listen, Handler handler)
    : m_base(event_base_new()), m_server(evhttp_new(m_base.get())), m_handler(std::move(handler))
{
    const auto address = currantreel::parseAddress(listen);
    evhttp_set_max_body_size(m_server.get(), maxBodyBytes);
    evhttp_set_gencb(m_server.get(), &HttpStandin::onRequest, this);
    const bool isBound =
        address && evhttp_bind_socket(m_server.get(), address->ip.c_str(), address->port) == 0;
    if (!isBound) {
        fmt::print(stderr, "cannot listen on '{}'\n", listen);
        std::exit(exitUsage);
    }
}

void HttpStandin::onRequest(evhttp_request *request, void *self)
{
    static_cast<HttpStandin *>(self)->m_handler(request);
}

void HttpStandin::run()
{
    signal(SIGPIPE, SIG_IGN);
    const currantreel::EventHandle terminate(
        evsignal_new(m_base.get(), SIGTERM, &stopLoop, m_base.get()));
    const currantreel::EventHandle interrupt(
        evsignal_new(m_base.get(), SIGINT, &stopLoop, m_base.get()));
    event_add(terminate.get(), nullptr);
    event_add(interrupt.get(), nullptr);
    event_base_dispatch(m_base.get());
}

std::string bodyOf(evhttp_request *request)
{
    evbuffer *body = evhttp_request_get_input_buffer(request);
    const std::size_t length = evbuffer_get_length(body);
    std::string text(length, '\0');
    evbuffer_copyout(body, text.data(), length);
    return text;
}

} // namespace standins
