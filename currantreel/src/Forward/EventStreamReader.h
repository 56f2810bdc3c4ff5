#ifndef CURRANTREEL_FORWARD_EVENTSTREAMREADER_H
#define CURRANTREEL_FORWARD_EVENTSTREAMREADER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace currantreel {

/// Splits a stream of server-sent events into complete events and tracks their identifiers, so that
/// a broken stream can be resumed after the last complete event. Input may arrive in chunks of any
/// size.
class EventStreamReader
{
public:
    /// Maximum size of an event.
    static constexpr std::size_t maxEventBytes = 1024UL * 1024;

    /// @param lastId identifier of the event after which the stream resumes; empty for a new
    /// stream.
    explicit EventStreamReader(std::string lastId = {}) : m_lastId(std::move(lastId)) { }

    /// Appends the next bytes of the stream.
    void add(std::string_view bytes);

    /// Removes and returns the bytes of all complete events.
    [[nodiscard]] std::string takeComplete();

    [[nodiscard]] bool hasComplete() const { return m_completeBytes > 0; }
    /// True if an event was completed since the last call of takeComplete(). Comments and empty
    /// lines, which servers send to keep a connection open, are no events.
    [[nodiscard]] bool hasNewEvent() const { return m_eventsEnd > 0; }
    /// True if the input so far ends within an event.
    [[nodiscard]] bool isWithinEvent() const { return m_buffer.size() > m_completeBytes; }
    /// True if an identifier was not greater than the previous one.
    [[nodiscard]] bool isOutOfOrder() const { return m_isOutOfOrder; }
    /// True if the bytes since the last event are more than an event may have.
    [[nodiscard]] bool isOversized() const { return m_buffer.size() - m_eventsEnd > maxEventBytes; }
    /// Bytes of memory for the complete events that were not taken, and for the event in progress.
    [[nodiscard]] std::size_t heldBytes() const
    {
        return m_buffer.capacity() + m_eventId.capacity() + m_lastId.capacity();
    }
    /// Identifier of the last complete event.
    [[nodiscard]] const std::string &lastId() const { return m_lastId; }

private:
    void endLine(std::string_view line, std::size_t end);
    void endEvent(std::size_t end);

    std::string m_buffer;
    std::size_t m_completeBytes = 0; ///< Length of the complete events at the start of the buffer.
    std::size_t m_eventsEnd = 0; ///< End of the last complete event that is no comment.
    std::size_t m_lineStart = 0;
    bool m_hasField = false; ///< The event in progress has a line other than a comment.
    std::string m_eventId; ///< Identifier of the event in progress.
    std::string m_lastId;
    bool m_isOutOfOrder = false;
};

} // namespace currantreel

#endif
