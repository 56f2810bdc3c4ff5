#include "EngineStandin.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace standins {

namespace {

using currantreel::headerOf;
using currantreel::jsonType;
using currantreel::queryOf;
using currantreel::sendReply;
using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusTooManyRequests = 429;
constexpr int statusServiceUnavailable = 503;
constexpr std::uint32_t defaultMaxTokens = 32;
constexpr int cachedPrefillDivisor = 10;
constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t cachedPrefixBytes = 512;
constexpr int lowestPriority = 9;

std::string promptOf(const json &body, bool isChat)
{
    const auto prompt = body.find(isChat ? "messages" : "prompt");
    return prompt == body.end() ? std::string() : prompt->dump();
}

} // namespace

EngineStandin::EngineStandin(const EngineOptions &options)
    : m_options(options),
      m_http(options.listen, [this](evhttp_request *request) { handleRequest(request); })
{
    const auto onDecodeTimer = [](evutil_socket_t, short, void *self) {
        static_cast<EngineStandin *>(self)->tick();
    };
    const auto onLoadReportTimer = [](evutil_socket_t, short, void *self) {
        auto *engine = static_cast<EngineStandin *>(self);
        engine->m_reportedLoad = json{
            { "running", engine->m_running.size() },  { "waiting", engine->m_queued.size() },
            { "draining", engine->m_isDraining },     { "tokens", engine->m_generatedTokenCount },
            { "started", engine->m_startedCount },    { "finished", engine->m_finishedCount },
            { "cancelled", engine->m_cancelledCount }
        }.dump();
    };
    m_decodeTimer.reset(event_new(m_http.base(), -1, EV_PERSIST, onDecodeTimer, this));
    m_loadReportTimer.reset(event_new(m_http.base(), -1, EV_PERSIST, onLoadReportTimer, this));
    const timeval interval = currantreel::toTimeval(m_options.tokenInterval);
    const timeval lag = currantreel::toTimeval(m_options.loadReportLag);
    event_add(m_decodeTimer.get(), &interval);
    event_add(m_loadReportTimer.get(), &lag);
}

void EngineStandin::handleRequest(evhttp_request *request)
{
    const std::string path = currantreel::pathOf(request);
    if (path.compare(0, 9, "/control/") == 0)
        handleControl(request, path);
    else if (m_isUnresponsive)
        return;
    else if (path == "/v1/load")
        sendLoadReport(request);
    else if (path == "/v1/chat/completions" || path == "/v1/completions")
        handleCompletion(request, path);
    else
        sendError(request, statusNotFound, "unknown path");
}

void EngineStandin::handleControl(evhttp_request *request, const std::string &path)
{
    if (path == "/control/crash")
        std::_Exit(EXIT_FAILURE);
    if (path == "/control/silent")
        m_isUnresponsive = queryOf(request, "on") != "0";
    else if (path == "/control/drain")
        m_isDraining = queryOf(request, "on") != "0";
    else if (path == "/control/straggle")
        m_slowdownFactor = std::max(1, std::atoi(queryOf(request, "factor").c_str()));
    sendReply(request, statusOk, jsonType, "{}");
}

void EngineStandin::sendLoadReport(evhttp_request *request)
{
    sendReply(request, statusOk, jsonType, m_reportedLoad);
}

void EngineStandin::sendError(evhttp_request *request, int status, const std::string &reason)
{
    if (status == statusTooManyRequests || status == statusServiceUnavailable)
        evhttp_add_header(evhttp_request_get_output_headers(request), "Currantreel-Outcome",
                          "not_run");
    sendReply(request, status, jsonType, json{ { "error", reason } }.dump());
}

bool EngineStandin::touchPrefix(const std::string &prefix)
{
    const auto found = std::find(m_cachedPrefixes.begin(), m_cachedPrefixes.end(), prefix);
    const bool isHit = found != m_cachedPrefixes.end();
    if (isHit)
        m_cachedPrefixes.erase(found);
    m_cachedPrefixes.push_back(prefix);
    if (m_cachedPrefixes.size() > m_options.prefixCacheEntries)
        m_cachedPrefixes.pop_front();
    return isHit;
}

