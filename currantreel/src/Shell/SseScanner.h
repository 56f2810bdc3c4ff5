#ifndef CURRANTREEL_SHELL_SSESCANNER_H
#define CURRANTREEL_SHELL_SSESCANNER_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace currantreel {

/// Counts the events of a stream of server-sent events and looks for its end mark, `data: [DONE]`.
/// Bytes may come in pieces of any size.
class SseScanner
{
public:
    /// Reads the next bytes. Returns the number of data events that were completed in them, the end
    /// mark not counted.
    std::uint32_t scan(std::string_view bytes);

    /// True once the end mark was read.
    [[nodiscard]] bool isEnded() const { return m_isEnded; }

private:
    std::uint32_t endLine();

    static constexpr std::size_t prefixBytes = 16; ///< Enough to tell every line kind apart.

    char m_prefix[prefixBytes]{}; ///< Start of the current line.
    std::size_t m_lineLength = 0;
    bool m_isEnded = false;
};

} // namespace currantreel

#endif
