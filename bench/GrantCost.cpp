/// @file
/// Measures the cost of a grant decision as a function of the number of queued requests, and the
/// cost of an idle tick. Prints microseconds and ratios; there is no pass criterion.

#include <chrono>
#include <currantreel/World>
#include <currantreel/src/Ownership/Targets.h>
#include <fmt/format.h>
#include <random>

using namespace currantreel;

namespace {

constexpr std::uint32_t requestsPerTarget = 9'000;
constexpr std::uint32_t workspaceCount = 1'000;
constexpr std::uint32_t idleServerCount = 12'000;
constexpr std::uint32_t decisionCount = 100'000;
constexpr std::uint32_t idleTickCount = 100'000;

BackendServer makeEngine(std::uint32_t number, ModelId model, FailureDomainId domain)
{
    BackendServer server;
    server.id = BackendServerId::ofName(fmt::format("engine-{}", number));
    server.failureDomain = domain;
    server.models = { model };
    server.slots = 8;
    return server;
}

/// Owner with a given number of queued requests.
class OwnerWithQueue
{
public:
    explicit OwnerWithQueue(std::uint32_t queued)
        : m_targets((queued + requestsPerTarget - 1) / requestsPerTarget)
    {
        m_context.self.id = HostId::ofName("owner");
        m_context.self.failureDomain = FailureDomainId::ofName("a");
        auto configuration = std::make_shared<Configuration>();
        for (std::uint32_t i = 0; i < m_targets; ++i)
            configuration->backendServers.insert(
                makeEngine(i, modelId(i), m_context.self.failureDomain));
        configuration->floorPermille = { 0, 0, 50, 30, 20 };
        m_context.configuration = configuration;
        m_context.now = TimePoint(std::chrono::hours(1));
        m_owner.configure(m_context);
        const std::uint32_t slotCount = 8 * m_targets;
        for (std::uint32_t i = 0; i < queued + slotCount; ++i)
            m_owner.onRequest(m_context, m_counters, makeRequest(i % m_targets));
        m_owner.run(m_context, m_counters);
        collectGrants();
    }

    /// Releases one lease, which frees a slot for a queued request, and adds one request to the
    /// queue.
    /// @return the time of the decision and that of the complete cycle.
    std::pair<std::chrono::nanoseconds, std::chrono::nanoseconds> cycle()
    {
        const Granted released = m_running.front();
        m_running.pop_front();
        m_context.now += std::chrono::microseconds(100);
        const auto start = std::chrono::steady_clock::now();
        m_owner.onReleased(
            m_context,
            LeaseReleased{
                released.id, released.lease, released.server, LeaseEnd::Completed, 100, {}, {} });
        m_owner.run(m_context, m_counters);
        const auto decided = std::chrono::steady_clock::now();
        collectGrants();
        m_owner.onRequest(m_context, m_counters, makeRequest(m_nextTarget++ % m_targets));
        return { decided - start, std::chrono::steady_clock::now() - start };
    }

    [[nodiscard]] std::size_t queued() const { return m_owner.queued(); }

private:
    static ModelId modelId(std::uint32_t number)
    {
        return ModelId::ofName(fmt::format("model-{}", number));
    }

    GrantRequest makeRequest(std::uint32_t target)
    {
        GrantRequest request;
        request.id = GrantId{ m_context.self.id, RequestId{ m_nextRequest++ } };
        request.target = targetOfModel(modelId(target));
        request.tier = static_cast<Tier>(m_random() % tierCount);
        request.workspace = WorkspaceId{ 1 + m_random() % workspaceCount };
        request.firstTokenTimeLeft = std::chrono::milliseconds(500 + m_random() % 30'000);
        request.answerTimeLeft = request.firstTokenTimeLeft + std::chrono::seconds(30);
        request.queueBound = std::chrono::hours(1);
        request.prefixHash = m_random() % 10'000;
        return request;
    }

    void collectGrants()
    {
        for (const OutgoingMessage &sent : m_context.outbox) {
            if (const auto *granted = std::get_if<Granted>(&sent.message))
                m_running.push_back(*granted);
        }
        m_context.outbox.clear();
    }

    std::uint32_t m_targets;
    StepContext m_context;
    Counters m_counters;
    OwnerSystem<TieredPolicy> m_owner;
    std::deque<Granted> m_running;
    std::mt19937 m_random{ 1 };
    std::uint64_t m_nextRequest = 1;
    std::uint32_t m_nextTarget = 0;
};

double microsecondsPerItem(std::chrono::nanoseconds total, std::uint32_t count)
{
    return static_cast<double>(total.count()) / 1000.0 / count;
}

double measureDecisions(std::uint32_t queued)
{
    OwnerWithQueue owner(queued);
    std::chrono::nanoseconds totalDecisionTime{};
    std::chrono::nanoseconds totalCycleTime{};
    for (std::uint32_t i = 0; i < decisionCount; ++i) {
        const auto [decision, cycle] = owner.cycle();
        totalDecisionTime += decision;
        totalCycleTime += cycle;
    }
    const double decision = microsecondsPerItem(totalDecisionTime, decisionCount);
    fmt::print("{:>8} queued: decision {:.2f} us, with the arrival of one request {:.2f} us\n",
               owner.queued(), decision, microsecondsPerItem(totalCycleTime, decisionCount));
    return decision;
}

void measureIdleTick()
{
    World world(HostIdentity{ HostId::ofName("owner"), "owner", FailureDomainId::ofName("a"),
                              Incarnation{ 1 } },
                KeySecret{});
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    for (std::uint32_t i = 0; i < idleServerCount; ++i)
        configuration->backendServers.insert(
            makeEngine(i, ModelId::ofName("m"), FailureDomainId::ofName("a")));
    TimePoint now{ std::chrono::hours(1) };
    const Event configurationEvent = ConfigurationRead{ configuration };
    world.step(now, std::span<const Event>(&configurationEvent, 1));
    const auto start = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < idleTickCount; ++i)
        world.step(now += std::chrono::milliseconds(20), {});
    fmt::print("idle tick, {} servers known: {:.3f} us\n", idleServerCount,
               microsecondsPerItem(std::chrono::steady_clock::now() - start, idleTickCount));
}

} // namespace

int main()
{
    const double costAt10 = measureDecisions(10);
    const double costAt1000 = measureDecisions(1'000);
    const double costAt100000 = measureDecisions(100'000);
    fmt::print("ratio 1,000 to 10: {:.2f}; 100,000 to 1,000: {:.2f}\n", costAt1000 / costAt10,
               costAt100000 / costAt1000);
    measureIdleTick();
    return 0;
}
