#include "BackendSimulator.h"

namespace currantreel {

namespace {

/// Number of tokens that an engine sends in one chunk, after the first token.
constexpr std::uint32_t tokensPerChunk = 4;

} // namespace

BackendSimulator::BackendSimulator(EventScheduler &scheduler, const Trace &trace,
                                   const Configuration &configuration, Report report)
    : m_scheduler(&scheduler),
      m_parameters(trace.engine),
      m_serviceTime(trace.serviceTime),
      m_report(std::move(report))
{
    for (const BackendServer &server : configuration.backendServers)
        m_servers.insert(ServerState{ server.id,
                                      server.kind,
                                      server.slots,
                                      EngineSimulator(trace.engine, server.slots),
                                      {},
                                      0,
                                      false,
                                      false,
                                      false });
}

void BackendSimulator::notify(std::uint64_t job, BackendEvent::Kind kind, std::uint32_t tokens)
{
    const auto found = m_jobs.find(job);
    if (found != m_jobs.end() && found->second.isBroken
        && kind != BackendEvent::Kind::ConnectionLost)
        return;
    m_report(BackendEvent{ job, kind, tokens });
}

bool BackendSimulator::start(BackendServerId server, const EngineJob &job)
{
    ServerState *state = m_servers.find(server);
    if (!state || state->isDown) {
        notify(job.id, BackendEvent::Kind::ConnectRefused);
        return false;
    }
    if (state->isLeaving || state->jobs.size() >= state->slots || state->engine.isFull()) {
        notify(job.id, BackendEvent::Kind::RefusedNotRun);
        return false;
    }
    state->jobs.insert(job.id);
    m_jobs[job.id].server = server;
    if (state->kind == BackendKind::Service) {
        startService(*state, job.id);
        return true;
    }
    state->engine.start(m_scheduler->now(), job);
    notify(job.id, BackendEvent::Kind::Head);
    scheduleWake(*state);
    return true;
}

void BackendSimulator::startService(ServerState &server, std::uint64_t job)
{
    m_scheduler->after(m_serviceTime, [this, id = server.id, job] {
        ServerState *state = m_servers.find(id);
        if (!state || !state->jobs.contains(job))
            return;
        notify(job, BackendEvent::Kind::Head);
        finish(*state, job);
    });
}

void BackendSimulator::finish(ServerState &server, std::uint64_t job)
{
    server.jobs.erase(job);
    notify(job, BackendEvent::Kind::Done);
}

void BackendSimulator::stop(std::uint64_t job)
{
    const auto found = m_jobs.find(job);
    ServerState *state = found == m_jobs.end() ? nullptr : m_servers.find(found->second.server);
    if (!state)
        return;
    state->jobs.erase(job);
    state->engine.stop(job);
    scheduleWake(*state);
}

void BackendSimulator::scheduleWake(ServerState &server)
{
    const auto next = server.engine.nextTokenAt();
    const std::uint64_t number = ++server.wakeNumber;
    if (next)
        m_scheduler->at(*next, [this, id = server.id, number] { onWake(id, number); });
}

void BackendSimulator::onWake(BackendServerId server, std::uint64_t number)
{
    ServerState *state = m_servers.find(server);
    if (!state || state->wakeNumber != number)
        return;
    for (const EngineToken &token : state->engine.advance(m_scheduler->now()))
        onToken(*state, token);
    scheduleWake(*state);
}

void BackendSimulator::onToken(ServerState &server, const EngineToken &token)
{
    JobState &job = m_jobs[token.job];
    ++job.generated;
    const std::uint32_t unreported = job.generated - job.reported;
    if (job.generated == 1 || token.isLast || unreported >= tokensPerChunk) {
        job.reported = job.generated;
        notify(token.job, BackendEvent::Kind::Tokens, unreported);
    }
    if (token.isLast)
        finish(server, token.job);
}

void BackendSimulator::crash(BackendServerId server)
{
    ServerState *state = m_servers.find(server);
    if (!state)
        return;
    state->isDown = true;
    state->engine.crash();
    const std::set<std::uint64_t> lost = std::exchange(state->jobs, {});
    for (const std::uint64_t job : lost) {
        const bool wasSilent = std::exchange(m_jobs[job].isBroken, true);
        if (!wasSilent)
            notify(job, BackendEvent::Kind::ConnectionLost);
    }
    scheduleWake(*state);
}

void BackendSimulator::restart(BackendServerId server)
{
    if (ServerState *state = m_servers.find(server))
        state->isDown = false;
}

void BackendSimulator::slowDown(BackendServerId server, double factor)
{
    ServerState *state = m_servers.find(server);
    if (!state)
        return;
    state->isSlow = factor > 1.0;
    state->engine.slowDown(factor);
}

bool BackendSimulator::isSlow(BackendServerId server) const
{
    const ServerState *state = m_servers.find(server);
    return state && state->isSlow;
}

void BackendSimulator::silence(BackendServerId server)
{
    const ServerState *state = m_servers.find(server);
    if (!state)
        return;
    for (const std::uint64_t job : state->jobs)
        m_jobs[job].isBroken = true;
}

void BackendSimulator::setLeaving(BackendServerId server, bool isLeaving)
{
    if (ServerState *state = m_servers.find(server))
        state->isLeaving = isLeaving;
}

bool BackendSimulator::isLeaving(BackendServerId server) const
{
    const ServerState *state = m_servers.find(server);
    return state && state->isLeaving;
}

bool BackendSimulator::isDown(BackendServerId server) const
{
    const ServerState *state = m_servers.find(server);
    return state && state->isDown;
}

std::uint32_t BackendSimulator::generatedTokens(std::uint64_t job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? 0 : found->second.generated;
}

bool BackendSimulator::isBroken(std::uint64_t job) const
{
    const auto found = m_jobs.find(job);
    return found != m_jobs.end() && found->second.isBroken;
}

std::uint64_t BackendSimulator::committedTokens(Duration time) const
{
    std::uint64_t tokens = 0;
    for (const ServerState &server : m_servers) {
        if (server.kind == BackendKind::Engine)
            tokens += server.slots
                      * static_cast<std::uint64_t>(time / m_parameters.interval(server.slots));
    }
    return tokens;
}

} // namespace currantreel
