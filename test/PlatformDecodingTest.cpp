#include <doctest/doctest.h>
#include <platform/ForwardHeaders.h>
#include <platform/PublishedDocuments.h>
#include <platform/StoreReplies.h>

using namespace currantreel;
using namespace std::chrono_literals;

namespace {

PublishedItem server(const std::string &value)
{
    return PublishedItem{ "servers/i-1", value, 4, false };
}

constexpr const char *goodServer =
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"a","version":"v1","slots":64,)"
    R"("state":"ready","cold-left-ms":250,"sequence":4,"born":1700000000000})";

} // namespace

TEST_CASE("a server's entry is read into an announcement")
{
    const auto document = platform::decodeDocument(server(goodServer));
    const auto *announced = std::get_if<ServerAnnouncement>(&document);
    REQUIRE(announced);
    CHECK(announced->instance == "i-1");
    CHECK(announced->address == Address{ "10.0.0.9", 8080 });
    CHECK(announced->slots == 64);
    CHECK(announced->coldLeft == 250ms);
    CHECK(announced->startedAt == 1700000000000);
    CHECK_FALSE(announced->isLeaving);
}

TEST_CASE("an entry that cannot be used names no server")
{
    const std::vector<std::string> broken{
        "",
        "\xff\xfe",
        "[]",
        R"({"service":"s","addr":"10.0.0.9:8080","zone":"a","slots":64})",
        R"({"service":"s","addr":"nowhere","zone":"a","slots":64,"state":"ready"})",
        R"({"service":"s","addr":"10.0.0.9:80","zone":"a","slots":"many","state":"ready"})",
        R"({"service":"s","addr":"10.0.0.9:80","zone":"a","slots":-1,"state":"ready"})",
        R"({"service":"s","addr":"10.0.0.9:80","zone":"a","slots":1,"state":"asleep"})",
        R"({"service":7,"addr":"10.0.0.9:80","zone":"a","slots":1,"state":"ready"})",
        R"({"service":"s","addr":"10.0.0.9:80","zone":"a","slots":1,"state":"ready","born":1.5})",
    };
    for (const std::string &value : broken) {
        CAPTURE(value);
        const auto document = platform::decodeDocument(server(value));
        const auto *withdrawn = std::get_if<platform::ServerWithdrawn>(&document);
        REQUIRE(withdrawn);
        CHECK_FALSE(withdrawn->reason.empty());
    }
}

TEST_CASE("the configuration is read whole or refused with a numbered error")
{
    const std::string text =
        R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/p/","kind":"streaming",)"
        R"("timeout-ms":5000,"slo-ms":500,"priority":1,"split":[{"service":"x","weight":90},)"
        R"({"service":"y","weight":10}],"max-attempts":2,"no-auth":false,"affinity":true,)"
        R"("stream-resume":true,"gap-target-ms":300}],"services":[{"name":"x","max-conns":360,)"
        R"("engine":{"slots":64,"kv-capacity":456957,"stride":4}}],"limits":{"idle-timeout-ms":15000},)"
        R"("tenants":[{"name":"t","api-keys":["k1","k2"],"priority":1}]})";
    const auto document = platform::decodeDocument(PublishedItem{ "op/config", text, 3, false });
    const auto *found = std::get_if<std::shared_ptr<const RouteConfiguration>>(&document);
    REQUIRE(found);
    const RouteConfiguration &configuration = **found;
    CHECK(configuration.version == 7);
    REQUIRE(configuration.routes.size() == 1);
    CHECK(configuration.routes[0].isResumable);
    CHECK(configuration.routes[0].repeat == RepeatRule::Never);
    CHECK(configuration.routes[0].shares.size() == 2);
    CHECK(configuration.routes[0].pauseTarget == 300ms);
    CHECK(configuration.services[0].engine->memoryTokens == 456957);
    CHECK(configuration.limits.idleTimeout == 15s);
    CHECK(configuration.workspaceOfKey.size() == 2);
    const auto broken = platform::decodeDocument(
        PublishedItem{ "op/config", R"({"version":7,"routes":[{"host":"h"}]})", 3, false });
    REQUIRE(std::holds_alternative<Error>(broken));
    CHECK(std::get<Error>(broken).code == ResultCode::PlatformAnswerMalformed);
}

