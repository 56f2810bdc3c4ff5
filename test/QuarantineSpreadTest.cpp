#include <algorithm>
#include <currantreel/Fleet>
#include <currantreel/Peer>
#include <currantreel/Quarantine>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <memory>
#include <random>

using namespace currantreel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t culprit = 0xbad;
/// Servers that end under one segment in a day, at most.
constexpr std::size_t maxEndedServers = 5;
/// Control traffic of a host, at most.
constexpr double maxBytesPerSecond = 3'000.0;

/// Hosts that take requests for engines, some of which have a segment under which engines end, in
/// virtual time.
class Deployment
{
public:
    static constexpr Duration latency = 1ms;
    static constexpr Duration step = 5ms;
    static constexpr Duration tickInterval = 25ms;
    /// From the sending of a request to the beginning of its answer.
    static constexpr Duration firstEvent = 250ms;

    Deployment(std::size_t hosts, std::uint64_t seed) : m_random(seed)
    {
        for (std::size_t i = 0; i < hosts; ++i)
            addHost(i, seed * 1'000 + i);
        advance(10s);
    }

    void addHost(std::size_t index, std::uint64_t seed)
    {
        auto node = std::make_unique<Node>();
        node->tickAt = m_now + step * static_cast<Duration::rep>(index % 5);
        node->address = Address{ fmt::format("10.0.{}.{}", index / 200, index % 200 + 1), 7000 };
        node->id = FleetSystem::idOf(node->address);
        node->fleet = std::make_unique<FleetSystem>(node->address, 1, seed);
        node->fleet->setSeeds({ Address{ "10.0.0.1", 7000 }, Address{ "10.0.0.2", 7000 },
                                Address{ "10.0.0.3", 7000 } });
        m_nodes.push_back(std::move(node));
    }

    /// Hosts of different groups do not reach each other.
    void setGroup(std::size_t host, int group) { m_nodes[host]->group = group; }

    void advance(Duration time)
    {
        for (const TimePoint until = m_now + time; m_now < until; m_now += step)
            run();
    }

    /// From now on requests with the culprit arrive, this many a second, and of other documents.
    void setRates(double culprits, double documents)
    {
        m_culprits = culprits;
        m_documents = documents;
    }

    /// Ends @p count servers at once, each under @p requests unproven requests for documents.
    void loseServers(std::size_t count, std::size_t requests)
    {
        for (std::size_t i = 0; i < count; ++i) {
            const ServerRunId run{ ++m_nextRun };
            for (std::size_t request = 0; request < requests; ++request)
                draw().quarantine.recordEnd(m_now, run, documentSegments());
        }
    }

    [[nodiscard]] std::size_t quarantining() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_nodes.begin(), m_nodes.end(), [this](const auto &node) {
                return node->quarantine.quarantined(m_now) > 0;
            }));
    }

    std::size_t ended = 0; ///< Servers that ended under the culprit.
    std::size_t refusedDocuments = 0;
    std::size_t sentDocuments = 0;
    std::size_t reportBytes = 0; ///< Total size of all reports sent, as frames.

private:
    struct Node
    {
        Address address;
        HostId id;
        std::unique_ptr<FleetSystem> fleet;
        PublishedState state;
        FleetHost self;
        SegmentQuarantine quarantine;
        QuarantineSpread spread;
        int group = 0;
        TimePoint tickAt;
    };
    struct Attempt
    {
        TimePoint answeredAt;
        Node *node;
        std::vector<std::uint64_t> segments;
    };
    struct Arrival
    {
        TimePoint at;
        Node *from;
        Node *to;
        std::variant<FleetUpdate, SegmentReports> message;
    };

    Node &draw() { return *m_nodes[m_random() % m_nodes.size()]; }

    [[nodiscard]] std::vector<std::uint64_t> documentSegments()
    {
        return { 0x100 + m_random() % 4, 0x1000 + m_random() % 4'000 };
    }

    [[nodiscard]] bool happens(double perSecond)
    {
        const double probability = perSecond * std::chrono::duration<double>(step).count();
        return std::uniform_real_distribution<>(0.0, 1.0)(m_random) < probability;
    }

    void run()
    {
        arrive();
        if (happens(m_culprits)) {
            std::vector<std::uint64_t> segments = documentSegments();
            segments.push_back(culprit);
            send(segments);
        }
        if (happens(m_documents))
            send(documentSegments());
        answer();
        for (const auto &node : m_nodes) {
            if (node->tickAt <= m_now)
                tick(*node);
        }
    }

    void send(const std::vector<std::uint64_t> &segments)
    {
        Node &node = draw();
        const bool isDocument = segments.back() != culprit;
        if (node.quarantine.quarantineOf(m_now, segments)) {
            refusedDocuments += isDocument ? 1 : 0;
            return;
        }
        sentDocuments += isDocument ? 1 : 0;
        m_attempts.push_back({ m_now + firstEvent, &node, segments });
    }

    void answer()
    {
        std::vector<Attempt> due;
        std::erase_if(m_attempts, [&](const Attempt &attempt) {
            const bool isDue = attempt.answeredAt <= m_now;
            if (isDue)
                due.push_back(attempt);
            return isDue;
        });
        for (const Attempt &attempt : due) {
            SegmentQuarantine &quarantine = attempt.node->quarantine;
            if (attempt.segments.back() != culprit) {
                for (const std::uint64_t segment : attempt.segments)
                    quarantine.recordSound(m_now, segment);
            } else if (!quarantine.quarantineOf(m_now, attempt.segments)) {
                // Requests in progress are withdrawn with the beginning of the quarantine.
                ++ended;
                quarantine.recordEnd(m_now, ServerRunId{ ++m_nextRun }, attempt.segments);
                spread(*attempt.node);
            }
        }
    }

    void tick(Node &node)
    {
        node.tickAt = m_now + tickInterval;
        spread(node);
        for (const OutgoingFleetMessage &outgoing : node.fleet->run(m_now, node.self, node.state)) {
            if (const auto *update = std::get_if<FleetUpdate>(&outgoing.message))
                deliver(node, outgoing.to, *update);
        }
    }

    void spread(Node &node)
    {
        node.quarantine.run(m_now);
        node.fleet->setQuarantineDigest(node.quarantine.digest(m_now));
        for (const OutgoingSegmentReports &outgoing :
             node.spread.run(m_now, *node.fleet, node.quarantine)) {
            reportBytes +=
                encodeFrame(PeerFrame{ Incarnation{ 5 }, 6, PeerMessage(outgoing.reports) }).size();
            deliver(node, outgoing.to, outgoing.reports);
        }
    }

    void deliver(Node &from, HostId to, const std::variant<FleetUpdate, SegmentReports> &message)
    {
        for (const auto &node : m_nodes) {
            if (node->id == to && node->group == from.group)
                m_arrivals.push_back({ m_now + latency, &from, node.get(), message });
        }
    }

    void arrive()
    {
        std::vector<Arrival> due;
        due.swap(m_arrivals);
        for (Arrival &arrival : due) {
            Node &node = *arrival.to;
            if (const auto *update = std::get_if<FleetUpdate>(&arrival.message)) {
                node.fleet->receive(m_now, arrival.from->id, *update, node.state);
                node.spread.onUpdate(m_now, arrival.from->id, update->quarantineDigest,
                                     node.quarantine);
                continue;
            }
            const auto &reports = std::get<SegmentReports>(arrival.message);
            node.quarantine.merge(m_now, reports.reports);
            node.spread.onReports(m_now, arrival.from->id, reports, node.quarantine);
            spread(node);
        }
    }

    TimePoint m_now{ 1h };
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<Attempt> m_attempts;
    std::vector<Arrival> m_arrivals;
    std::uint64_t m_nextRun = 0;
    double m_culprits = 0.0;
    double m_documents = 0.0;
};

} // namespace

