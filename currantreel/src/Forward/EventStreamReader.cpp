#include "EventStreamReader.h"

#include "../Core/ParseNumber.h"

namespace currantreel {

namespace {

constexpr std::string_view idField = "id:";
/// First character of a comment line.
constexpr char commentMark = ':';

} // namespace

void EventStreamReader::add(std::string_view bytes)
{
    m_buffer += bytes;
    while (true) {
        const std::size_t end = m_buffer.find('\n', m_lineStart);
        if (end == std::string::npos)
            return;
        std::string_view line(m_buffer.data() + m_lineStart, end - m_lineStart);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        endLine(line, end + 1);
        m_lineStart = end + 1;
    }
}

void EventStreamReader::endLine(std::string_view line, std::size_t end)
{
    if (line.empty()) {
        endEvent(end);
        return;
    }
    m_hasField = m_hasField || line.front() != commentMark;
    if (line.compare(0, idField.size(), idField) != 0)
        return;
    line.remove_prefix(idField.size());
    if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    m_eventId = line;
}

void EventStreamReader::endEvent(std::size_t end)
{
    m_completeBytes = end;
    if (m_hasField)
        m_eventsEnd = end;
    m_hasField = false;
    if (m_eventId.empty())
        return;
    const auto last = parseNumber(m_lastId);
    const auto next = parseNumber(m_eventId);
    if (last && next && *next <= *last)
        m_isOutOfOrder = true;
    m_lastId = std::move(m_eventId);
    m_eventId.clear();
}

std::string EventStreamReader::takeComplete()
{
    // The event in progress moves to a buffer of its own size, so that a long event's memory is freed.
    std::string inProgress = m_buffer.substr(m_completeBytes);
    m_buffer.resize(m_completeBytes);
    std::string complete = std::move(m_buffer);
    m_buffer = std::move(inProgress);
    m_lineStart -= m_completeBytes;
    m_completeBytes = 0;
    m_eventsEnd = 0;
    return complete;
}

} // namespace currantreel
