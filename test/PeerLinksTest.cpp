#include "BlackholeRelay.h"
#include <currantreel/src/Shell/PeerLinks.h>
#include <currantreel/src/Shell/SteadyNow.h>
#include <doctest/doctest.h>
#include <unistd.h>

using namespace currantreel;
using namespace std::chrono_literals;

namespace {

/// Loopback number of this test's own, so that runs at the same time do not meet.
std::string loopback()
{
    const int pid = getpid();
    return "127." + std::to_string(20 + pid % 200) + "." + std::to_string(1 + pid / 200 % 250)
           + ".1";
}

/// One end with its own settings on a shared loop.
struct End
{
    End(event_base *base, const std::string &name, std::uint16_t port, const std::string &secret)
        : log(name, 1)
    {
        settings.name = name;
        settings.peers = Address{ loopback(), port };
        settings.clusterSecret = secret;
        links = std::make_unique<PeerLinks>(
            base, settings,
            LinkIdentity{ HostId::ofName(name), Incarnation{ port }, settings.clusterSecret }, log,
            [this](HostId host) { return host == known; },
            [this](Event event) { received.push_back(std::move(event)); });
        REQUIRE(links->listen());
    }

    [[nodiscard]] HostId id() const { return HostId::ofName(settings.name); }

    HostSettings settings;
    Log log;
    HostId known;
    std::vector<Event> received;
    std::unique_ptr<PeerLinks> links;
};

/// Runs the loop until @p condition holds or 10 s have passed.
template <typename Condition>
bool runUntil(event_base *base, Condition condition)
{
    const TimePoint end = steadyNow() + 10s;
    while (!condition() && steadyNow() < end) {
        const timeval step = toTimeval(10ms);
        event_base_loopexit(base, &step);
        event_base_dispatch(base);
    }
    return condition();
}

GrantWithdrawn messageOf(std::uint64_t request)
{
    return GrantWithdrawn{ GrantId{ HostId{ 1 }, RequestId{ request } } };
}

} // namespace

TEST_CASE("messages sent before the link is ready arrive in order, and answers use the same link")
{
    const EventBaseHandle base(event_base_new());
    End one(base.get(), "one", 7101, "a secret of the cluster");
    End two(base.get(), "two", 7102, "a secret of the cluster");
    one.known = two.id();
    two.known = one.id();
    for (std::uint64_t i = 1; i <= 100; ++i)
        one.links->send(two.id(), two.settings.peers, messageOf(i));
    REQUIRE(runUntil(base.get(), [&] { return two.received.size() == 100; }));
    for (std::uint64_t i = 1; i <= 100; ++i) {
        const auto &event = std::get<PeerMessageReceived>(two.received[i - 1]);
        CHECK(event.from == one.id());
        CHECK(std::get<GrantWithdrawn>(event.message).id.request == RequestId{ i });
    }
    two.links->send(one.id(), one.settings.peers, messageOf(7));
    REQUIRE(runUntil(base.get(), [&] { return one.received.size() == 1; }));
    CHECK(one.links->counters().linksOpened == 1);
    CHECK(two.links->counters().linksOpened == 1);
}

TEST_CASE("a host with another secret is refused and counted")
{
    const EventBaseHandle base(event_base_new());
    End one(base.get(), "one", 7103, "a secret of the cluster");
    End two(base.get(), "two", 7104, "some other secret string");
    one.known = two.id();
    two.known = one.id();
    one.links->send(two.id(), two.settings.peers, messageOf(1));
    REQUIRE(runUntil(base.get(), [&] {
        return one.links->counters().linksRefused + two.links->counters().linksRefused > 0;
    }));
    CHECK(two.received.empty());
    CHECK(one.links->counters().linksOpened == 0);
}

