#include "WorldFixture.h"

#include <currantreel/Limits>
#include <currantreel/src/Ownership/Targets.h>
#include <random>

using namespace test;

namespace {

constexpr const char *head = R"(
schema = 1
[[class]]
name = "gate"
tier = 0
first_token_ms = 800
answer_ms = 5000
repeat = "idempotent"
late = "worthless"
[[class]]
name = "summary"
tier = 1
first_token_ms = 800
answer_ms = 5000
repeat = "idempotent"
late = "worthless"
[[class]]
name = "lookup"
tier = 4
first_token_ms = 10000
answer_ms = 60000
repeat = "idempotent"
preemptible = true
[[workspace]]
name = "mill"
default_class = "gate"
[[workspace]]
name = "large"
default_class = "gate"
[[model]]
name = "m"
)";

std::string engines(int count, int slots, int kvTokens = 0)
{
    std::string text = head;
    for (int i = 1; i <= count; ++i)
        text += "[[backend_server]]\nname = \"engine-" + std::to_string(i)
                + "\"\nkind = \"engine\"\nfailure_domain = \"a\"\naddress = \"127.0.0.1:"
                + std::to_string(9100 + i) + "\"\nmodels = [\"m\"]\nslots = "
                + std::to_string(slots) + "\nkv_tokens = " + std::to_string(kvTokens) + "\n";
    return text;
}

/// An owner whose entry is another host, so that its messages show as effects.
struct OwnerFixture : WorldFixture
{
    void use(const std::string &configuration)
    {
        step(ConfigurationRead{ makeConfiguration(2, configuration.c_str()) });
        HostEntry entryHost;
        entryHost.id = entry;
        step(HostListRead{ { entryHost }, {} });
    }

    GrantRequest ask(std::uint64_t request, const std::string &className = "gate")
    {
        const RequestClass &requestClass =
            *world.configuration().classes.find(ClassId::ofName(className));
        GrantRequest message;
        message.id = GrantId{ entry, RequestId{ request } };
        message.target = targetOfModel(ModelId::ofName("m"));
        message.requestClass = requestClass.id;
        message.tier = requestClass.tier;
        message.workspace = WorkspaceId::ofName("mill");
        message.firstTokenTimeLeft = requestClass.firstTokenTarget;
        message.answerTimeLeft = requestClass.answerTarget;
        message.queueBound = requestClass.queueBound;
        message.isWorthlessWhenLate = requestClass.late == LateRule::Worthless;
        message.isPreemptible = requestClass.isPreemptible;
        return message;
    }

    void send(const PeerMessage &message) { step(PeerMessageReceived{ entry, message }); }

    /// Messages of type T among @p list.
    template <typename T>
    static std::vector<T> messages(const EffectList &list)
    {
        std::vector<T> found;
        for (const Effect &effect : list) {
            const auto *sent = std::get_if<SendPeer>(&effect);
            if (sent && std::holds_alternative<T>(sent->message))
                found.push_back(std::get<T>(sent->message));
        }
        return found;
    }

    /// Asks and returns the grant, which must come at once.
    Granted granted(const GrantRequest &request)
    {
        send(request);
        const auto grants = messages<Granted>(effects);
        REQUIRE(grants.size() == 1);
        return grants.front();
    }

    void release(const Granted &grant, LeaseEnd end = LeaseEnd::Completed,
                 Duration firstToken = 100ms, Duration interToken = 20ms)
    {
        send(LeaseReleased{ grant.id, grant.lease, grant.server, end, 50, firstToken, interToken });
    }

    /// Runs one request at a time, each of them one second long.
    void warmUp(int count)
    {
        for (int i = 0; i < count; ++i) {
            const Granted grant = granted(ask(next++));
            now += 1s;
            release(grant);
        }
    }

    HostId entry = HostId::ofName("b-1");
    std::uint64_t next = 1'000'000;
};

} // namespace

TEST_CASE_FIXTURE(OwnerFixture,
                  "a target that cannot be met is refused at once, with the true wait")
{
    use(engines(1, 1));
    warmUp(10);
    granted(ask(1));
    // The slot is held for 1 s, so a first token within 0.8 s is out of reach for the next one.
    send(ask(2, "summary"));
    const auto sheds = messages<GrantShed>(effects);
    REQUIRE(sheds.size() == 1);
    CHECK(sheds[0].code == ResultCode::TargetUnreachable);
    CHECK(sheds[0].retryAfter >= 200ms);
    CHECK(sheds[0].retryAfter <= 1s);
    // A class whose late answers are useful waits.
    send(ask(3, "lookup"));
    CHECK(messages<GrantShed>(effects).empty());
    CHECK(world.owner().queued() == 1);
    // The top tier is never refused in favour of those that may run.
    send(ask(4, "gate"));
    CHECK(messages<GrantShed>(effects).empty());
    CHECK(world.owner().queued() == 2);
}

