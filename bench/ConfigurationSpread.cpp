/// @file
/// Compares the patch log with publication of the complete document, for a configuration with many
/// workspaces: bytes, calls and convergence time of one change, and its processor time.
///
/// usage: cmake --build build --target bench-ConfigurationSpread && build/bench-ConfigurationSpread

#define DOCTEST_CONFIG_IMPLEMENT
#include "../test/ConfigurationFleetFixture.h"
#include <currantreel/Peer>

namespace {

using namespace test;

constexpr int workspaceCount = 30'000;
constexpr std::size_t fleetSize = 60;

std::string largeDocument()
{
    std::string text = smallConfiguration;
    for (int i = 0; i < workspaceCount; ++i)
        text +=
            fmt::format("[[workspace]]\nname = \"workspace-{:06}\"\ndefault_class = \"lookup\"\n"
                        "share = 1.5\n",
                        i);
    return text;
}

/// Runs @p work and returns its wall-clock time.
template <typename Work>
std::chrono::microseconds measureTime(Work work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now()
                                                                 - start);
}

/// Cost of propagating one configuration change to a fleet.
struct PropagationCost
{
    Duration time{};
    std::size_t calls = 0;
    std::size_t bytes = 0; ///< Encoded size of the messages between hosts.
};

/// @param publish publishes version 2 at the platform.
template <typename Publish>
PropagationCost measurePropagation(const std::string &document, Publish publish)
{
    ConfigurationFleet fleet(fleetSize);
    fleet.platform.publishSnapshot(1, document);
    fleet.advance(20s);
    PropagationCost cost;
    fleet.onMessage = [&](const PeerMessage &message) {
        cost.bytes += encodeFrame(PeerFrame{ Incarnation{ 1 }, 1, message }).size();
    };
    publish(fleet.platform);
    const TimePoint start = fleet.now;
    const std::size_t callsBefore = fleet.calls;
    while (!fleet.haveVersion(2) && fleet.now < start + 60s)
        fleet.advance(fleet.tick);
    cost.time = fleet.now - start;
    cost.calls = fleet.calls - callsBefore;
    return cost;
}

void print(const char *name, const PropagationCost &cost)
{
    fmt::print("{}: in force on {} hosts after {} ms of virtual time, {} calls, {} bytes between "
               "hosts\n",
               name, fleetSize, toMilliseconds(cost.time), cost.calls, cost.bytes);
}

} // namespace

int main()
{
    const std::string document = largeDocument();
    const std::string patch = addWorkspace(1, "new", "one more");
    ConfigurationLog log;
    const auto installTime = measureTime([&] { (void)log.install(1, document); });
    std::string snapshot;
    const auto snapshotTime = measureTime([&] { snapshot = log.snapshot(); });
    std::vector<std::string> patches;
    constexpr std::uint64_t patchCount = 2'000;
    for (std::uint64_t i = 0; i < patchCount; ++i)
        patches.push_back(addWorkspace(i + 1, fmt::format("new-{}", i), "one more"));
    const auto applyTime = measureTime([&] {
        for (std::uint64_t i = 0; i < patchCount; ++i)
            log.append(i + 2, patches[i], TimePoint());
    });
    fmt::print("document {} bytes, snapshot {} bytes, patch {} bytes\n", document.size(),
               snapshot.size(), patch.size());
    fmt::print(
        "document parsed in {} us, serialized in {} us; patch validated and applied in {} us\n",
        installTime.count(), snapshotTime.count(),
        applyTime.count() / static_cast<long>(patchCount));
    print("patch log", measurePropagation(
                           document, [&](FakePlatform &platform) { platform.publish(2, patch); }));
    print("complete document", measurePropagation(document, [&](FakePlatform &platform) {
              platform.publishSnapshot(2, document
                                              + "[[workspace]]\nname = \"new\"\n"
                                                "default_class = \"gate\"\n");
          }));
    return 0;
}
