#include "CallerRequest.h"

#include "../Forward/RequestHead.h"
#include "EventHandles.h"
#include "HttpInput.h"
#include "HttpReply.h"
#include <charconv>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace currantreel {

namespace {

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view completionPath = "/v1/completions";
constexpr std::string_view servicePrefix = "/v1/services/";

/// Approximate number of bytes of text per token.
constexpr std::size_t bytesPerToken = 4;
/// Length of the prompt prefix that is hashed, in bytes.
constexpr std::size_t prefixBytes = 512;
constexpr std::int64_t maxDeadlineMilliseconds = 3'600'000;

std::string_view bodyOf(evhttp_request *request)
{
    evbuffer *body = evhttp_request_get_input_buffer(request);
    const std::size_t length = evbuffer_get_length(body);
    const unsigned char *bytes = length ? evbuffer_pullup(body, -1) : nullptr;
    return { reinterpret_cast<const char *>(bytes), length };
}

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

Result<RequestArrived> parseDeadline(evhttp_request *request, RequestArrived event)
{
    const std::string text = headerOf(request, "Currantreel-Deadline-Ms");
    if (text.empty())
        return event;
    std::int64_t milliseconds = 0;
    const auto [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    const bool isNumber = failure == std::errc() && end == text.data() + text.size();
    if (!isNumber || milliseconds < 1 || milliseconds > maxDeadlineMilliseconds)
        return Error{ ResultCode::RequestBadDeadline, "Currantreel-Deadline-Ms: " + text };
    event.deadline = std::chrono::milliseconds(milliseconds);
    return event;
}

/// Start of the prompt, which engines may have cached, preceded by the name of the model.
std::string promptPrefix(const nlohmann::json &body, RequestKind kind)
{
    const char *const key = kind == RequestKind::ChatCompletion ? "messages" : "prompt";
    std::string start = body.at("model").get<std::string>();
    if (const auto prompt = body.find(key); prompt != body.end())
        start += prompt->is_array() && !prompt->empty() ? prompt->front().dump() : prompt->dump();
    return start.substr(0, prefixBytes);
}

/// Parses @p text but keeps no more values than the prompt's start can have: all of a body would take a
/// multiple of its bytes.
nlohmann::json parseParts(std::string_view text)
{
    std::size_t kept = 0;
    const auto isKept = [&kept](int depth, nlohmann::json::parse_event_t event,
                                const nlohmann::json &value) {
        using Event = nlohmann::json::parse_event_t;
        const bool isEnd = event == Event::object_end || event == Event::array_end;
        if (depth == 1 && event == Event::key)
            return value == "model" || value == "messages" || value == "prompt";
        return depth <= 1 || isEnd || ++kept <= prefixBytes;
    };
    return nlohmann::json::parse(text, isKept, false);
}

Result<RequestArrived> parseCompletion(evhttp_request *request, RequestArrived event)
{
    const std::string_view text = bodyOf(request);
    const nlohmann::json body = parseParts(text);
    if (!body.is_object())
        return Error{ ResultCode::RequestMalformed, "the body is not a JSON object" };
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string())
        return Error{ ResultCode::RequestMalformed, "'model' is missing or not a string" };
    const char *const promptKey = event.kind == RequestKind::ChatCompletion ? "messages" : "prompt";
    if (!body.contains(promptKey))
        return Error{ ResultCode::RequestMalformed, "'" + std::string(promptKey) + "' is missing" };
    try {
        event.target = model->get<std::string>();
        event.prefixHash = hashOf(promptPrefix(body, event.kind));
    } catch (const nlohmann::json::exception &failure) {
        return Error{ ResultCode::RequestMalformed, failure.what() };
    }
    event.promptTokens = static_cast<std::uint32_t>(text.size() / bytesPerToken + 1);
    return event;
}

} // namespace

HttpHeaders headersToForward(evhttp_request *request)
{
    const auto isSetForEachAttempt = [](const HttpHeader &header) {
        return isSameName(header.name, "Host") || isSameName(header.name, "Content-Length");
    };
    HttpHeaders headers = endToEndHeaders(inputHeaders(request));
    std::erase_if(headers, isSetForEachAttempt);
    return headers;
}

Result<RequestArrived> readCallerRequest(evhttp_request *request)
{
    RequestArrived event;
    const std::string path = pathOf(request);
    const bool isService = path.compare(0, servicePrefix.size(), servicePrefix) == 0;
    if (path != chatPath && path != completionPath && !isService)
        return Error{ ResultCode::RequestUnknownPath, path };
    if (!isService && evhttp_request_get_command(request) != EVHTTP_REQ_POST)
        return Error{ ResultCode::RequestWrongMethod, path };
    event.className = headerOf(request, "Currantreel-Class");
    event.workspace = headerOf(request, "Currantreel-Workspace");
    event.idempotencyKey = headerOf(request, "Idempotency-Key");
    event.isForwarded = !headerOf(request, "Currantreel-Forwarded").empty();
    event.bodyHash = hashOf(bodyOf(request)) ^ hashOf(path);
    if (isService) {
        event.kind = RequestKind::Service;
        const std::string serviceTarget = path.substr(servicePrefix.size());
        event.target = serviceTarget.substr(0, serviceTarget.find('/'));
        return parseDeadline(request, std::move(event));
    }
    event.kind = path == chatPath ? RequestKind::ChatCompletion : RequestKind::Completion;
    Result<RequestArrived> read = parseCompletion(request, std::move(event));
    if (isError(read))
        return read;
    return parseDeadline(request, std::move(value(read)));
}

} // namespace currantreel
