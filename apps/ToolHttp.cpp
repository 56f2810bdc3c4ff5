#include "ToolHttp.h"

#include <currantreel/src/Shell/OutgoingExchange.h>

namespace currantreel::tool {

namespace {

Result<HttpAnswer> send(evhttp_cmd_type method, const Address &address, const std::string &path,
                        Duration timeout)
{
    const EventBaseHandle base(event_base_new());
    HttpAnswer answer;
    bool isComplete = false;
    OutgoingRequest request;
    request.address = address;
    request.method = method;
    request.path = path;
    request.inactivityTimeout = timeout;
    OutgoingCallbacks callbacks;
    callbacks.onHead = [&](const ResponseHead &head) { answer.status = head.status; };
    callbacks.onBody = [&](evbuffer *body) {
        const std::size_t before = answer.body.size();
        answer.body.resize(before + evbuffer_get_length(body));
        evbuffer_remove(body, answer.body.data() + before, answer.body.size() - before);
    };
    callbacks.onDone = [&] {
        isComplete = true;
        event_base_loopbreak(base.get());
    };
    callbacks.onFailed = [&](bool) { event_base_loopbreak(base.get()); };
    const OutgoingExchange exchange(base.get(), std::move(request), std::move(callbacks));
    event_base_dispatch(base.get());
    if (!isComplete)
        return Error{ ResultCode::ToolHostUnreachable, toText(address) };
    return answer;
}

} // namespace

Result<HttpAnswer> httpGet(const Address &address, const std::string &path, Duration timeout)
{
    return send(EVHTTP_REQ_GET, address, path, timeout);
}

Result<HttpAnswer> httpDelete(const Address &address, const std::string &path, Duration timeout)
{
    return send(EVHTTP_REQ_DELETE, address, path, timeout);
}

} // namespace currantreel::tool
