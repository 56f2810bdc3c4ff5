/// @file
/// Measures the patch log against whole-document publication: bytes, calls, time to converge, and the
/// processor time of one change, at many workspaces.
///
/// usage: cmake --build build --target bench-ConfigurationSpread && build/bench-ConfigurationSpread

#define DOCTEST_CONFIG_IMPLEMENT
#include "../test/ConfigurationFleetFixture.h"
#include <currantreel/Peer>

namespace {

using namespace test;

constexpr int workspaces = 30'000;
constexpr std::size_t fleetSize = 60;

std::string largeDocument()
{
    std::string text = smallConfiguration;
    for (int i = 0; i < workspaces; ++i)
        text +=
            fmt::format("[[workspace]]\nname = \"workspace-{:06}\"\ndefault_class = \"lookup\"\n"
                        "share = 1.5\n",
                        i);
    return text;
}

/// Runs @p work and returns how long it took.
template <typename Work>
std::chrono::microseconds timeOf(Work work)
{
    const auto begin = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now()
                                                                 - begin);
}

/// What one change costs a fleet.
struct Spread
{
    Duration time{};
    std::size_t calls = 0;
    std::size_t bytes = 0; ///< Of messages between hosts, as encoded.
};

/// @param publish makes version 2 known to the platform.
template <typename Publish>
Spread measure(const std::string &document, Publish publish)
{
    ConfigurationFleet fleet(fleetSize);
    fleet.platform.publishSnapshot(1, document);
    fleet.advance(20s);
    Spread spread;
    fleet.onMessage = [&](const PeerMessage &message) {
        spread.bytes += encodeFrame(PeerFrame{ Incarnation{ 1 }, 1, message }).size();
    };
    publish(fleet.platform);
    const TimePoint begin = fleet.now;
    const std::size_t callsBefore = fleet.calls;
    while (!fleet.haveVersion(2) && fleet.now < begin + 60s)
        fleet.advance(fleet.tick);
    spread.time = fleet.now - begin;
    spread.calls = fleet.calls - callsBefore;
    return spread;
}

void print(const char *name, const Spread &spread)
{
    fmt::print("{}: in force on {} hosts after {} ms of virtual time, {} calls, {} bytes between "
               "hosts\n",
               name, fleetSize, toMilliseconds(spread.time), spread.calls, spread.bytes);
}

} // namespace

int main()
{
    const std::string document = largeDocument();
    const std::string patch = addWorkspace(1, "new", "one more");
    ConfigurationLog log;
    const auto install = timeOf([&] { (void)log.install(1, document); });
    std::string snapshot;
    const auto write = timeOf([&] { snapshot = log.snapshot(); });
    std::vector<std::string> patches;
    constexpr std::uint64_t count = 2'000;
    for (std::uint64_t i = 0; i < count; ++i)
        patches.push_back(addWorkspace(i + 1, fmt::format("new-{}", i), "one more"));
    const auto apply = timeOf([&] {
        for (std::uint64_t i = 0; i < count; ++i)
            log.append(i + 2, patches[i], TimePoint());
    });
    fmt::print("document {} bytes, snapshot {} bytes, patch {} bytes\n", document.size(),
               snapshot.size(), patch.size());
    fmt::print("document read in {} us, written in {} us; patch judged and applied in {} us\n",
               install.count(), write.count(), apply.count() / static_cast<long>(count));
    print("patch log",
          measure(document, [&](FakePlatform &platform) { platform.publish(2, patch); }));
    print("whole document", measure(document, [&](FakePlatform &platform) {
              platform.publishSnapshot(2, document
                                              + "[[workspace]]\nname = \"new\"\n"
                                                "default_class = \"gate\"\n");
          }));
    return 0;
}