TEST_CASE("a host which is not in the list is refused and counted")
{
    const EventBaseHandle base(event_base_new());
    End one(base.get(), "one", 7105, "a secret of the cluster");
    End two(base.get(), "two", 7106, "a secret of the cluster");
    one.known = two.id();
    one.links->send(two.id(), two.settings.peers, messageOf(1));
    REQUIRE(runUntil(base.get(), [&] { return two.links->counters().linksRefused > 0; }));
    CHECK(two.received.empty());
}

TEST_CASE("what is not a frame ends the link")
{
    const EventBaseHandle base(event_base_new());
    End one(base.get(), "one", 7107, "a secret of the cluster");
    const StreamHandle stream(bufferevent_socket_new(base.get(), -1, BEV_OPT_CLOSE_ON_FREE));
    sockaddr_storage address{};
    int length = sizeof(address);
    const std::string text = loopback() + ":7107";
    evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr *>(&address), &length);
    bufferevent_socket_connect(stream.get(), reinterpret_cast<sockaddr *>(&address), length);
    const std::string noise = "GET / HTTP/1.1\r\n\r\n";
    bufferevent_write(stream.get(), noise.data(), noise.size());
    REQUIRE(runUntil(base.get(), [&] { return one.links->counters().linksRefused == 1; }));
    REQUIRE(runUntil(base.get(), [&] { return one.links->links() == 0; }));
}

TEST_CASE("a peer that is down is dialled again, and waiting messages are bounded")
{
    const EventBaseHandle base(event_base_new());
    End one(base.get(), "one", 7108, "a secret of the cluster");
    const HostId two = HostId::ofName("two");
    one.known = two;
    for (std::uint64_t i = 1; i <= 300; ++i)
        one.links->send(two, Address{ loopback(), 7109 }, messageOf(i));
    CHECK(one.links->counters().messagesDropped == 300 - 256);
    End late(base.get(), "two", 7109, "a secret of the cluster");
    late.known = one.id();
    REQUIRE(runUntil(base.get(), [&] { return late.received.size() == 256; }));
}

TEST_CASE("a link that falls silent is replaced by a new connection")
{
    const EventBaseHandle base(event_base_new());
    End one(base.get(), "one", 7110, "a secret of the cluster");
    End two(base.get(), "two", 7111, "a secret of the cluster");
    one.known = two.id();
    two.known = one.id();
    test::BlackholeRelay relay(base.get(), loopback() + ":7112", loopback() + ":7111");
    const Address between{ loopback(), 7112 };
    one.links->send(two.id(), between, messageOf(1));
    REQUIRE(runUntil(base.get(), [&] { return two.received.size() == 1; }));
    relay.blackholeConnections();
    one.links->send(two.id(), between, messageOf(2));
    REQUIRE(runUntil(base.get(), [&] { return one.links->counters().linksReplaced == 1; }));
    REQUIRE(runUntil(base.get(), [&] { return one.links->counters().linksOpened == 2; }));
    one.links->send(two.id(), between, messageOf(3));
    REQUIRE(runUntil(base.get(), [&] { return two.received.size() == 2; }));
    const auto &event = std::get<PeerMessageReceived>(two.received.back());
    CHECK(std::get<GrantWithdrawn>(event.message).id.request == RequestId{ 3 });
}

TEST_CASE("an ordered reconnect takes over from the link in use")
{
    const EventBaseHandle base(event_base_new());
    End one(base.get(), "one", 7113, "a secret of the cluster");
    End two(base.get(), "two", 7114, "a secret of the cluster");
    one.known = two.id();
    two.known = one.id();
    one.links->send(two.id(), two.settings.peers, messageOf(1));
    REQUIRE(runUntil(base.get(), [&] { return two.received.size() == 1; }));
    one.links->reconnect(two.id(), two.settings.peers);
    REQUIRE(runUntil(base.get(), [&] { return one.links->counters().linksOpened == 2; }));
    one.links->send(two.id(), two.settings.peers, messageOf(2));
    REQUIRE(runUntil(base.get(), [&] { return two.received.size() == 2; }));
}
