#include "ConfigurationSystem.h"

#include "ConfigurationTiming.h"
#include <algorithm>

namespace currantreel {

ConfigurationSystem::ConfigurationSystem(const HostIdentity &self)
    : m_random(self.id.value ^ self.incarnation.value),
      m_platform(self.id.value + self.incarnation.value)
{
}

void ConfigurationSystem::onValue(const StepContext &context, const PlatformValue &value)
{
    m_platform.onValue(context, value, m_log);
}

void ConfigurationSystem::onUnreachable(const StepContext &context,
                                        const PlatformUnreachable &event)
{
    m_platform.onUnreachable(context, event);
}

void ConfigurationSystem::onHostList(StepContext &context, const HostListRead &list)
{
    m_platform.onHostList(context);
    std::vector<BackendServerId> leaving;
    for (const BackendServerEntry &entry : list.backendServers) {
        if (entry.liveness == Liveness::Leaving)
            leaving.push_back(entry.id);
    }
    std::sort(leaving.begin(), leaving.end());
    if (leaving == m_leaving || !PlatformReader::isWatcher(context))
        return;
    m_leaving = leaving;
    for (const HostEntry &host : context.hosts) {
        if (host.failureDomain == context.self.failureDomain && host.id != context.self.id)
            context.send(host.id, LeavingServers{ leaving });
    }
}

void ConfigurationSystem::receive(StepContext &context, HostId from,
                                  const ConfigurationAnnounce &message)
{
    if (!message.isAnswerWanted && m_answersMissing > 0)
        --m_answersMissing;
    onPeerPosition(context, from, message.position, message.digest);
    if (message.isAnswerWanted || message.position < m_log.position())
        announceTo(context, from, false);
}

void ConfigurationSystem::onPeerPosition(StepContext &context, HostId host, std::uint64_t position,
                                         const std::string &digest)
{
    if (position > m_log.position())
        m_exchange.onAhead(context, host, position);
    const bool differs = position == m_log.position() && digest != m_log.digest();
    if (!differs || m_hasDiverged)
        return;
    m_hasDiverged = true;
    context.emit(PatchRefused{ position, Error{ ResultCode::ConfigurationDiverged, digest } });
}

void ConfigurationSystem::receive(StepContext &context, HostId from, const PatchRequest &message)
{
    m_exchange.onRequest(context, from, message, m_log);
}

void ConfigurationSystem::receive(StepContext &context, HostId from, const PatchBatch &message)
{
    m_exchange.onBatch(context, from, message, m_log);
}

void ConfigurationSystem::receive(StepContext &context, HostId from, const SnapshotRequest &message)
{
    m_exchange.onRequest(context, from, message, m_log);
}

void ConfigurationSystem::receive(StepContext &context, HostId from, const SnapshotPart &message)
{
    m_exchange.onChunk(context, from, message, m_log);
}

bool ConfigurationSystem::run(StepContext &context)
{
    m_platform.run(context, m_log);
    m_exchange.run(context, m_log);
    const bool hasChanged = bringIntoForce(context);
    reportRefusals(context);
    announce(context);
    catchUp(context);
    return hasChanged;
}

bool ConfigurationSystem::bringIntoForce(StepContext &context)
{
    // The log changes its configuration in place, so the version reported last is kept here.
    if (m_log.version() <= m_inForce || m_log.version() < context.configuration->version)
        return false;
    m_inForce = m_log.version();
    context.configuration = m_log.configuration();
    context.emit(ConfigurationActivated{ m_inForce });
    return true;
}

void ConfigurationSystem::reportRefusals(StepContext &context)
{
    while (m_reported < m_log.position()) {
        ++m_reported;
        const AuditRecord *record = m_log.trail().find(m_reported);
        if (record && record->refusal)
            context.emit(PatchRefused{ m_reported, *record->refusal });
    }
    const auto &held = m_log.held();
    if (held && !m_isHoldReported)
        context.emit(PatchRefused{ held->number, held->error });
    m_isHoldReported = held.has_value();
}

void ConfigurationSystem::announce(StepContext &context)
{
    if (context.hosts.isEmpty())
        return;
    if (m_log.position() > m_announced) {
        m_announced = m_log.position();
        announceToSome(context, timing::announceFanOut, false);
    }
    if (context.now < m_nextAnnounce)
        return;
    const auto interval = static_cast<std::uint64_t>(timing::announceInterval.count());
    m_nextAnnounce =
        context.now + Duration(static_cast<Duration::rep>(interval / 2 + m_random() % interval));
    announceToSome(context, 1, false);
}

void ConfigurationSystem::announceTo(StepContext &context, HostId host, bool isAnswerWanted)
{
    context.send(host, ConfigurationAnnounce{ m_log.position(), m_log.digest(), isAnswerWanted });
}

void ConfigurationSystem::announceToSome(StepContext &context, std::size_t count,
                                         bool isAnswerWanted)
{
    if (context.hosts.isEmpty())
        return;
    // Half of the choices fall on the own failure domain, whose links are up when others are cut.
    const std::size_t size = context.hosts.size();
    std::size_t sent = 0;
    const std::size_t tries = 8 * count + size;
    for (std::size_t i = 0; i < tries && sent < count; ++i) {
        const auto host = context.hosts.begin() + static_cast<std::ptrdiff_t>(m_random() % size);
        const bool isNear = host->failureDomain == context.self.failureDomain;
        if (host->id == context.self.id || (m_wantsNear && !isNear && i < size))
            continue;
        m_wantsNear = !m_wantsNear;
        announceTo(context, host->id, isAnswerWanted);
        ++sent;
    }
    if (isAnswerWanted)
        m_answersMissing = sent;
}

void ConfigurationSystem::catchUp(StepContext &context)
{
    if (m_isCaughtUp)
        return;
    if (m_firstRun == TimePoint())
        m_firstRun = context.now;
    // A host that is alone has nobody to ask.
    const bool isFleetKnown = m_platform.hasHostList() || !context.hosts.isEmpty();
    if (!m_hasAsked && isFleetKnown) {
        m_hasAsked = true;
        m_answersBy = context.now + timing::startupAnswerTimeout;
        announceToSome(context, timing::announceFanOut, true);
    }
    const bool haveAnswered = m_answersMissing == 0 || context.now >= m_answersBy;
    const std::uint64_t highest = std::max(m_platform.head().position, m_exchange.highest());
    const bool isHighest =
        m_hasAsked && m_platform.isHeadReadDone() && haveAnswered && m_log.position() >= highest;
    const bool hasWaited = context.now >= m_firstRun + timing::catchUpTimeout;
    m_isCaughtUp = m_log.version() > 0 && (isHighest || hasWaited || m_log.held());
}

} // namespace currantreel
