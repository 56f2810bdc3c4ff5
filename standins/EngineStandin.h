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

/// How the engine behaves.
struct EngineOptions
{
    std::string listen;
    std::string name;
    std::uint32_t slots = 8;
    std::uint32_t queue = 64; ///< Requests that wait inside; more are refused with 429.
    std::chrono::microseconds prefillPerToken{ 200 };
    std::chrono::microseconds tokenInterval{ 20'000 };
    std::uint32_t prefixCacheEntries = 64;
    std::chrono::milliseconds loadReportLag{ 500 };
};

/// Model engine: batches continuously, caches prefixes, honours priorities, streams, cancels, resumes
/// from kept tokens, reports its load late and drains. Control paths make it straggle, fall silent or
/// crash.
///
/// Every token interval, each running sequence yields one token. A sequence waits for its prompt
/// first; a prompt whose start is cached costs a tenth.
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
        std::uint32_t wanted = 0;
        std::uint32_t made = 0;
        std::uint32_t promptTokens = 0;
        std::chrono::microseconds prefillLeft{};
        std::string text;
    };

    void answer(evhttp_request *request);
    void control(evhttp_request *request, const std::string &path);
    void generate(evhttp_request *request, const std::string &path);
    void refuse(evhttp_request *request, int status, const std::string &reason);
    void reportLoad(evhttp_request *request);
    void tick();
    void admitWaiting();
    void advance(Sequence &sequence);
    void sendToken(Sequence &sequence, const std::string &token);
    void finish(Sequence &sequence);
    bool touchPrefix(const std::string &prefix);
    static void onClosed(evhttp_connection *connection, void *sequence);

    EngineOptions m_options;
    HttpStandin m_http;
    currantreel::EventHandle m_tick;
    currantreel::EventHandle m_lag;
    std::vector<std::unique_ptr<Sequence>> m_running;
    std::multimap<int, std::unique_ptr<Sequence>> m_waiting; ///< By priority, lowest number first.
    std::deque<std::string> m_prefixes;
    std::string m_reportedLoad = "{}";
    std::uint64_t m_nextId = 1;
    std::uint64_t m_started = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_tokens = 0;
    int m_slowness = 1; ///< Ticks for one step.
    int m_tickCount = 0;
    bool m_isSilent = false;
    bool m_isDraining = false;
};

} // namespace standins

#endif
