#ifndef CURRANTREEL_REPLAY_BACKENDSIMULATOR_H
#define CURRANTREEL_REPLAY_BACKENDSIMULATOR_H

#include "../Configuration/Configuration.h"
#include "EngineSimulator.h"
#include "EventScheduler.h"
#include <functional>
#include <map>
#include <set>

namespace currantreel {

/// What a backend server says about a job.
struct BackendNews
{
    enum class Kind : std::uint8_t {
        ConnectRefused, ///< Nobody listens.
        SaidNotRun, ///< Full or draining; it did not run.
        Head, ///< The answer begins.
        Tokens,
        Done, ///< The answer is whole.
        Lost, ///< The connection broke.
    };
    std::uint64_t job = 0;
    Kind kind = Kind::Lost;
    std::uint32_t tokens = 0;
};

/// The backend servers of one run, by fakes in virtual time.
class BackendBench
{
public:
    using Report = std::function<void(const BackendNews &)>;

    BackendBench(Schedule &schedule, const Trace &trace, const Configuration &configuration,
                 Report report);

    /// A request arrives at @p server. Returns whether it runs.
    bool start(BackendServerId server, const EngineJob &job);
    /// The connection of a job is closed by the host; an engine stops it, a service runs on.
    void stop(std::uint64_t job);

    void crash(BackendServerId server);
    void restart(BackendServerId server);
    void slowDown(BackendServerId server, double factor);
    /// Every open connection goes silent for good.
    void silence(BackendServerId server);
    /// A leaving server refuses new work and completes what it has.
    void setLeaving(BackendServerId server, bool isLeaving);

    [[nodiscard]] bool isLeaving(BackendServerId server) const;
    [[nodiscard]] bool isDown(BackendServerId server) const;
    [[nodiscard]] bool isSlow(BackendServerId server) const;
    /// Tokens made for @p job.
    [[nodiscard]] std::uint32_t made(std::uint64_t job) const;
    /// True if the job's server crashed or its connection went silent.
    [[nodiscard]] bool isBroken(std::uint64_t job) const;

    /// Tokens that all engines make in @p time when every slot is in use.
    [[nodiscard]] std::uint64_t committedTokens(Duration time) const;

private:
    struct ServerRow
    {
        BackendServerId id;
        BackendKind kind = BackendKind::Engine;
        std::uint32_t slots = 0;
        EngineFake engine;
        std::set<std::uint64_t> jobs; ///< Open connections.
        std::uint64_t wake = 0; ///< Number of the last wake-up asked for; older ones are void.
        bool isSlow = false;
        bool isDown = false;
        bool isLeaving = false;
    };
    struct JobRow
    {
        BackendServerId server;
        std::uint32_t made = 0;
        std::uint32_t told = 0;
        bool isBroken = false;
    };

    void arrange(ServerRow &server);
    void wake(BackendServerId server, std::uint64_t number);
    void tell(std::uint64_t job, BackendNews::Kind kind, std::uint32_t tokens = 0);
    void onToken(ServerRow &server, const EngineToken &token);
    void finish(ServerRow &server, std::uint64_t job);
    void startService(ServerRow &server, std::uint64_t job);

    Schedule *m_schedule;
    EngineShape m_shape;
    Duration m_serviceTime;
    Report m_report;
    Table<ServerRow> m_servers;
    std::map<std::uint64_t, JobRow> m_jobs;
};

} // namespace currantreel

#endif
