#ifndef CURRANTREEL_REPLAY_BACKENDSIMULATOR_H
#define CURRANTREEL_REPLAY_BACKENDSIMULATOR_H

#include "../Configuration/Configuration.h"
#include "EngineSimulator.h"
#include "EventScheduler.h"
#include <functional>
#include <map>
#include <set>

namespace currantreel {

/// Event of a job, as its backend server reports it.
struct BackendEvent
{
    enum class Kind : std::uint8_t {
        ConnectRefused, ///< No process listens on the port.
        RefusedNotRun, ///< Full or draining; the job did not run.
        Head, ///< Head of the response.
        Tokens,
        Done, ///< The answer is complete.
        ConnectionLost, ///< The connection broke.
    };
    std::uint64_t job = 0;
    Kind kind = Kind::ConnectionLost;
    std::uint32_t tokens = 0;
};

/// Simulates the backend servers of one run in virtual time.
class BackendSimulator
{
public:
    using Report = std::function<void(const BackendEvent &)>;

    BackendSimulator(EventScheduler &scheduler, const Trace &trace,
                     const Configuration &configuration, Report report);

    /// Sends a request to @p server. Returns whether the server runs it.
    bool start(BackendServerId server, const EngineJob &job);
    /// Closes the connection of a job from the host: an engine stops the job, a service completes
    /// it.
    void stop(std::uint64_t job);

    void crash(BackendServerId server);
    void restart(BackendServerId server);
    void slowDown(BackendServerId server, double factor);
    /// Makes every open connection permanently unresponsive.
    void silence(BackendServerId server);
    /// A leaving server refuses new requests and completes those that it runs.
    void setLeaving(BackendServerId server, bool isLeaving);

    [[nodiscard]] bool isLeaving(BackendServerId server) const;
    [[nodiscard]] bool isDown(BackendServerId server) const;
    [[nodiscard]] bool isSlow(BackendServerId server) const;
    /// Number of tokens generated for @p job.
    [[nodiscard]] std::uint32_t generatedTokens(std::uint64_t job) const;
    /// True if the job's server crashed or its connection became unresponsive.
    [[nodiscard]] bool isBroken(std::uint64_t job) const;

    /// Number of tokens that all engines generate in @p time with every slot in use.
    [[nodiscard]] std::uint64_t committedTokens(Duration time) const;

private:
    struct ServerState
    {
        BackendServerId id;
        BackendKind kind = BackendKind::Engine;
        std::uint32_t slots = 0;
        EngineSimulator engine;
        std::set<std::uint64_t> jobs; ///< Open connections.
        std::uint64_t wakeNumber =
            0; ///< Number of the latest scheduled wake-up; earlier ones are ignored.
        bool isSlow = false;
        bool isDown = false;
        bool isLeaving = false;
    };
    struct JobState
    {
        BackendServerId server;
        std::uint32_t generated = 0;
        std::uint32_t reported = 0;
        bool isBroken = false;
    };

    void scheduleWake(ServerState &server);
    void onWake(BackendServerId server, std::uint64_t number);
    void notify(std::uint64_t job, BackendEvent::Kind kind, std::uint32_t tokens = 0);
    void onToken(ServerState &server, const EngineToken &token);
    void finish(ServerState &server, std::uint64_t job);
    void startService(ServerState &server, std::uint64_t job);

    EventScheduler *m_scheduler;
    EngineParameters m_parameters;
    Duration m_serviceTime;
    Report m_report;
    Table<ServerState> m_servers;
    std::map<std::uint64_t, JobState> m_jobs;
};

} // namespace currantreel

#endif
