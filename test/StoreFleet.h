#ifndef CURRANTREEL_TEST_STOREFLEET_H
#define CURRANTREEL_TEST_STOREFLEET_H

#include <algorithm>
#include <currantreel/Fleet>
#include <currantreel/src/Published/PublishedReader.h>
#include <map>
#include <memory>
#include <optional>

namespace test {

using namespace currantreel;
using namespace std::chrono_literals;

/// The platform's store, which can be restored from an older copy of its items.
struct StoreModel
{
    void write(const std::string &key, const std::string &value)
    {
        revision = PublishedRevision(revision.number + 1, revision.era);
        items[key] = PublishedItem{ key, value, revision, false };
        history.push_back(items[key]);
    }

    void remove(const std::string &key)
    {
        revision = PublishedRevision(revision.number + 1, revision.era);
        items.erase(key);
        history.push_back(PublishedItem{ key, {}, revision, true });
    }

    void restore(const StoreModel &copy)
    {
        const std::uint32_t era = revision.era + 1;
        *this = copy;
        revision.era = era;
        for (auto &[key, item] : items)
            item.revision.era = era;
        for (PublishedItem &change : history)
            change.revision.era = era;
    }

    /// Changes up to now can no longer be watched.
    void discardHistory()
    {
        history.clear();
        historyBegin = revision;
    }

    PublishedRevision revision{ 100 };
    PublishedRevision historyBegin; ///< After which `history` is complete.
    std::map<std::string, PublishedItem> items;
    std::vector<PublishedItem> history;
};

/// What a host of a version without eras sends, reads and understands: the numbers alone.
struct WithoutEra
{
    static void strip(PublishedRevision &revision) { revision.era = 0; }
    static void strip(FleetUpdate &update) { strip(update.revision); }
    static void strip(PublishedRequest &request)
    {
        strip(request.revision);
        request.knowsEras = false;
    }
    static void strip(PublishedUpdate &update)
    {
        strip(update.after);
        strip(update.revision);
        strip(update.items);
        update.isWhole = false;
        update.removals = {};
        update.removals.currentAt = {};
    }
    static void strip(std::vector<PublishedItem> &items)
    {
        for (PublishedItem &item : items)
            strip(item.revision);
    }
};

/// Hosts, each with a reader of one store, on a common virtual clock.
class StoreFleet
{
public:
    static constexpr std::size_t itemsPerPage = 2;

    /// Records the call that is in progress.
    struct Source
    {
        void list(const std::string &afterKey, Duration timeout)
        {
            call = Call{ true, afterKey, 0, timeout };
            ++lists;
        }
        void watch(std::uint64_t revision, Duration wait, Duration /*timeout*/)
        {
            call = Call{ false, {}, revision, wait };
        }

        struct Call
        {
            bool isList = false;
            std::string afterKey;
            std::uint64_t after = 0;
            Duration wait{};
        };
        std::optional<Call> call;
        TimePoint calledAt;
        std::size_t lists = 0;
    };

    struct Host
    {
        Host(const Address &address, std::uint64_t seed)
            : fleet(address, 1, seed), reader(source, state, PublishedReaderTiming{})
        {
        }

        Source source;
        PublishedState state;
        FleetSystem fleet;
        PublishedReader<Source> reader;
        FleetHost self;
        std::map<std::string, std::string> inUse; ///< What took effect, by key.
        bool isOld = false; ///< Knows of no eras.
        bool isCut = false; ///< From the store.
        bool isAlone = false; ///< Cut from the other hosts.
        bool isDown = false; ///< Its process has ended, or stands still.
        bool isStarted = false;
        std::size_t itemsReceived = 0; ///< In the largest message of another host.
    };

    StoreFleet(std::size_t count, std::uint64_t seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            addresses.push_back(Address{ "10.0.0." + std::to_string(i + 1), 7000 });
            hosts.push_back(std::make_unique<Host>(addresses[i], seed * count + i));
            hosts[i]->fleet.setSeeds({ addresses.begin(), addresses.begin() + 1 });
            hosts[i]->self.reachesPlatform = true;
        }
    }

