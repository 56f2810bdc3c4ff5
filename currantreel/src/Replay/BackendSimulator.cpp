#include "BackendSimulator.h"

namespace currantreel {

namespace {

/// Tokens that an engine sends in one piece, after the first token.
constexpr std::uint32_t tokensPerChunk = 4;

} // namespace

BackendBench::BackendBench(Schedule &schedule, const Trace &trace,
                           const Configuration &configuration, Report report)
    : m_schedule(&schedule),
      m_shape(trace.engine),
      m_serviceTime(trace.serviceTime),
      m_report(std::move(report))
{
    for (const BackendServer &server : configuration.backendServers)
        m_servers.insert(ServerRow{ server.id,
                                    server.kind,
                                    server.slots,
                                    EngineFake(trace.engine, server.slots),
                                    {},
                                    0,
                                    false,
                                    false,
                                    false });
}

void BackendBench::tell(std::uint64_t job, BackendNews::Kind kind, std::uint32_t tokens)
{
    const auto found = m_jobs.find(job);
    if (found != m_jobs.end() && found->second.isBroken && kind != BackendNews::Kind::Lost)
        return;
    m_report(BackendNews{ job, kind, tokens });
}

bool BackendBench::start(BackendServerId server, const EngineJob &job)
{
    ServerRow *row = m_servers.find(server);
    if (!row || row->isDown) {
        tell(job.id, BackendNews::Kind::ConnectRefused);
        return false;
    }
    if (row->isLeaving || row->jobs.size() >= row->slots || row->engine.isFull()) {
        tell(job.id, BackendNews::Kind::SaidNotRun);
        return false;
    }
    row->jobs.insert(job.id);
    m_jobs[job.id].server = server;
    if (row->kind == BackendKind::Service) {
        startService(*row, job.id);
        return true;
    }
    row->engine.start(m_schedule->now(), job);
    tell(job.id, BackendNews::Kind::Head);
    arrange(*row);
    return true;
}

void BackendBench::startService(ServerRow &server, std::uint64_t job)
{
    m_schedule->after(m_serviceTime, [this, id = server.id, job] {
        ServerRow *row = m_servers.find(id);
        if (!row || !row->jobs.contains(job))
            return;
        tell(job, BackendNews::Kind::Head);
        finish(*row, job);
    });
}

void BackendBench::finish(ServerRow &server, std::uint64_t job)
{
    server.jobs.erase(job);
    tell(job, BackendNews::Kind::Done);
}

void BackendBench::stop(std::uint64_t job)
{
    const auto found = m_jobs.find(job);
    ServerRow *row = found == m_jobs.end() ? nullptr : m_servers.find(found->second.server);
    if (!row)
        return;
    row->jobs.erase(job);
    row->engine.stop(job);
    arrange(*row);
}

void BackendBench::arrange(ServerRow &server)
{
    const auto next = server.engine.nextAt();
    const std::uint64_t number = ++server.wake;
    if (next)
        m_schedule->at(*next, [this, id = server.id, number] { wake(id, number); });
}

void BackendBench::wake(BackendServerId server, std::uint64_t number)
{
    ServerRow *row = m_servers.find(server);
    if (!row || row->wake != number)
        return;
    for (const EngineToken &token : row->engine.advance(m_schedule->now()))
        onToken(*row, token);
    arrange(*row);
}

void BackendBench::onToken(ServerRow &server, const EngineToken &token)
{
    JobRow &job = m_jobs[token.job];
    ++job.made;
    const std::uint32_t untold = job.made - job.told;
    if (job.made == 1 || token.isLast || untold >= tokensPerChunk) {
        job.told = job.made;
        tell(token.job, BackendNews::Kind::Tokens, untold);
    }
    if (token.isLast)
        finish(server, token.job);
}

void BackendBench::crash(BackendServerId server)
{
    ServerRow *row = m_servers.find(server);
    if (!row)
        return;
    row->isDown = true;
    row->engine.crash();
    const std::set<std::uint64_t> lost = std::exchange(row->jobs, {});
    for (const std::uint64_t job : lost) {
        const bool wasSilent = std::exchange(m_jobs[job].isBroken, true);
        if (!wasSilent)
            tell(job, BackendNews::Kind::Lost);
    }
    arrange(*row);
}

void BackendBench::restart(BackendServerId server)
{
    if (ServerRow *row = m_servers.find(server))
        row->isDown = false;
}

void BackendBench::slowDown(BackendServerId server, double factor)
{
    ServerRow *row = m_servers.find(server);
    if (!row)
        return;
    row->isSlow = factor > 1.0;
    row->engine.slowDown(factor);
}

bool BackendBench::isSlow(BackendServerId server) const
{
    const ServerRow *row = m_servers.find(server);
    return row && row->isSlow;
}

void BackendBench::silence(BackendServerId server)
{
    const ServerRow *row = m_servers.find(server);
    if (!row)
        return;
    for (const std::uint64_t job : row->jobs)
        m_jobs[job].isBroken = true;
}

void BackendBench::setLeaving(BackendServerId server, bool isLeaving)
{
    if (ServerRow *row = m_servers.find(server))
        row->isLeaving = isLeaving;
}

bool BackendBench::isLeaving(BackendServerId server) const
{
    const ServerRow *row = m_servers.find(server);
    return row && row->isLeaving;
}

bool BackendBench::isDown(BackendServerId server) const
{
    const ServerRow *row = m_servers.find(server);
    return row && row->isDown;
}

std::uint32_t BackendBench::made(std::uint64_t job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? 0 : found->second.made;
}

bool BackendBench::isBroken(std::uint64_t job) const
{
    const auto found = m_jobs.find(job);
    return found != m_jobs.end() && found->second.isBroken;
}

std::uint64_t BackendBench::committedTokens(Duration time) const
{
    std::uint64_t tokens = 0;
    for (const ServerRow &server : m_servers) {
        if (server.kind == BackendKind::Engine)
            tokens +=
                server.slots * static_cast<std::uint64_t>(time / m_shape.interval(server.slots));
    }
    return tokens;
}

} // namespace currantreel
