#ifndef CURRANTREEL_STANDINS_ENGINESTANDIN_H
#define CURRANTREEL_STANDINS_ENGINESTANDIN_H

#include "HttpStandin.h"
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace standins {

/// Settings of the simulated engine.
struct EngineOptions
{
    std::string listen;
    std::string name;
    std::uint32_t slots = 8;
    std::uint32_t maxQueued = 64; ///< Further requests are rejected with 429.
    std::chrono::microseconds prefillPerToken{ 200 };
    std::chrono::microseconds tokenInterval{ 20'000 };
    std::uint32_t prefixCacheEntries = 64;
    std::chrono::milliseconds loadReportLag{ 500 };
};

/// Simulated model engine with continuous batching, a prefix cache, priorities, streaming,
/// cancellation, resumption after tokens already generated, delayed load reports and draining.
/// Control paths slow it down, make it unresponsive or crash it.
///
/// In each token interval every running sequence generates one token once its prefill is complete.
/// The prefill of a prompt with a cached prefix takes a tenth of the time.
class EngineStandin
{
public:
    explicit EngineStandin(const EngineOptions &options);
    void run() { m_http.run(); }

private:
    struct Sequence
    {
        std::uint64_t id = 0;
        evhttp_request *request = nullptr;
        EngineStandin *engine = nullptr;
        std::string model;
        int priority = 0;
        bool isStreamed = false;
        bool isChat = false;
        std::uint32_t maxTokens = 0;
        std::uint32_t generatedTokens = 0;
        std::uint32_t promptTokens = 0;
        std::chrono::microseconds remainingPrefill{};
        std::string text;
    };

    void handleRequest(evhttp_request *request);
    void handleControl(evhttp_request *request, const std::string &path);
    void handleCompletion(evhttp_request *request, const std::string &path);
    void sendError(evhttp_request *request, int status, const std::string &reason);
    void sendLoadReport(evhttp_request *request);
    void tick();
    void admitQueued();
    void decodeStep(Sequence &sequence);
    void sendToken(Sequence &sequence, const std::string &token);
    void finishSequence(Sequence &sequence);
    bool touchPrefix(const std::string &prefix);
    static void onConnectionClosed(evhttp_connection *connection, void *sequence);

    EngineOptions m_options;
    HttpStandin m_http;
    currantreel::EventHandle m_decodeTimer;
    currantreel::EventHandle m_loadReportTimer;
    std::vector<std::unique_ptr<Sequence>> m_running;
    /// Ordered by priority, the lowest number first.
    std::multimap<int, std::unique_ptr<Sequence>> m_queued;
    std::deque<std::string> m_cachedPrefixes;
    std::string m_reportedLoad = "{}";
    std::uint64_t m_nextId = 1;
    std::uint64_t m_startedCount = 0;
    std::uint64_t m_finishedCount = 0;
    std::uint64_t m_cancelledCount = 0;
    std::uint64_t m_generatedTokenCount = 0;
    int m_slowdownFactor = 1; ///< Timer ticks per decoding step.
    int m_tickCount = 0;
    bool m_isUnresponsive = false;
    bool m_isDraining = false;
};

} // namespace standins

#endif
