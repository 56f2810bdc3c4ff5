#include "SseScanner.h"

#include <algorithm>
#include <cstring>

namespace currantreel {

namespace {

constexpr std::string_view dataField = "data:";
constexpr std::string_view endMarker = "[DONE]";

} // namespace

std::uint32_t SseScanner::finishLine()
{
    std::string_view line(m_prefix, std::min(m_lineLength, prefixBytes));
    const bool isStoredCompletely = m_lineLength <= prefixBytes;
    m_lineLength = 0;
    if (line.substr(0, dataField.size()) != dataField)
        return 0;
    line.remove_prefix(dataField.size());
    if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    if (isStoredCompletely && line == endMarker) {
        m_isEnded = true;
        return 0;
    }
    return 1;
}

std::uint32_t SseScanner::scan(std::string_view bytes)
{
    std::uint32_t events = 0;
    while (!bytes.empty()) {
        const std::size_t newline = std::min(bytes.find('\n'), bytes.size());
        if (m_lineLength < prefixBytes) {
            const std::size_t count = std::min(newline, prefixBytes - m_lineLength);
            std::memcpy(m_prefix + m_lineLength, bytes.data(), count);
        }
        m_lineLength += newline;
        if (newline == bytes.size())
            return events;
        events += finishLine();
        bytes.remove_prefix(newline + 1);
    }
    return events;
}

} // namespace currantreel
