#include "PatchExchange.h"

#include "ConfigurationTiming.h"
#include <algorithm>

namespace currantreel {

namespace {

constexpr std::size_t maxSources = 8;
/// Maximum size of a snapshot or patch accepted from another host.
constexpr std::uint64_t maxSnapshotBytes = 256'000'000;
/// Time after which an outgoing snapshot is discarded if no host requests it.
constexpr Duration snapshotRetention = std::chrono::seconds(30);

} // namespace

void PatchExchange::onAhead(const StepContext &context, HostId host, std::uint64_t position)
{
    m_highestPosition = std::max(m_highestPosition, position);
    const auto known = std::find_if(m_sources.begin(), m_sources.end(),
                                    [host](const Source &source) { return source.host == host; });
    if (known != m_sources.end())
        known->position = std::max(known->position, position);
    else if (m_sources.size() < maxSources && host != context.self.id)
        m_sources.push_back(Source{ host, position });
}

void PatchExchange::run(StepContext &context, const ConfigurationLog &log)
{
    if (!m_outgoingSnapshot.empty() && context.now > m_outgoingUsedAt + snapshotRetention)
        m_outgoingSnapshot = {};
    if (m_requestedFrom.isValid() && context.now < m_answerDeadline)
        return;
    if (m_requestedFrom.isValid())
        dropSource(m_requestedFrom);
    m_requestedFrom = {};
    std::erase_if(m_sources,
                  [&](const Source &source) { return source.position <= log.position(); });
    if (m_sources.empty() || log.held())
        return;
    const auto furthest = std::max_element(
        m_sources.begin(), m_sources.end(),
        [](const Source &left, const Source &right) { return left.position < right.position; });
    m_requestedFrom = furthest->host;
    m_answerDeadline = context.now + timing::patchRequestTimeout;
    const std::uint64_t next = log.position() + 1;
    if (m_incomingPosition > log.position()) {
        context.send(m_requestedFrom,
                     SnapshotRequest{ m_incomingPosition, m_incomingSnapshot.size() });
        return;
    }
    const std::uint64_t offset = m_partialPatchNumber == next ? m_partialPatch.size() : 0;
    context.send(m_requestedFrom, PatchRequest{ next, offset });
}

bool PatchExchange::completeRequest(HostId from)
{
    if (from != m_requestedFrom)
        return false;
    m_requestedFrom = {};
    return true;
}

void PatchExchange::dropSource(HostId host)
{
    std::erase_if(m_sources, [host](const Source &source) { return source.host == host; });
    // Another host's snapshot may be of another position.
    m_incomingPosition = 0;
    m_incomingSnapshot.clear();
}

void PatchExchange::onRequest(StepContext &context, HostId from, const PatchRequest &request,
                              const ConfigurationLog &log)
{
    if (log.patch(request.number)) {
        sendPatches(context, from, request, log);
    } else if (request.number <= log.position()) {
        if (m_outgoingPosition != log.position() || m_outgoingSnapshot.empty()) {
            m_outgoingSnapshot = log.snapshot();
            m_outgoingPosition = log.position();
        }
        sendChunk(context, from, 0);
        m_outgoingUsedAt = context.now;
    } else {
        context.send(from, PatchBatch{ log.position(), {} });
    }
}

void PatchExchange::onRequest(StepContext &context, HostId from, const SnapshotRequest &request,
                              const ConfigurationLog &log)
{
    const bool isAvailable = request.position == m_outgoingPosition && !m_outgoingSnapshot.empty()
                             && request.offset <= m_outgoingSnapshot.size();
    if (!isAvailable) {
        // That snapshot is no longer available; start with the current one.
        onRequest(context, from, PatchRequest{ request.position, 0 }, log);
        return;
    }
    sendChunk(context, from, request.offset);
    m_outgoingUsedAt = context.now;
}

void PatchExchange::sendChunk(StepContext &context, HostId to, std::uint64_t offset) const
{
    context.send(to, SnapshotChunk{ m_outgoingPosition, m_outgoingSnapshot.size(), offset,
                                    m_outgoingSnapshot.substr(offset, maxMessagePayloadBytes) });
}

void PatchExchange::sendPatches(StepContext &context, HostId to, const PatchRequest &request,
                                const ConfigurationLog &log) const
{
    /// Encoding overhead of a chunk, in bytes.
    constexpr std::size_t chunkOverhead = 64;
    PatchBatch batch{ log.position(), {} };
    std::size_t room = maxMessagePayloadBytes;
    std::uint64_t offset = request.offset;
    for (std::uint64_t number = request.number; room > chunkOverhead; ++number) {
        const std::string *text = log.patch(number);
        if (!text)
            break;
        offset = std::min<std::uint64_t>(offset, text->size());
        room -= chunkOverhead;
        PatchChunk chunk{ number, text->size(), offset, text->substr(offset, room) };
        room -= chunk.bytes.size();
        batch.chunks.push_back(std::move(chunk));
        offset = 0;
    }
    context.send(to, std::move(batch));
}

void PatchExchange::onBatch(const StepContext &context, HostId from, const PatchBatch &batch,
                            ConfigurationLog &log)
{
    if (!completeRequest(from))
        return;
    if (batch.chunks.empty())
        dropSource(from);
    else
        onAhead(context, from, batch.position);
    for (const PatchChunk &chunk : batch.chunks) {
        if (chunk.number != log.position() + 1)
            continue;
        if (m_partialPatchNumber != chunk.number || chunk.offset == 0) {
            m_partialPatchNumber = chunk.number;
            m_partialPatch.clear();
        }
        if (chunk.offset != m_partialPatch.size() || chunk.size > maxSnapshotBytes)
            return;
        m_partialPatch += chunk.bytes;
        if (m_partialPatch.size() < chunk.size)
            return;
        log.append(chunk.number, std::move(m_partialPatch), context.now);
        m_partialPatch.clear();
        m_partialPatchNumber = 0;
    }
}

void PatchExchange::onChunk(StepContext &context, HostId from, const SnapshotChunk &part,
                            ConfigurationLog &log)
{
    if (!completeRequest(from))
        return;
    if (part.position <= log.position())
        return;
    if (part.position != m_incomingPosition || part.offset == 0) {
        m_incomingPosition = part.position;
        m_incomingSnapshot.clear();
    }
    const bool fits = part.offset == m_incomingSnapshot.size() && part.size <= maxSnapshotBytes
                      && (!part.bytes.empty() || part.size == part.offset);
    if (!fits) {
        dropSource(from);
        return;
    }
    onAhead(context, from, part.position);
    m_incomingSnapshot += part.bytes;
    if (m_incomingSnapshot.size() < part.size)
        return;
    const std::string text = std::move(m_incomingSnapshot);
    m_incomingSnapshot.clear();
    m_incomingPosition = 0;
    if (log.install(part.position, text))
        dropSource(from);
}

} // namespace currantreel