TEST_CASE("at any number of hosts few servers end under one segment")
{
    struct Case
    {
        std::size_t hosts;
        double culprits; ///< Requests with the culprit a second.
        std::uint64_t seeds;
    };
    for (const Case &played : { Case{ 6, 1.5, 3 }, Case{ 80, 6.0, 3 }, Case{ 300, 6.0, 1 } }) {
        for (std::uint64_t seed = 1; seed <= played.seeds; ++seed) {
            Deployment deployment(played.hosts, seed);
            deployment.setRates(played.culprits, 60.0);
            deployment.advance(10s);
            MESSAGE(played.hosts << " hosts, seed " << seed << ": " << deployment.ended
                                 << " ended, " << deployment.refusedDocuments
                                 << " documents refused of " << deployment.sentDocuments);
            CHECK(deployment.ended <= maxEndedServers);
            CHECK(deployment.refusedDocuments == 0);
            CHECK(deployment.quarantining() == played.hosts);
        }
    }
}

TEST_CASE("hosts that start later and hosts that were cut off learn what the others quarantine")
{
    constexpr std::size_t hosts = 30;
    Deployment deployment(hosts, 5);
    for (std::size_t host = 0; host < hosts / 3; ++host)
        deployment.setGroup(host, 1);
    deployment.setRates(3.0, 30.0);
    deployment.advance(20s);
    // Each side learns for itself.
    CHECK(deployment.ended <= 2 * maxEndedServers);
    for (std::size_t host = 0; host < hosts / 3; ++host)
        deployment.setGroup(host, 0);
    deployment.addHost(hosts, 99);
    const std::size_t ended = deployment.ended;
    deployment.setRates(0.0, 30.0);
    deployment.advance(3s);
    deployment.setRates(3.0, 30.0);
    deployment.advance(10s);
    CHECK(deployment.ended == ended);
    CHECK(deployment.quarantining() == hosts + 1);
}

TEST_CASE("a fifth of the servers lost at once quarantines nothing and costs few bytes")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        constexpr std::size_t hosts = 80;
        Deployment deployment(hosts, seed);
        deployment.setRates(0.0, 60.0);
        deployment.advance(2s);
        const std::size_t bytes = deployment.reportBytes;
        deployment.loseServers(13, 6);
        constexpr Duration observed = 30s;
        deployment.advance(observed);
        const double perHost = static_cast<double>(deployment.reportBytes - bytes) / hosts;
        MESSAGE("seed " << seed << ": " << perHost << " bytes a host");
        CHECK(perHost < maxBytesPerSecond * std::chrono::duration<double>(observed).count());
        CHECK(deployment.refusedDocuments == 0);
        CHECK(deployment.quarantining() == 0);
    }
}

TEST_CASE(
    "hosts that start while requests with a quarantined segment come learn of it within a second")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        constexpr std::size_t hosts = 60;
        constexpr std::size_t started = 20;
        Deployment deployment(hosts, seed);
        deployment.setRates(6.0, 30.0);
        deployment.advance(5s);
        REQUIRE(deployment.quarantining() == hosts);
        deployment.setRates(0.0, 30.0);
        for (std::size_t host = 0; host < started; ++host)
            deployment.addHost(hosts + host, seed * 100 + host);
        Duration waited{};
        while (deployment.quarantining() < hosts + started && waited < 5s) {
            deployment.advance(50ms);
            waited += 50ms;
        }
        MESSAGE("seed " << seed << ": " << toMilliseconds(waited) << " ms");
        CHECK(waited <= 1s);
    }
}
