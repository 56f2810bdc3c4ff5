#ifndef CURRANTREEL_STANDINS_HTTPSTANDIN_H
#define CURRANTREEL_STANDINS_HTTPSTANDIN_H

#include <currantreel/src/Settings/Address.h>
#include <currantreel/src/Shell/EventHandles.h>
#include <currantreel/src/Shell/HttpReply.h>
#include <functional>
#include <string>

namespace standins {

/// HTTP server with its own event loop; the base of every stand-in.
class HttpStandin
{
public:
    using Handler = std::function<void(evhttp_request *)>;

    /// @param listen IP address and port, such as 127.0.0.1:9000. Exits the process with status 2
    /// if the address is invalid or cannot be bound.
    HttpStandin(const std::string &listen, Handler handler);

    [[nodiscard]] event_base *base() const { return m_base.get(); }
    /// Runs the event loop until SIGTERM or SIGINT.
    void run();

private:
    static void onRequest(evhttp_request *request, void *self);

    currantreel::EventBaseHandle m_base;
    currantreel::HttpServerHandle m_server;
    Handler m_handler;
};

/// Copies the request body; the input buffer keeps its contents.
[[nodiscard]] std::string bodyOf(evhttp_request *request);

} // namespace standins

#endif