TEST_CASE("a kind of route that is not known may not be repeated")
{
    const std::string text = R"({"version":1,"routes":[{"host":"h","path-prefix":"/","kind":"new",)"
                             R"("service":"s"}],"services":[]})";
    const auto document = platform::decodeDocument(PublishedItem{ "op/config", text, 3, false });
    const auto &configuration = *std::get<std::shared_ptr<const RouteConfiguration>>(document);
    CHECK(configuration.routes[0].repeat == RepeatRule::Never);
    CHECK(configuration.routes[0].maxAttempts == 1);
}

TEST_CASE("listings and changes are read, items that cannot be decoded are left out")
{
    const auto page = platform::decodePage(
        R"({"items":[{"key":"a","value":"eA==","revision":5},{"key":"b","value":"?","revision":6},7],)"
        R"("has-more":true,"at":9})");
    REQUIRE_FALSE(isError(page));
    REQUIRE(value(page).items.size() == 1);
    CHECK(value(page).items[0].value == "x");
    CHECK(value(page).hasMore);
    CHECK(value(page).revision == 9);
    const auto changes = platform::decodeChanges(
        R"({"events":[{"key":"a","revision":12,"tombstone":true}],"at":12})");
    REQUIRE_FALSE(isError(changes));
    CHECK(value(changes).items[0].isRemoved);
    CHECK(isError(platform::decodePage("{}")));
    CHECK(isError(platform::decodeChanges("no JSON")));
}

TEST_CASE("a caller's headers are read, and those of the router's own are not passed on")
{
    const HttpHeaders headers{ { "Host", "h" },
                               { "X-Request-Id", "id-1" },
                               { "X-Timeout-Ms", "1500" },
                               { "Authorization", "Bearer the-key" },
                               { "X-Token-Counts", "1460,80" },
                               { "X-Prefix-Hash", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250" },
                               { "X-Tenant", "forged" },
                               { "X-Hold", "1" },
                               { "X-Expect-Instance", "i-9" },
                               { "Kv-From", "10.0.0.1:1/x" },
                               { "X-Model", "m" } };
    const CallArrived call = platform::readCallerHeaders(headers);
    CHECK(call.callerId == "id-1");
    CHECK(call.callerTimeout == 1500ms);
    CHECK(call.key == "the-key");
    CHECK(call.prompt.tokens == 1460);
    CHECK(call.prompt.maxAnswerTokens == 80);
    REQUIRE(call.prompt.segments.size() == 3);
    CHECK(call.prompt.segments[0].id == 0x5c1e07a2);
    CHECK(call.prompt.segments[1].tokens == 410);
    const HttpHeaders passed = platform::headersToForward(headers);
    std::vector<std::string> names;
    for (const HttpHeader &header : passed)
        names.push_back(header.name);
    CHECK(names
          == std::vector<std::string>{ "Host", "X-Request-Id", "X-Token-Counts", "X-Prefix-Hash",
                                       "X-Model" });
}

TEST_CASE("an attempt carries what is left of the time, the instance and the workspace")
{
    StartForward attempt;
    attempt.timeLeft = 1234ms;
    attempt.instance = "i-1";
    attempt.workspace = "mill";
    attempt.priority = 4;
    attempt.hasPriority = true;
    HttpHeaders headers;
    platform::addAttemptHeaders(headers, attempt, "17");
    CHECK(headerValue(headers, "X-Timeout-Ms") == "1234");
    CHECK(headerValue(headers, "X-Expect-Instance") == "i-1");
    CHECK(headerValue(headers, "X-Tenant") == "mill");
    CHECK(headerValue(headers, "X-Request-Priority") == "4");
    CHECK(headerValue(headers, "Last-Event-Id") == "17");
}
