#ifndef CURRANTREEL_FORWARD_EVENTSTREAMREADER_H
#define CURRANTREEL_FORWARD_EVENTSTREAMREADER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace currantreel {

/// Splits a stream of server-sent events into whole events and follows their identifiers, so that a
/// broken stream can go on behind the last whole event. Bytes may come in pieces of any size.
class EventStreamReader
{
public:
    /// @param lastId identifier after which the stream goes on; empty for a stream from its start.
    explicit EventStreamReader(std::string lastId = {}) : m_lastId(std::move(lastId)) { }

    /// Takes the next bytes.
    void add(std::string_view bytes);

    /// Bytes of the whole events that were not taken yet.
    [[nodiscard]] std::string takeComplete();

    [[nodiscard]] bool hasComplete() const { return m_wholeBytes > 0; }
    /// True if the bytes so far end within an event.
    [[nodiscard]] bool isWithinEvent() const { return m_buffer.size() > m_wholeBytes; }
    /// True if an identifier was not above the one before it.
    [[nodiscard]] bool isOutOfOrder() const { return m_isOutOfOrder; }
    /// Identifier of the last whole event.
    [[nodiscard]] const std::string &lastId() const { return m_lastId; }

private:
    void endLine(std::string_view line, std::size_t end);
    void endEvent(std::size_t end);

    std::string m_buffer;
    std::size_t m_wholeBytes = 0; ///< Length of the whole events at the start of the buffer.
    std::size_t m_lineStart = 0;
    std::string m_eventId; ///< Of the event that is being read.
    std::string m_lastId;
    bool m_isOutOfOrder = false;
};

} // namespace currantreel

#endif
