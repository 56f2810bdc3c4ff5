#include <currantreel/Forward>
#include <currantreel/src/Forward/PublishedReader.h>
#include <doctest/doctest.h>

using namespace currantreel;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{ 1h };

PublishedItem item(const std::string &key, std::uint64_t revision, bool isRemoved = false)
{
    return PublishedItem{ key, "value of " + std::to_string(revision), revision, isRemoved };
}

/// Notes the calls and answers none.
struct SourceFake
{
    void list(const std::string &afterKey, Duration /*silence*/)
    {
        calls.push_back("list " + afterKey);
    }
    void watch(std::uint64_t revision, Duration /*wait*/, Duration /*silence*/)
    {
        calls.push_back("watch " + std::to_string(revision));
    }

    std::vector<std::string> calls;
};

struct ReaderFixture
{
    ReaderFixture() : reader(source, state, PublishedReaderTiming{}) { reader.start(start); }

    void readAll(std::vector<PublishedItem> items, std::uint64_t revision)
    {
        reader.onPage(start, PublishedPage{ std::move(items), revision, false });
    }

    SourceFake source;
    PublishedState state;
    PublishedReader<SourceFake> reader;
};

} // namespace

TEST_CASE("the highest revision of a key counts, whatever the order of arrival")
{
    PublishedState state;
    CHECK(state.apply(start, { item("a", 5) }).size() == 1);
    CHECK(state.apply(start, { item("a", 4) }).empty());
    CHECK(state.apply(start, { item("a", 5) }).empty());
    CHECK(state.apply(start, { item("a", 6, true) }).size() == 1);
    CHECK(state.apply(start, { item("a", 5) }).empty());
    CHECK(state.revision() == 6);
}

TEST_CASE("a listing removes what it lacks, unless that changed later")
{
    PublishedState state;
    state.apply(start, { item("a", 1), item("b", 2), item("c", 9) });
    const auto news = state.replace(start, "", { item("a", 1) }, 5);
    REQUIRE(news.size() == 1);
    CHECK(news[0].key == "b");
    CHECK(news[0].isRemoved);
}

TEST_CASE("removals after an outage wait for their writers, and a renewal undoes them")
{
    PublishedState state;
    state.apply(start, { item("a", 1), item("b", 2) });
    state.holdRemovals(start + 2s);
    CHECK(state.apply(start, { item("a", 3, true), item("b", 4, true) }).empty());
    CHECK(state.apply(start + 1s, { item("a", 5) }).size() == 1);
    CHECK(state.takeDueRemovals(start + 1s).empty());
    const auto due = state.takeDueRemovals(start + 2s);
    REQUIRE(due.size() == 1);
    CHECK(due[0].key == "b");
}

TEST_CASE("changes for a host that is behind are those above its revision")
{
    PublishedState state;
    state.apply(start, { item("a", 1), item("b", 2), item("c", 3, true) });
    CHECK(state.changesAfter(1).size() == 2);
    CHECK(state.changesAfter(3).empty());
}

TEST_CASE("a reader lists page by page, then watches from the first page's revision")
{
    ReaderFixture fixture;
    fixture.reader.onPage(start, PublishedPage{ { item("a", 1) }, 10, true });
    fixture.reader.onPage(start, PublishedPage{ { item("b", 2) }, 12, false });
    CHECK(fixture.source.calls == std::vector<std::string>{ "list ", "list a", "watch 10" });
    CHECK(fixture.reader.isComplete());
    CHECK(fixture.state.size() == 2);
}

