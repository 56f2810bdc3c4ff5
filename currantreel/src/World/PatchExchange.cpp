#include "PatchExchange.h"

#include "ConfigurationTiming.h"
#include <algorithm>

namespace currantreel {

namespace {

constexpr std::size_t sourceLimit = 8;
/// Largest snapshot taken from another host.
constexpr std::uint64_t largestSnapshotBytes = 256'000'000;
/// Time after which a snapshot that nobody asks for is forgotten.
constexpr Duration snapshotKept = std::chrono::seconds(30);

} // namespace

void PatchExchange::onAhead(const StepContext &context, HostId host, std::uint64_t position)
{
    m_highest = std::max(m_highest, position);
    const auto known = std::find_if(m_sources.begin(), m_sources.end(),
                                    [host](const Source &source) { return source.host == host; });
    if (known != m_sources.end())
        known->position = std::max(known->position, position);
    else if (m_sources.size() < sourceLimit && host != context.self.id)
        m_sources.push_back(Source{ host, position });
}

void PatchExchange::run(StepContext &context, const ConfigurationLog &log)
{
    if (!m_outgoing.empty() && context.now > m_outgoingUsed + snapshotKept)
        m_outgoing = {};
    if (m_asked.isValid() && context.now < m_answerBy)
        return;
    if (m_asked.isValid())
        dropSource(m_asked);
    m_asked = {};
    std::erase_if(m_sources,
                  [&](const Source &source) { return source.position <= log.position(); });
    if (m_sources.empty() || log.held())
        return;
    const auto furthest = std::max_element(
        m_sources.begin(), m_sources.end(),
        [](const Source &left, const Source &right) { return left.position < right.position; });
    m_asked = furthest->host;
    m_answerBy = context.now + timing::patchRequestTimeout;
    const std::uint64_t next = log.position() + 1;
    if (m_incomingPosition > log.position()) {
        context.send(m_asked, SnapshotRequest{ m_incomingPosition, m_incoming.size() });
        return;
    }
    const std::uint64_t offset = m_partialNumber == next ? m_partial.size() : 0;
    context.send(m_asked, PatchRequest{ next, offset });
}

bool PatchExchange::answers(HostId from)
{
    if (from != m_asked)
        return false;
    m_asked = {};
    return true;
}

void PatchExchange::dropSource(HostId host)
{
    std::erase_if(m_sources, [host](const Source &source) { return source.host == host; });
    // Another host's snapshot may be of another position.
    m_incomingPosition = 0;
    m_incoming.clear();
}

void PatchExchange::onRequest(StepContext &context, HostId from, const PatchRequest &request,
                              const ConfigurationLog &log)
{
    if (log.patch(request.number)) {
        sendPatches(context, from, request, log);
    } else if (request.number <= log.position()) {
        if (m_outgoingPosition != log.position() || m_outgoing.empty()) {
            m_outgoing = log.snapshot();
            m_outgoingPosition = log.position();
        }
        sendPart(context, from, 0);
        m_outgoingUsed = context.now;
    } else {
        context.send(from, PatchBatch{ log.position(), {} });
    }
}

void PatchExchange::onRequest(StepContext &context, HostId from, const SnapshotRequest &request,
                              const ConfigurationLog &log)
{
    const bool isKept = request.position == m_outgoingPosition && !m_outgoing.empty()
                        && request.offset <= m_outgoing.size();
    if (!isKept) {
        // The snapshot has gone; begin with the present one.
        onRequest(context, from, PatchRequest{ request.position, 0 }, log);
        return;
    }
    sendPart(context, from, request.offset);
    m_outgoingUsed = context.now;
}

void PatchExchange::sendPart(StepContext &context, HostId to, std::uint64_t offset) const
{
    context.send(to, SnapshotPart{ m_outgoingPosition, m_outgoing.size(), offset,
                                   m_outgoing.substr(offset, messagePayloadBytes) });
}

void PatchExchange::sendPatches(StepContext &context, HostId to, const PatchRequest &request,
                                const ConfigurationLog &log) const
{
    /// Bytes of a piece besides those of the patch.
    constexpr std::size_t pieceOverhead = 64;
    PatchBatch batch{ log.position(), {} };
    std::size_t room = messagePayloadBytes;
    std::uint64_t offset = request.offset;
    for (std::uint64_t number = request.number; room > pieceOverhead; ++number) {
        const std::string *text = log.patch(number);
        if (!text)
            break;
        offset = std::min<std::uint64_t>(offset, text->size());
        room -= pieceOverhead;
        PatchPiece piece{ number, text->size(), offset, text->substr(offset, room) };
        room -= piece.bytes.size();
        batch.pieces.push_back(std::move(piece));
        offset = 0;
    }
    context.send(to, std::move(batch));
}

void PatchExchange::onBatch(const StepContext &context, HostId from, const PatchBatch &batch,
                            ConfigurationLog &log)
{
    if (!answers(from))
        return;
    if (batch.pieces.empty())
        dropSource(from);
    else
        onAhead(context, from, batch.position);
    for (const PatchPiece &piece : batch.pieces) {
        if (piece.number != log.position() + 1)
            continue;
        if (m_partialNumber != piece.number || piece.offset == 0) {
            m_partialNumber = piece.number;
            m_partial.clear();
        }
        if (piece.offset != m_partial.size() || piece.size > largestSnapshotBytes)
            return;
        m_partial += piece.bytes;
        if (m_partial.size() < piece.size)
            return;
        log.append(piece.number, std::move(m_partial), context.now);
        m_partial.clear();
        m_partialNumber = 0;
    }
}

void PatchExchange::onChunk(StepContext &context, HostId from, const SnapshotPart &part,
                            ConfigurationLog &log)
{
    if (!answers(from))
        return;
    if (part.position <= log.position())
        return;
    if (part.position != m_incomingPosition || part.offset == 0) {
        m_incomingPosition = part.position;
        m_incoming.clear();
    }
    const bool fits = part.offset == m_incoming.size() && part.size <= largestSnapshotBytes
                      && (!part.bytes.empty() || part.size == part.offset);
    if (!fits) {
        dropSource(from);
        return;
    }
    onAhead(context, from, part.position);
    m_incoming += part.bytes;
    if (m_incoming.size() < part.size)
        return;
    const std::string text = std::move(m_incoming);
    m_incoming.clear();
    m_incomingPosition = 0;
    if (log.install(part.position, text))
        dropSource(from);
}

} // namespace currantreel
