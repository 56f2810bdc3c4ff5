#include <algorithm>
#include <currantreel/Configuration>
#include <currantreel/Replay>
#include <currantreel/src/Replay/BackendSimulator.h>
#include <currantreel/src/Replay/CallRecorder.h>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>

using namespace currantreel;
using namespace std::chrono_literals;

namespace {

std::string readSource(const std::string &path)
{
    std::ifstream stream(std::string(SOURCE_DIR "/") + path);
    REQUIRE(stream.good());
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

std::shared_ptr<const Configuration> configurationOf(const std::string &deployment)
{
    const std::string path = "examples/" + deployment + "/configuration.toml";
    auto parsed = parseConfiguration(readSource(path), path);
    REQUIRE(std::holds_alternative<Configuration>(parsed));
    auto configuration =
        std::make_shared<Configuration>(std::get<Configuration>(std::move(parsed)));
    configuration->version = 1;
    return configuration;
}

Trace traceOf(const std::string &text)
{
    auto parsed = parseTrace(text, "test");
    REQUIRE(std::holds_alternative<Trace>(parsed));
    return std::get<Trace>(std::move(parsed));
}

const std::string millHosts = R"(
engine prefill_us=100 token_us=20000 slowdown_permille=40 cached_prefixes=16
service run_us=150000
host name=edirne-a-1 failure_domain=edirne-a
host name=edirne-b-1 failure_domain=edirne-b
host name=uzunkopru-1 failure_domain=uzunkopru
generate class=gate-question workspace=gate-edirne model=paddy-8b from=0 for=15 rate=8 prompt=80:0.4:20:400 answer=35:0.5:5:200 seed=1
generate class=lot-summary workspace=trakya-birlik model=paddy-8b from=0 for=15 rate=6 prompt=1500:0.5:200:6000 answer=200:0.6:30:900 prefixes=8 seed=2
generate class=payment-entry workspace=accounts-office service=payment from=0 for=15 rate=5 prompt=60:0.3:20:200 answer=1:0:1:1 duplicate_permille=400 duplicate_after=0.05 seed=3
)";

void checkInvariants(const ReplayReport &report)
{
    CHECK(report.doubledRuns == 0);
    CHECK(report.untrueNotRun == 0);
    CHECK(report.crossedAnswers == 0);
    CHECK(report.lostAnswers == 0);
    CHECK(report.topTierPreempted == 0);
}

/// A book with one keyed payment and one gate question.
struct BookFixture
{
    BookFixture()
    {
        TraceArrival arrival;
        arrival.className = "payment-entry";
        arrival.isService = true;
        payment = book.addCall(arrival, TimePoint());
        book.call(payment).key = "key";
        arrival.className = "gate-question";
        arrival.isService = false;
        arrival.answerTokens = 10;
        question = book.addCall(arrival, TimePoint());
    }

    Exchange &send(std::size_t call)
    {
        return book.addExchange(call, 0, "edirne-a", TimePoint(1ms));
    }

    void run(Exchange &exchange)
    {
        const BackendServerId server = BackendServerId::ofName("edirne-a-payment-1");
        book.onRun(book.addAttempt(exchange.id, AttemptId{ 1 }, 0, 1, server));
        exchange.isOpen = false;
    }

    ReplayReport report()
    {
        Schedule schedule;
        return book.report(BackendBench(schedule, Trace(), *configuration, {}));
    }

    std::shared_ptr<const Configuration> configuration = configurationOf("karacay-mill");
    CallBook book{ "book", *configuration };
    std::size_t payment = 0;
    std::size_t question = 0;
};

} // namespace

TEST_CASE("the same trace and seed give the same report, another seed another one")
{
    const auto mill = configurationOf("karacay-mill");
    const Trace trace = traceOf("trace name=calm configuration=x length=15" + millHosts);
    REQUIRE(checkTrace(trace, *mill, "test").empty());
    for (const std::string_view policy : replayPolicies()) {
        const ReplayReport first = runReplay(trace, mill, policy, 7);
        CHECK(toText(first) == toText(runReplay(trace, mill, policy, 7)));
        CHECK(toText(first) != toText(runReplay(trace, mill, policy, 8)));
        checkInvariants(first);
    }
}

TEST_CASE("invariants hold with a crash, a partition, a pause and a host crash")
{
    const auto mill = configurationOf("karacay-mill");
    const Trace trace = traceOf("trace name=faults configuration=x length=15" + millHosts + R"(
fault at=3 for=4 kind=partition target=edirne-a other=edirne-b
fault at=4 for=5 kind=crash target=edirne-a-payment-1
fault at=5 for=5 kind=crash target=uzunkopru-engine-1
fault at=6 for=1 kind=silence target=edirne-b-payment-1
fault at=8 for=4 kind=pause target=uzunkopru-1
fault at=9 for=3 kind=host-crash target=edirne-b-1
)");
    REQUIRE(checkTrace(trace, *mill, "test").empty());
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
        CAPTURE(seed);
        checkInvariants(runReplay(trace, mill, "tiered", seed));
    }
}

TEST_CASE_FIXTURE(BookFixture, "the checks see doubled runs, untrue refusals and wrong answers")
{
    SUBCASE("two runs under one key")
    {
        run(send(payment));
        run(send(payment));
        CHECK(report().doubledRuns == 1);
    }
    SUBCASE("a run after not_run under the same key")
    {
        Exchange &first = send(payment);
        first.isOpen = false;
        book.onRefusal(first, ResultCode::KeyBurnt, Outcome::NotRun);
        CHECK(report().untrueNotRun == 0);
        run(send(payment));
        CHECK(report().untrueNotRun == 1);
    }
    SUBCASE("an answer to another request, a short one, and none")
    {
        Exchange &exchange = send(question);
        CHECK(report().lostAnswers == 1);
        exchange.isOpen = false;
        book.onAnswer(exchange, ReplayedAnswer{ payment, 10, true }, TimePoint(2ms));
        CHECK(report().crossedAnswers == 1);
        book.onAnswer(exchange, ReplayedAnswer{ question, 9, true }, TimePoint(2ms));
        CHECK(report().lostAnswers == 1);
    }
}

TEST_CASE("faults of traces and of stated outcomes are numbered with their lines")
{
    const auto parsed = parseTrace("trace name=x configuration=y length=1\nhost name=a\n"
                                   "fault at=nine for=1 kind=crash target=b extra=1\n",
                                   "t");
    REQUIRE(std::holds_alternative<FaultList>(parsed));
    const auto &faults = std::get<FaultList>(parsed);
    REQUIRE(faults.size() == 3);
    CHECK(faults[0].code == ResultCode::SettingsMissingKey);
    CHECK(faults[0].line == 2);
    CHECK(faults[1].code == ResultCode::SettingsWrongType);
    CHECK(faults[2].code == ResultCode::SettingsUnknownKey);
    CHECK(std::holds_alternative<FaultList>(parseOutcomes("wasted_at_most = 2.0", "o")));
}