    void advance(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += 25ms) {
            for (auto &host : hosts) {
                if (host->isDown)
                    continue;
                if (std::exchange(host->isStarted, true))
                    answer(*host);
                else
                    host->reader.start(now); // answered in the next step
                const bool mustWatch = host->fleet.mustWatchPlatform(now);
                host->reader.setWatching(now, mustWatch);
                if (host->fleet.mustCheckPlatform(now, host->state))
                    host->reader.check(now);
                host->reader.run(now);
                use(*host, host->state.takeDueRemovals(now));
                send(*host);
            }
        }
    }

    /// Ends the process of @p host and starts the next one.
    void restart(std::size_t host)
    {
        const FleetHost self = hosts[host]->self;
        hosts[host] = std::make_unique<Host>(addresses[host], host + 1'000);
        hosts[host]->fleet.setSeeds(addresses);
        hosts[host]->self = self;
    }

    /// Hosts at which @p key has @p value; an empty one stands for a key that is not in use.
    [[nodiscard]] std::size_t having(const std::string &key, const std::string &value) const
    {
        return static_cast<std::size_t>(
            std::count_if(hosts.begin(), hosts.end(), [&](const auto &host) {
                const auto found = host->inUse.find(key);
                return (found == host->inUse.end() ? "" : found->second) == value;
            }));
    }

    StoreModel store;
    std::vector<Address> addresses;
    std::vector<std::unique_ptr<Host>> hosts;
    TimePoint now{ 1h };

private:
    static void use(Host &host, const std::vector<PublishedItem> &changes)
    {
        for (const PublishedItem &item : changes) {
            if (item.isRemoved)
                host.inUse.erase(item.key);
            else
                host.inUse[item.key] = item.value;
        }
    }

    void answer(Host &host)
    {
        if (!host.source.call)
            return;
        const Source::Call call = *host.source.call;
        if (host.isCut) {
            host.source.call.reset();
            host.reader.onFailed(now, ReadFailure::NoAnswer);
        } else if (call.isList) {
            host.source.call.reset();
            answerList(host, call);
        } else {
            answerWatch(host, call);
        }
    }

    void answerList(Host &host, const Source::Call &call)
    {
        PublishedPage page;
        page.revision = store.revision;
        auto item = store.items.upper_bound(call.afterKey);
        for (; item != store.items.end() && page.items.size() < itemsPerPage; ++item)
            page.items.push_back(item->second);
        page.hasMore = item != store.items.end();
        page.lastKey = page.items.empty() ? "" : page.items.back().key;
        if (host.isOld) {
            WithoutEra::strip(page.revision);
            WithoutEra::strip(page.items);
        }
        use(host, host.reader.onPage(now, page));
    }

    void answerWatch(Host &host, const Source::Call &call)
    {
        PublishedChanges changes;
        changes.revision = store.revision;
        for (const PublishedItem &change : store.history) {
            if (change.revision.number > call.after)
                changes.items.push_back(change);
        }
        const bool isGone =
            call.after > store.revision.number || call.after < store.historyBegin.number;
        if (!isGone && changes.items.empty() && call.wait > Duration::zero()) {
            host.source.call->wait -= 25ms;
            return;
        }
        host.source.call.reset();
        if (host.isOld) {
            WithoutEra::strip(changes.revision);
            WithoutEra::strip(changes.items);
        }
        if (isGone)
            host.reader.onFailed(now, ReadFailure::HistoryLost);
        else
            use(host, host.reader.onChanges(now, changes));
    }

    void send(Host &from)
    {
        for (OutgoingFleetMessage &outgoing : from.fleet.run(now, from.self, from.state)) {
            const auto to = std::find(addresses.begin(), addresses.end(), outgoing.address);
            Host &receiver = *hosts[static_cast<std::size_t>(to - addresses.begin())];
            if (from.isAlone || receiver.isAlone || receiver.isDown)
                continue;
            const HostId sender = FleetSystem::idOf(addresses[static_cast<std::size_t>(
                std::find_if(hosts.begin(), hosts.end(),
                             [&](const auto &host) { return host.get() == &from; })
                - hosts.begin())]);
            std::visit(
                [&](auto &message) {
                    if (from.isOld || receiver.isOld)
                        WithoutEra::strip(message);
                    deliver(receiver, sender, message);
                },
                outgoing.message);
        }
    }

    void deliver(Host &host, HostId from, const FleetUpdate &update)
    {
        host.fleet.receive(now, from, update, host.state);
    }
    void deliver(Host &host, HostId from, const PublishedRequest &request)
    {
        host.fleet.receive(now, from, request, host.state);
    }
    void deliver(Host &host, HostId from, const PublishedUpdate &update)
    {
        host.itemsReceived = std::max(host.itemsReceived, update.items.size());
        use(host, host.fleet.receive(now, from, update, host.state));
    }
};

} // namespace test

#endif
