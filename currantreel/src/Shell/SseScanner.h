#ifndef CURRANTREEL_SHELL_SSESCANNER_H
#define CURRANTREEL_SHELL_SSESCANNER_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace currantreel {

/// Incremental scanner of server-sent events: counts data events and detects the end marker
/// `data: [DONE]`. The stream may be split into chunks at any byte.
class SseScanner
{
public:
    /// Scans the next bytes. Returns the number of data lines completed in them, without the end
    /// marker.
    std::uint32_t scan(std::string_view bytes);

    /// True once the end marker was read.
    [[nodiscard]] bool isEnded() const { return m_isEnded; }

private:
    std::uint32_t finishLine();

    static constexpr std::size_t prefixBytes = 16; ///< Enough to recognize the end marker.

    char m_prefix[prefixBytes]{}; ///< First bytes of the current line.
    std::size_t m_lineLength = 0;
    bool m_isEnded = false;
};

} // namespace currantreel

#endif
