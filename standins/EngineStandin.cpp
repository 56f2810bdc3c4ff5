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
constexpr int statusTooMany = 429;
constexpr int statusUnavailable = 503;
constexpr std::uint32_t defaultTokens = 32;
constexpr int cachedPrefixDiscount = 10;
constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t prefixBytes = 512;
constexpr int lowestPriority = 9;

std::string promptOf(const json &body, bool isChat)
{
    const auto prompt = body.find(isChat ? "messages" : "prompt");
    return prompt == body.end() ? std::string() : prompt->dump();
}

} // namespace

EngineStandin::EngineStandin(const EngineOptions &options)
    : m_options(options),
      m_http(options.listen, [this](evhttp_request *request) { answer(request); })
{
    const auto onTick = [](evutil_socket_t, short, void *self) {
        static_cast<EngineStandin *>(self)->tick();
    };
    const auto onLag = [](evutil_socket_t, short, void *self) {
        auto *engine = static_cast<EngineStandin *>(self);
        engine->m_reportedLoad = json{
            { "running", engine->m_running.size() }, { "waiting", engine->m_waiting.size() },
            { "draining", engine->m_isDraining },    { "tokens", engine->m_tokens },
            { "started", engine->m_started },        { "finished", engine->m_finished },
            { "cancelled", engine->m_cancelled }
        }.dump();
    };
    m_tick.reset(event_new(m_http.base(), -1, EV_PERSIST, onTick, this));
    m_lag.reset(event_new(m_http.base(), -1, EV_PERSIST, onLag, this));
    const timeval interval = currantreel::toTimeval(m_options.tokenInterval);
    const timeval lag = currantreel::toTimeval(m_options.loadReportLag);
    event_add(m_tick.get(), &interval);
    event_add(m_lag.get(), &lag);
}

void EngineStandin::answer(evhttp_request *request)
{
    const std::string path = currantreel::pathOf(request);
    if (path.compare(0, 9, "/control/") == 0)
        control(request, path);
    else if (m_isSilent)
        return;
    else if (path == "/v1/load")
        reportLoad(request);
    else if (path == "/v1/chat/completions" || path == "/v1/completions")
        generate(request, path);
    else
        refuse(request, statusNotFound, "unknown path");
}

void EngineStandin::control(evhttp_request *request, const std::string &path)
{
    if (path == "/control/crash")
        std::_Exit(EXIT_FAILURE);
    if (path == "/control/silent")
        m_isSilent = queryOf(request, "on") != "0";
    else if (path == "/control/drain")
        m_isDraining = queryOf(request, "on") != "0";
    else if (path == "/control/straggle")
        m_slowness = std::max(1, std::atoi(queryOf(request, "factor").c_str()));
    sendReply(request, statusOk, jsonType, "{}");
}

void EngineStandin::reportLoad(evhttp_request *request)
{
    sendReply(request, statusOk, jsonType, m_reportedLoad);
}

void EngineStandin::refuse(evhttp_request *request, int status, const std::string &reason)
{
    if (status == statusTooMany || status == statusUnavailable)
        evhttp_add_header(evhttp_request_get_output_headers(request), "Currantreel-Outcome",
                          "not_run");
    sendReply(request, status, jsonType, json{ { "error", reason } }.dump());
}

bool EngineStandin::touchPrefix(const std::string &prefix)
{
    const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    const bool isHit = found != m_prefixes.end();
    if (isHit)
        m_prefixes.erase(found);
    m_prefixes.push_back(prefix);
    if (m_prefixes.size() > m_options.prefixCacheEntries)
        m_prefixes.pop_front();
    return isHit;
}

void EngineStandin::generate(evhttp_request *request, const std::string &path)
{
    const json body = json::parse(bodyOf(request), nullptr, false);
    if (!body.is_object()) {
        refuse(request, statusBadRequest, "the body is not a JSON object");
        return;
    }
    if (m_isDraining) {
        refuse(request, statusUnavailable, "draining");
        return;
    }
    if (m_waiting.size() >= m_options.queue) {
        refuse(request, statusTooMany, "too many requests");
        return;
    }
    auto sequence = std::make_unique<Sequence>();
    sequence->id = m_nextId++;
    sequence->engine = this;
    sequence->request = request;
    sequence->isChat = path == "/v1/chat/completions";
    sequence->model = body.value("model", "");
    sequence->isStreamed = body.value("stream", false);
    sequence->wanted = body.value("max_tokens", defaultTokens);
    sequence->made = body.value("resume_from", 0U);
    const std::string priority = headerOf(request, "X-Priority");
    sequence->priority = priority.empty() ? lowestPriority : std::atoi(priority.c_str());
    const std::string prompt = promptOf(body, sequence->isChat);
    sequence->promptTokens = static_cast<std::uint32_t>(prompt.size() / bytesPerToken + 1);
    const int divisor = touchPrefix(prompt.substr(0, prefixBytes)) ? cachedPrefixDiscount : 1;
    sequence->prefillLeft = m_options.prefillPerToken * sequence->promptTokens / divisor;
    evhttp_connection *connection = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(connection, &EngineStandin::onClosed, sequence.get());
    bufferevent_enable(evhttp_connection_get_bufferevent(connection), EV_READ);
    m_waiting.emplace(sequence->priority, std::move(sequence));
    admitWaiting();
}

void EngineStandin::onClosed(evhttp_connection * /*connection*/, void *sequence)
{
    auto *closed = static_cast<Sequence *>(sequence);
    EngineStandin *engine = closed->engine;
    ++engine->m_cancelled;
    const auto isClosed = [closed](const auto &one) { return one.get() == closed; };
    std::erase_if(engine->m_waiting, [&](const auto &item) { return isClosed(item.second); });
    std::erase_if(engine->m_running, isClosed);
}

void EngineStandin::admitWaiting()
{
    while (m_running.size() < m_options.slots && !m_waiting.empty()) {
        ++m_started;
        m_running.push_back(std::move(m_waiting.begin()->second));
        m_waiting.erase(m_waiting.begin());
    }
}

void EngineStandin::tick()
{
    if (m_isSilent || ++m_tickCount % m_slowness != 0)
        return;
    for (const auto &sequence : m_running)
        advance(*sequence);
    std::erase_if(m_running, [](const auto &sequence) { return !sequence->request; });
    admitWaiting();
}

void EngineStandin::advance(Sequence &sequence)
{
    if (sequence.prefillLeft > std::chrono::microseconds::zero()) {
        sequence.prefillLeft -= m_options.tokenInterval;
        return;
    }
    if (sequence.made < sequence.wanted) {
        const std::string token = fmt::format("t{} ", sequence.made);
        ++sequence.made;
        ++m_tokens;
        sendToken(sequence, token);
    }
    if (sequence.made >= sequence.wanted)
        finish(sequence);
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

void EngineStandin::finish(Sequence &sequence)
{
    evhttp_request *request = sequence.request;
    sequence.request = nullptr;
    ++m_finished;
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
                           { "completion_tokens", sequence.made } } } };
    sendReply(request, statusOk, jsonType, answer.dump());
}

} // namespace standins
