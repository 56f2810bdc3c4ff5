#ifndef CURRANTREEL_TEST_CONFIGURATIONFLEETFIXTURE_H
#define CURRANTREEL_TEST_CONFIGURATIONFLEETFIXTURE_H

#include "WorldFixture.h"
#include <currantreel/src/World/ConfigurationSystem.h>
#include <currantreel/src/World/Timing.h>
#include <fmt/format.h>
#include <functional>
#include <map>

namespace test {

/// A platform in memory. What a fleet reads from it is counted.
struct FakePlatform
{
    enum class Mode { Up, Down, Stale };

    void publish(std::uint64_t number, const std::string &patch)
    {
        values[fmt::format("patch/{}", number)] = patch;
        position = number;
    }
    /// @param partBytes size of each part but the last.
    void publishSnapshot(std::uint64_t number, const std::string &text,
                         std::size_t partBytes = largestValueBytes)
    {
        chunks = 0;
        for (std::size_t at = 0; at < text.size(); at += partBytes)
            values[fmt::format("snapshot/{}/{}", number, chunks++)] = text.substr(at, partBytes);
        position = number;
        snapshot = number;
    }
    [[nodiscard]] std::string head() const
    {
        return fmt::format(R"({{"version":{},"snapshot":{},"parts":{}}})",
                           mode == Mode::Stale ? stalePosition : position, snapshot, chunks);
    }
    [[nodiscard]] PlatformValue read(const std::string &path) const
    {
        if (path == "head")
            return { path, 200, head() };
        const auto value = values.find(path);
        return value == values.end() ? PlatformValue{ path, 404, "" }
                                     : PlatformValue{ path, 200, value->second };
    }

    Mode mode = Mode::Up;
    std::map<std::string, std::string> values;
    std::uint64_t position = 0;
    std::uint64_t stalePosition = 0;
    std::uint64_t snapshot = 0;
    std::size_t chunks = 0;
};

/// Many hosts, of which only the configuration lives, under one virtual clock.
struct ConfigurationFleet
{
    /// A message on its way.
    struct Envelope
    {
        HostId from;
        PeerMessage message;
    };

    struct Host
    {
        explicit Host(const HostIdentity &self) : system(self) { context.self = self; }

        StepContext context;
        ConfigurationSystem system;
        bool isWatching = false;
        std::uint64_t watchAfter = 0;
        TimePoint watchEnds;
        std::vector<Event> events;
        std::vector<Envelope> inbox;
        std::size_t refusals = 0;
    };

    explicit ConfigurationFleet(std::size_t size)
        : tick(size > coarseSize ? coarseTick : Duration(timing::tickInterval))
    {
        for (std::size_t i = 0; i < size; ++i)
            addHost();
        platform.publishSnapshot(1, smallConfiguration);
    }

    void addHost()
    {
        const std::string name = fmt::format("host-{}", hosts.size());
        HostEntry entry;
        entry.id = HostId::ofName(name);
        entry.name = name;
        entry.failureDomain = FailureDomainId{ 1 + hosts.size() % domains };
        list.hosts.push_back(entry);
        index[entry.id] = hosts.size();
        hosts.push_back(std::make_unique<Host>(
            HostIdentity{ entry.id, name, entry.failureDomain, Incarnation{ 1U << 20U } }));
    }

    void advance(Duration time)
    {
        const TimePoint end = now + time;
        while (now < end) {
            now += tick;
            for (auto &host : hosts)
                step(*host);
            for (auto &host : hosts)
                deliver(*host);
        }
    }

    void step(Host &host)
    {
        host.context.now = now;
        for (const Envelope &envelope : std::exchange(host.inbox, {}))
            std::visit(
                [&](const auto &one) {
                    if constexpr (requires {
                                      host.system.receive(host.context, envelope.from, one);
                                  })
                        host.system.receive(host.context, envelope.from, one);
                },
                envelope.message);
        answerWatch(host);
        for (const Event &event : std::exchange(host.events, {})) {
            if (const auto *value = std::get_if<PlatformValue>(&event))
                host.system.onValue(host.context, *value);
            if (const auto *failure = std::get_if<PlatformUnreachable>(&event))
                host.system.onUnreachable(host.context, *failure);
            if (const auto *read = std::get_if<HostListRead>(&event)) {
                for (const HostEntry &entry : read->hosts) {
                    // As in the world, a host does not stand in its own table of peers.
                    if (entry.id != host.context.self.id)
                        host.context.hosts.insert(entry);
                }
                host.system.onHostList(host.context, *read);
            }
        }
        host.system.run(host.context);
        for (const Effect &effect : std::exchange(host.context.effects, {}))
            std::visit([&](const auto &one) { carryOut(host, one); }, effect);
    }