TEST_CASE_FIXTURE(OwnerFixture, "a withdrawn request is granted nothing")
{
    use(engines(1, 1));
    const Granted first = granted(ask(1));
    send(ask(2));
    send(GrantWithdrawn{ GrantId{ entry, RequestId{ 2 } } });
    CHECK(world.owner().queued() == 0);
    release(first);
    CHECK(messages<Granted>(effects).empty());
}

TEST_CASE_FIXTURE(OwnerFixture, "a lease ends once it is no longer renewed")
{
    use(engines(1, 2));
    const Granted kept = granted(ask(1));
    const Granted lost = granted(ask(2));
    CHECK(kept.lease != lost.lease);
    for (int i = 0; i < 4; ++i) {
        advance(1s);
        send(LeaseRenewal{ entry, { { kept.id, kept.lease, kept.server, 0 } } });
    }
    CHECK(world.owner().inFlight(kept.server) == 1);
    release(lost);
    CHECK(world.owner().inFlight(kept.server) == 1);
    release(kept);
    CHECK(world.owner().inFlight(kept.server) == 0);
}

TEST_CASE_FIXTURE(OwnerFixture, "an engine's memory bounds what runs on it")
{
    use(engines(1, 8, 10'000));
    GrantRequest large = ask(1, "lookup");
    large.promptTokens = 6'000;
    large.predictedTokens = 1'000;
    const Granted first = granted(large);
    large.id.request = RequestId{ 2 };
    send(large);
    CHECK(messages<Granted>(effects).empty());
    GrantRequest small = ask(3);
    small.promptTokens = 100;
    small.predictedTokens = 100;
    granted(small);
    release(first);
    CHECK(messages<Granted>(effects).size() == 1);
}

TEST_CASE_FIXTURE(OwnerFixture, "a server that fails is ejected and returns slot by slot")
{
    use(engines(3, 4));
    const Granted first = granted(ask(1));
    release(first, LeaseEnd::Failed);
    CHECK(world.owner().limit(first.server) == 0);
    CHECK(granted(ask(2)).server != first.server);
    advance(1100ms);
    CHECK(world.owner().limit(first.server) == 1);
    for (std::uint64_t i = 0; i < 60; ++i)
        release(granted(ask(10 + i)));
    CHECK(world.owner().limit(first.server) == 4);
}

TEST_CASE_FIXTURE(OwnerFixture, "the pause of a server that refuses grows, and ends")
{
    use(engines(1, 2));
    release(granted(ask(1)), LeaseEnd::Refused);
    send(ask(2, "lookup"));
    CHECK(messages<Granted>(effects).empty());
    advance(300ms);
    CHECK(messages<Granted>(tickEffects).size() == 1);
}

TEST_CASE_FIXTURE(OwnerFixture,
                  "a straggler is found by its own times and gets no work for a while")
{
    use(engines(4, 2));
    const BackendServerId slow = BackendServerId::ofName("engine-2");
    std::size_t lateGrants = 0;
    for (std::uint64_t i = 1; i <= 200; ++i) {
        const Granted grant = granted(ask(i));
        lateGrants += i > 100 && grant.server == slow ? 1 : 0;
        now += 50ms;
        release(grant, LeaseEnd::Completed, grant.server == slow ? 800ms : 100ms,
                grant.server == slow ? 200ms : 20ms);
    }
    // A quarter of the grants would be 25.
    CHECK(lateGrants <= 5);
}

TEST_CASE_FIXTURE(OwnerFixture,
                  "a prefix stays on its server until that is loaded above the average")
{
    use(engines(4, 8));
    GrantRequest request = ask(1);
    request.prefixHash = 42;
    const Granted first = granted(request);
    release(first);
    std::size_t warm = 0;
    for (std::uint64_t i = 2; i <= 17; ++i) {
        request.id.request = RequestId{ i };
        warm += granted(request).server == first.server ? 1 : 0;
        CHECK(world.owner().inFlight(first.server) <= 7);
    }
    CHECK(warm >= 2);
    request.avoid = first.server;
    request.id.request = RequestId{ 18 };
    CHECK(granted(request).server != first.server);
}

TEST_CASE_FIXTURE(OwnerFixture,
                  "a slot is kept free for recent demand of a higher tier, for a while")
{
    use(engines(1, 2));
    warmUp(10);
    granted(ask(1, "lookup"));
    send(ask(2, "lookup"));
    CHECK(messages<Granted>(effects).empty());
    release(granted(ask(3)));
    advance(4s);
    send(LeaseRenewal{ entry, {} });
    advance(26s);
    CHECK(world.owner().queued() == 0);
}

TEST_CASE_FIXTURE(OwnerFixture, "running work is preempted only for a strictly higher tier in need")
{
    use(engines(1, 2));
    warmUp(10);
    // The gate's demand is long ago, so that no slot is kept free for it.
    advance(1min);
    granted(ask(1, "lookup"));
    const Granted younger = granted(ask(2, "lookup"));
    send(ask(3, "lookup"));
    CHECK(messages<LeasePreempted>(effects).empty());
    GrantRequest gate = ask(4);
    gate.isWorthlessWhenLate = false;
    gate.firstTokenTimeLeft = 300ms;
    send(gate);
    const auto preempted = messages<LeasePreempted>(effects);
    REQUIRE(preempted.size() == 1);
    CHECK(preempted[0].lease == younger.lease);
    release(younger, LeaseEnd::Cancelled);
    const auto grants = messages<Granted>(effects);
    REQUIRE(grants.size() == 1);
    CHECK(grants[0].id.request == RequestId{ 4 });
}

TEST_CASE_FIXTURE(OwnerFixture,
                  "a gate question is never preempted and a preempted lookup runs again")
{
    use(engines(1, 1));
    warmUp(10);
    step(chat(1, "lookup"));
    const auto lookup = only<StartAttempt>();
    GrantRequest gate = ask(2);
    gate.isWorthlessWhenLate = false;
    send(gate);
    CHECK(only<CancelAttempt>().attempt == lookup.attempt);
    advance(20ms);
    const auto grants = messages<Granted>(tickEffects);
    REQUIRE(grants.size() == 1);
    gate.id.request = RequestId{ 3 };
    send(gate);
    CHECK(count<CancelAttempt>() == 0);
    CHECK(messages<LeasePreempted>(effects).empty());
    send(GrantWithdrawn{ gate.id });
    release(grants[0]);
    CHECK(only<StartAttempt>().request == RequestId{ 1 });
    // Once preempted, it runs to its end.
    send(gate);
    CHECK(count<CancelAttempt>() == 0);
}

TEST_CASE("limits follow the engine: down when it is congested, up to what is published")
{
    SlotLimit limit;
    limit.setConfiguredSlots(16);
    TimePoint now{ 1h };
    for (int i = 0; i < 20; ++i)
        limit.onCompleted(now += 1s, 100ms, 20ms, 800ms);
    CHECK(limit.slots() == 16);
    for (int i = 0; i < 20; ++i)
        limit.onCompleted(now += 1s, 2s, 20ms, 800ms);
    CHECK(limit.slots() < 8);
    for (int i = 0; i < 400; ++i)
        limit.onCompleted(now += 100ms, 100ms, 20ms, 800ms);
    CHECK(limit.slots() == 16);
}

TEST_CASE("answer lengths are learned by class and older ones fade")
{
    AnswerLengths lengths;
    const ClassId summary = ClassId::ofName("summary");
    CHECK(lengths.upper(summary) == AnswerLengths::defaultLength);
    std::mt19937 random(3);
    for (int i = 0; i < 1000; ++i)
        lengths.add(summary, static_cast<std::uint32_t>(100 + random() % 900));
    CHECK(lengths.upper(summary) >= 900);
    CHECK(lengths.upper(summary) <= 1200);
    CHECK(lengths.lower(summary) >= 280);
    CHECK(lengths.lower(summary) <= 400);
    for (int i = 0; i < 8000; ++i)
        lengths.add(summary, 10);
    CHECK(lengths.upper(summary) <= 20);
}

TEST_CASE("cache events confirm and withdraw what is remembered, and the table is bounded")
{
    PrefixTable table;
    const BackendServerId one{ 1 };
    const BackendServerId two{ 2 };
    table.onCacheEvent({ one, 7, true });
    CHECK(table.find(7) == one);
    table.record(7, two);
    table.onCacheEvent({ one, 7, true });
    table.onCacheEvent({ one, 7, false });
    CHECK(table.find(7) == two);
    table.onCacheEvent({ two, 7, false });
    CHECK_FALSE(table.find(7).isValid());
    for (std::uint64_t i = 1; i <= PrefixTable::capacity + 10; ++i)
        table.record(i, one);
    CHECK(table.size() == PrefixTable::capacity);
}