void EngineStandin::handleCompletion(evhttp_request *request, const std::string &path)
{
    const json body = json::parse(bodyOf(request), nullptr, false);
    if (!body.is_object()) {
        sendError(request, statusBadRequest, "the body is not a JSON object");
        return;
    }
    if (m_isDraining) {
        sendError(request, statusServiceUnavailable, "draining");
        return;
    }
    if (m_queued.size() >= m_options.maxQueued) {
        sendError(request, statusTooManyRequests, "too many requests");
        return;
    }
    auto sequence = std::make_unique<Sequence>();
    sequence->id = m_nextId++;
    sequence->engine = this;
    sequence->request = request;
    sequence->isChat = path == "/v1/chat/completions";
    sequence->model = body.value("model", "");
    sequence->isStreamed = body.value("stream", false);
    sequence->maxTokens = body.value("max_tokens", defaultMaxTokens);
    sequence->generatedTokens = body.value("resume_from", 0U);
    const std::string priority = headerOf(request, "X-Priority");
    sequence->priority = priority.empty() ? lowestPriority : std::atoi(priority.c_str());
    const std::string prompt = promptOf(body, sequence->isChat);
    sequence->promptTokens = static_cast<std::uint32_t>(prompt.size() / bytesPerToken + 1);
    const int divisor = touchPrefix(prompt.substr(0, cachedPrefixBytes)) ? cachedPrefillDivisor : 1;
    sequence->remainingPrefill = m_options.prefillPerToken * sequence->promptTokens / divisor;
    evhttp_connection *connection = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(connection, &EngineStandin::onConnectionClosed, sequence.get());
    bufferevent_enable(evhttp_connection_get_bufferevent(connection), EV_READ);
    m_queued.emplace(sequence->priority, std::move(sequence));
    admitQueued();
}

void EngineStandin::onConnectionClosed(evhttp_connection * /*connection*/, void *sequence)
{
    auto *closed = static_cast<Sequence *>(sequence);
    EngineStandin *engine = closed->engine;
    ++engine->m_cancelledCount;
    const auto isClosed = [closed](const auto &candidate) { return candidate.get() == closed; };
    std::erase_if(engine->m_queued, [&](const auto &item) { return isClosed(item.second); });
    std::erase_if(engine->m_running, isClosed);
}

void EngineStandin::admitQueued()
{
    while (m_running.size() < m_options.slots && !m_queued.empty()) {
        ++m_startedCount;
        m_running.push_back(std::move(m_queued.begin()->second));
        m_queued.erase(m_queued.begin());
    }
}

void EngineStandin::tick()
{
    if (m_isUnresponsive || ++m_tickCount % m_slowdownFactor != 0)
        return;
    for (const auto &sequence : m_running)
        decodeStep(*sequence);
    std::erase_if(m_running, [](const auto &sequence) { return !sequence->request; });
    admitQueued();
}

void EngineStandin::decodeStep(Sequence &sequence)
{
    if (sequence.remainingPrefill > std::chrono::microseconds::zero()) {
        sequence.remainingPrefill -= m_options.tokenInterval;
        return;
    }
    if (sequence.generatedTokens < sequence.maxTokens) {
        const std::string token = fmt::format("t{} ", sequence.generatedTokens);
        ++sequence.generatedTokens;
        ++m_generatedTokenCount;
        sendToken(sequence, token);
    }
    if (sequence.generatedTokens >= sequence.maxTokens)
        finishSequence(sequence);
}

void EngineStandin::sendToken(Sequence &sequence, const std::string &token)
{
    if (!sequence.isStreamed) {
        sequence.text += token;
        return;
    }
    const bool isFirst = sequence.text.empty();
    if (isFirst) {
        evhttp_add_header(evhttp_request_get_output_headers(sequence.request), "Content-Type",
                          "text/event-stream");
        evhttp_send_reply_start(sequence.request, statusOk, nullptr);
        sequence.text = "begun";
    }
    const currantreel::BufferHandle chunk = currantreel::makeBuffer();
    if (sequence.isChat)
        evbuffer_add_printf(chunk.get(),
                            "data: {\"id\":\"%s-%llu\",\"object\":\"chat.completion.chunk\","
                            "\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s\"}}]}\n\n",
                            m_options.name.c_str(), static_cast<unsigned long long>(sequence.id),
                            token.c_str());
    else
        evbuffer_add_printf(chunk.get(),
                            "data: {\"id\":\"%s-%llu\",\"object\":\"text_completion\","
                            "\"choices\":[{\"index\":0,\"text\":\"%s\"}]}\n\n",
                            m_options.name.c_str(), static_cast<unsigned long long>(sequence.id),
                            token.c_str());
    evhttp_send_reply_chunk(sequence.request, chunk.get());
}

void EngineStandin::finishSequence(Sequence &sequence)
{
    evhttp_request *request = sequence.request;
    sequence.request = nullptr;
    ++m_finishedCount;
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
    if (sequence.isStreamed) {
        const currantreel::BufferHandle chunk = currantreel::makeBuffer();
        evbuffer_add_printf(chunk.get(), "data: [DONE]\n\n");
        evhttp_send_reply_chunk(request, chunk.get());
        evhttp_send_reply_end(request);
        return;
    }
    const json choice =
        sequence.isChat
            ? json{ { "index", 0 },
                    { "message", { { "role", "assistant" }, { "content", sequence.text } } },
                    { "finish_reason", "length" } }
            : json{ { "index", 0 }, { "text", sequence.text }, { "finish_reason", "length" } };
    const json answer{ { "id", fmt::format("{}-{}", m_options.name, sequence.id) },
                       { "model", sequence.model },
                       { "choices", { choice } },
                       { "usage",
                         { { "prompt_tokens", sequence.promptTokens },
                           { "completion_tokens", sequence.generatedTokens } } } };
    sendReply(request, statusOk, jsonType, answer.dump());
}

} // namespace standins