    void carryOut(Host &host, const ReadPlatform &read)
    {
        ++calls;
        host.events.push_back(reaches(host) ? Event(platform.read(read.path))
                                            : Event(PlatformUnreachable{ read.path }));
    }
    void carryOut(Host &host, const ReadHostList & /*read*/)
    {
        ++calls;
        host.events.push_back(reaches(host) ? Event(list) : Event(PlatformUnreachable{ "hosts" }));
    }
    void carryOut(Host &host, const WatchPlatform &watch)
    {
        ++calls;
        host.isWatching = true;
        host.watchAfter = watch.after;
        host.watchEnds = now + 5s;
    }
    static void carryOut(Host &host, const PatchRefused & /*effect*/) { ++host.refusals; }
    template <typename T>
    static void carryOut(Host & /*host*/, const T & /*effect*/)
    {
    }

    void answerWatch(Host &host)
    {
        if (!host.isWatching)
            return;
        const std::uint64_t shown =
            platform.mode == FakePlatform::Mode::Stale ? platform.stalePosition : platform.position;
        if (!reaches(host))
            host.events.push_back(PlatformUnreachable{ "head" });
        else if (shown > host.watchAfter)
            host.events.push_back(platform.read("head"));
        else if (now >= host.watchEnds)
            host.events.push_back(PlatformValue{ "head", 304, "" });
        else
            return;
        host.isWatching = false;
    }

    [[nodiscard]] bool reaches(const Host &host) const
    {
        return platform.mode != FakePlatform::Mode::Down
               && !isCutFromPlatform(host.context.self.failureDomain);
    }

    void deliver(Host &host)
    {
        for (OutgoingMessage &outgoing : std::exchange(host.context.outbox, {})) {
            Host &to = *hosts[index.at(outgoing.to)];
            const bool isCut =
                isCutLink(host.context.self.failureDomain, to.context.self.failureDomain);
            if (isCut)
                continue;
            if (onMessage)
                onMessage(outgoing.message);
            to.inbox.push_back({ host.context.self.id, std::move(outgoing.message) });
        }
    }

    /// Whether every host that @p predicate selects has @p version in force.
    [[nodiscard]] bool haveVersion(
        std::uint64_t version, const std::function<bool(const Host &)> &predicate =
                                   [](const Host &) { return true; }) const
    {
        return std::all_of(hosts.begin(), hosts.end(), [&](const auto &host) {
            return !predicate(*host) || host->context.configuration->version == version;
        });
    }

    [[nodiscard]] bool areCaughtUp() const
    {
        return std::all_of(hosts.begin(), hosts.end(),
                           [](const auto &host) { return host->system.isCaughtUp(); });
    }

    static constexpr std::size_t domains = 3;
    /// Large fleets run with a coarser tick, which makes them slower than real ones.
    static constexpr std::size_t coarseSize = 100;
    static constexpr Duration coarseTick = 100ms;

    Duration tick;

    TimePoint now = TimePoint(Duration(10s));
    FakePlatform platform;
    HostListRead list;
    std::vector<std::unique_ptr<Host>> hosts;
    std::map<HostId, std::size_t> index;
    std::size_t calls = 0;
    std::function<void(const PeerMessage &)> onMessage; ///< Sees each message delivered.
    std::function<bool(FailureDomainId)> isCutFromPlatform = [](FailureDomainId) { return false; };
    std::function<bool(FailureDomainId, FailureDomainId)> isCutLink =
        [](FailureDomainId, FailureDomainId) { return false; };
};

/// Patch on @p base that adds a workspace.
inline std::string addWorkspace(std::uint64_t base, const std::string &name,
                                const std::string &padding = "")
{
    return fmt::format("schema = 1\nbase = {}\nauthor = \"ayse\"\nreason = \"{}\"\n"
                       "[[workspace]]\nname = \"{}\"\ndefault_class = \"gate\"\n",
                       base, padding, name);
}

} // namespace test

#endif
