#include "ForwardFixture.h"

#include <map>
#include <set>

using namespace test;

TEST_CASE("requests about one subject meet at one engine, from every host")
{
    std::map<std::uint64_t, std::set<std::string>> engines;
    for (const char *domain : { "a", "b", "c" }) {
        ForwardFixture fixture;
        fixture.system = ForwardSystem(FailureDomainId::ofName(domain), 3);
        fixture.system.onConfiguration(ForwardFixture::makeRoutes(1));
        for (const char *home : { "a", "b", "c" }) {
            for (const char *name : { "1", "2", "3" })
                fixture.addServer(std::string("engine-") + home + name, "engines", home, 64);
        }
        for (std::uint64_t subject = 1; subject <= 20; ++subject) {
            fixture.call("/summary/lot", "key", promptOf(subject, 4'000, 1'000, 100 + subject));
            const auto sent = fixture.last<StartForward>();
            engines[subject].insert(sent.instance);
            fixture.events(sent.attempt);
            fixture.answer(sent.attempt, 200);
        }
    }
    std::set<std::string> used;
    for (const auto &[subject, homes] : engines) {
        CHECK(homes.size() == 1);
        used.insert(homes.begin(), homes.end());
    }
    CHECK(used.size() >= 4);
}

TEST_CASE("a subject that gets too much for one engine is served by others too")
{
    ForwardFixture fixture;
    for (const char *name : { "1", "2", "3", "4" })
        fixture.addServer(std::string("engine-") + name, "engines", "a", 64);
    std::set<std::string> used;
    for (std::uint64_t i = 0; i < 40; ++i) {
        fixture.call("/summary/lot", "key", promptOf(1, 4'000, 3'000, 100 + i));
        used.insert(fixture.last<StartForward>().instance);
    }
    CHECK(used.size() >= 2);
}

TEST_CASE("under mixed load no long prompt is read where short questions run")
{
    ForwardFixture fixture;
    for (int engine = 0; engine < 6; ++engine)
        fixture.addServer("engine-" + std::to_string(engine), "engines", "a", 64);
    std::map<std::string, std::pair<int, int>> counts; // long, short
    std::uint64_t id = 1'000;
    for (int second = 0; second < 10; ++second) {
        for (int i = 0; i < 20; ++i) {
            ++id;
            fixture.call("/summary/lot", "key", promptOf(id % 30, 5'000, 3'000, id));
            const auto summary = fixture.last<StartForward>();
            counts[summary.instance].first += second >= 2 ? 1 : 0;
            fixture.call("/gate/question", "key", promptOf(7'000, 200, 600, ++id));
            const auto question = fixture.last<StartForward>();
            counts[question.instance].second += second >= 2 ? 1 : 0;
            fixture.pass(50ms);
            for (const AttemptId attempt : { summary.attempt, question.attempt }) {
                fixture.system.onWritten(attempt);
                fixture.events(attempt);
            }
            fixture.answer(summary.attempt, 200);
            fixture.answer(question.attempt, 200);
        }
    }
    int beside = 0;
    int total = 0;
    for (const auto &[engine, count] : counts) {
        beside += count.second > 0 ? count.first : 0;
        total += count.first;
    }
    // Target: at most one summary in twenty beside questions.
    CHECK(beside * 20 <= total);
}

TEST_CASE("the engines' split follows the work")
{
    const ServiceId service = ServiceId::ofName("engines");
    constexpr TimePoint now{ 1h };
    EngineGroups groups;
    groups.countReading(service, now, 900'000.0);
    CHECK(groups.longEngines(service, now, 12, 64) == 0);
    groups.countRunning(service, now, 400s);
    CHECK(groups.longEngines(service, now, 12, 64) > 6);
}

TEST_CASE("a prompt part counts as kept only behind those before it, and the oldest is forgotten")
{
    PromptCache cache(1'000);
    Prompt prompt;
    prompt.segments = { PromptSegment{ 1, 300 }, PromptSegment{ 2, 300 }, PromptSegment{ 3, 300 } };
    cache.remember(prompt);
    CHECK(cache.keptTokens(prompt) == 900);
    Prompt other;
    other.segments = { PromptSegment{ 9, 300 }, PromptSegment{ 2, 300 } };
    CHECK(cache.keptTokens(other) == 0);
    cache.remember(other);
    CHECK(cache.keptTokens(prompt) == 0);
    CHECK(cache.keptTokens(other) == 600);
}

TEST_CASE("a prompt whose parts are larger than it says has nothing to read, and finds room")
{
    PromptCache cache(10'000);
    Prompt prompt = promptOf(1, 300, 300, 2);
    cache.remember(prompt);
    prompt.tokens = 500;
    CHECK(cache.unreadTokens(prompt) == 0);

    ForwardFixture fixture;
    fixture.addServer("engine-1", "engines");
    fixture.call("/summary/lot", "key", promptOf(1, 300, 300, 2));
    fixture.call("/summary/lot", "key", prompt);
    CHECK(fixture.all<StartForward>().size() == 2);
}

TEST_CASE("a new run of a server has nothing in memory")
{
    ForwardFixture fixture;
    fixture.addServer("engine-1", "engines");
    fixture.call("/gate/question", "key", promptOf(1, 400, 100, 2));
    ServerAnnouncement again =
        fixture.system.directory().find(BackendServerId::ofName("engine-1"))->announced;
    again.startedAt = 5;
    fixture.system.directory().announce(fixture.now, again);
    const ForwardServer *server =
        fixture.system.directory().find(BackendServerId::ofName("engine-1"));
    CHECK(server->cache.keptTokens(promptOf(1, 400, 100, 2)) == 0);
    CHECK(server->own.requests == 1);
}
