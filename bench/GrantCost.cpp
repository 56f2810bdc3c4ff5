/// @file
/// Measures what a grant decision costs by the number of requests that wait, and what a tick costs in
/// which nothing happens. Prints microseconds and ratios; judges nothing.

#include <chrono>
#include <currantreel/World>
#include <currantreel/src/Ownership/Targets.h>
#include <fmt/format.h>
#include <random>

using namespace currantreel;

namespace {

constexpr std::uint32_t requestsPerTarget = 9'000;
constexpr std::uint32_t workspaces = 1'000;
constexpr std::uint32_t idleServers = 12'000;
constexpr std::uint32_t decisions = 100'000;
constexpr std::uint32_t idleTicks = 100'000;

BackendServer engine(std::uint32_t number, ModelId model, FailureDomainId domain)
{
    BackendServer server;
    server.id = BackendServerId::ofName(fmt::format("engine-{}", number));
    server.failureDomain = domain;
    server.models = { model };
    server.slots = 8;
    return server;
}

/// An owner whose queues hold a given number of requests.
class QueuedOwner
{
public:
    explicit QueuedOwner(std::uint32_t queued)
        : m_targets((queued + requestsPerTarget - 1) / requestsPerTarget)
    {
        m_context.self.id = HostId::ofName("owner");
        m_context.self.failureDomain = FailureDomainId::ofName("a");
        auto configuration = std::make_shared<Configuration>();
        for (std::uint32_t i = 0; i < m_targets; ++i)
            configuration->backendServers.insert(engine(i, model(i), m_context.self.failureDomain));
        configuration->floorPermille = { 0, 0, 50, 30, 20 };
        m_context.configuration = configuration;
        m_context.now = TimePoint(std::chrono::hours(1));
        m_owner.configure(m_context);
        const std::uint32_t inSlots = 8 * m_targets;
        for (std::uint32_t i = 0; i < queued + inSlots; ++i)
            m_owner.onRequest(m_context, m_counters, request(i % m_targets));
        m_owner.run(m_context, m_counters);
        takeGrants();
    }

    /// Ends one lease, which frees a slot for the next request, and queues another one. Returns the
    /// time of the decision and that of the whole cycle.
    std::pair<std::chrono::nanoseconds, std::chrono::nanoseconds> cycle()
    {
        const Granted ended = m_running.front();
        m_running.pop_front();
        m_context.now += std::chrono::microseconds(100);
        const auto start = std::chrono::steady_clock::now();
        m_owner.onReleased(
            m_context,
            LeaseReleased{ ended.id, ended.lease, ended.server, LeaseEnd::Completed, 100, {}, {} });
        m_owner.run(m_context, m_counters);
        const auto decided = std::chrono::steady_clock::now();
        takeGrants();
        m_owner.onRequest(m_context, m_counters, request(m_turn++ % m_targets));
        return { decided - start, std::chrono::steady_clock::now() - start };
    }

    [[nodiscard]] std::size_t queued() const { return m_owner.queued(); }

private:
    static ModelId model(std::uint32_t number)
    {
        return ModelId::ofName(fmt::format("model-{}", number));
    }

    GrantRequest request(std::uint32_t target)
    {
        GrantRequest request;
        request.id = GrantId{ m_context.self.id, RequestId{ m_next++ } };
        request.target = targetOfModel(model(target));
        request.tier = static_cast<Tier>(m_random() % tierCount);
        request.workspace = WorkspaceId{ 1 + m_random() % workspaces };
        request.firstTokenTimeLeft = std::chrono::milliseconds(500 + m_random() % 30'000);
        request.answerTimeLeft = request.firstTokenTimeLeft + std::chrono::seconds(30);
        request.queueBound = std::chrono::hours(1);
        request.prefixHash = m_random() % 10'000;
        return request;
    }

    void takeGrants()
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
    std::uint64_t m_next = 1;
    std::uint32_t m_turn = 0;
};

double microseconds(std::chrono::nanoseconds total, std::uint32_t count)
{
    return static_cast<double>(total.count()) / 1000.0 / count;
}

double measureDecisions(std::uint32_t queued)
{
    QueuedOwner owner(queued);
    std::chrono::nanoseconds deciding{};
    std::chrono::nanoseconds whole{};
    for (std::uint32_t i = 0; i < decisions; ++i) {
        const auto [decision, cycle] = owner.cycle();
        deciding += decision;
        whole += cycle;
    }
    const double decision = microseconds(deciding, decisions);
    fmt::print("{:>8} queued: decision {:.2f} us, with a newcomer's arrival {:.2f} us\n",
               owner.queued(), decision, microseconds(whole, decisions));
    return decision;
}

void measureIdleTick()
{
    World world(HostIdentity{ HostId::ofName("owner"), "owner", FailureDomainId::ofName("a"),
                              Incarnation{ 1 } },
                KeySecret{});
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    for (std::uint32_t i = 0; i < idleServers; ++i)
        configuration->backendServers.insert(
            engine(i, ModelId::ofName("m"), FailureDomainId::ofName("a")));
    TimePoint now{ std::chrono::hours(1) };
    const Event read = ConfigurationRead{ configuration };
    world.step(now, std::span<const Event>(&read, 1));
    const auto start = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < idleTicks; ++i)
        world.step(now += std::chrono::milliseconds(20), {});
    fmt::print("tick with nothing to do, {} servers known: {:.3f} us\n", idleServers,
               microseconds(std::chrono::steady_clock::now() - start, idleTicks));
}

} // namespace

int main()
{
    const double few = measureDecisions(10);
    const double some = measureDecisions(1'000);
    const double many = measureDecisions(100'000);
    fmt::print("ratio 1,000 to 10: {:.2f}; 100,000 to 1,000: {:.2f}\n", some / few, many / some);
    measureIdleTick();
    return 0;
}