TEST_CASE(
    "a reader that leaves the reading to others asks nothing, and goes on from what they told")
{
    ReaderFixture fixture;
    fixture.readAll({ item("a", 1) }, 10);
    fixture.reader.setWatching(start, false);
    const std::size_t calls = fixture.source.calls.size();
    fixture.reader.onChanges(start, PublishedChanges{ {}, 11 });
    fixture.reader.run(start + 1s);
    CHECK(fixture.source.calls.size() == calls);
    CHECK_FALSE(fixture.reader.isActive());
    fixture.state.apply(start + 1s, { item("a", 14) });
    fixture.reader.setWatching(start + 2s, true);
    fixture.reader.run(start + 2s);
    CHECK(fixture.source.calls.back() == "watch 14");
}

TEST_CASE("changes in a row come with few calls")
{
    ReaderFixture fixture;
    fixture.readAll({ item("a", 1) }, 10);
    const std::size_t calls = fixture.source.calls.size();
    std::uint64_t revision = 10;
    for (TimePoint now = start + 10s; now < start + 11s; now += 10ms) {
        if (fixture.source.calls.size() > calls + (revision - 10)) {
            ++revision;
            fixture.reader.onChanges(now, PublishedChanges{ { item("a", revision) }, revision });
        }
        fixture.reader.run(now);
    }
    CHECK(fixture.source.calls.size() - calls <= 8);
}

TEST_CASE("a removal that waits is told to other hosts only once it counts here")
{
    PublishedState state;
    state.apply(start, { item("a", 1), item("b", 2) });
    state.holdRemovals(start + 2s);
    state.apply(start, { item("a", 3, true), item("c", 4) });
    CHECK(state.sharedRevision() == 2);
    CHECK(state.changesAfter(2).empty());
    state.takeDueRemovals(start + 3s);
    CHECK(state.sharedRevision() == 4);
    CHECK(state.changesAfter(2).size() == 2);
}

TEST_CASE("a reader whose history is lost reads everything again")
{
    ReaderFixture fixture;
    fixture.readAll({ item("a", 1) }, 10);
    fixture.reader.onFailed(start, ReadFailure::HistoryLost);
    CHECK(fixture.source.calls.back() == "list ");
}

TEST_CASE("a reader without an answer tries again from where it was, less and less often")
{
    ReaderFixture fixture;
    fixture.readAll({ item("a", 1) }, 10);
    fixture.reader.onChanges(start, PublishedChanges{ { item("a", 12) }, 12 });
    TimePoint now = start;
    for (int failures = 0; failures < 3; ++failures) {
        const std::size_t calls = fixture.source.calls.size();
        fixture.reader.onFailed(now, ReadFailure::NoAnswer);
        fixture.reader.run(now);
        CHECK(fixture.source.calls.size() == calls);
        now += 800ms;
        fixture.reader.run(now);
        CHECK(fixture.source.calls.back() == "watch 12");
    }
}

TEST_CASE("entries that are missing after an outage are kept for the time that renewals take")
{
    ReaderFixture fixture;
    fixture.readAll({ item("a", 1), item("b", 2) }, 10);
    fixture.reader.onFailed(start + 100ms, ReadFailure::NoAnswer);
    const TimePoint back = start + 5s;
    fixture.reader.run(back);
    CHECK(fixture.reader.onChanges(back, PublishedChanges{ { item("a", 20, true) }, 20 }).empty());
    CHECK(fixture.state.takeDueRemovals(back + 1600ms).empty());
    // A server that leaves right after the outage gets nothing new 2 s after its entry was removed.
    CHECK(fixture.state.takeDueRemovals(back + 1900ms).size() == 1);
}

TEST_CASE("one call without an answer is no outage: a removal counts at once")
{
    ReaderFixture fixture;
    fixture.readAll({ item("a", 1), item("b", 2) }, 10);
    // The watch before waited long for a change, then its connection went silent.
    const TimePoint silent = start + 1800ms;
    fixture.reader.onFailed(silent, ReadFailure::NoAnswer);
    const TimePoint back = silent + 110ms;
    fixture.reader.run(back);
    CHECK(fixture.reader.onChanges(back, PublishedChanges{ { item("a", 20, true) }, 20 }).size()
          == 1);
}
