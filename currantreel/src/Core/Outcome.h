#ifndef CURRANTREEL_CORE_OUTCOME_H
#define CURRANTREEL_CORE_OUTCOME_H

#include <cstdint>
#include <string_view>

namespace currantreel {

/// What a caller is told about the run of its request. The three are never merged.
enum class Outcome : std::uint8_t {
    Completed, ///< The backend server's whole answer was received.
    NotRun, ///< No byte reached a backend server's socket, or the backend server says it did not run.
    Unknown, ///< Something was written and no whole answer came back.
};

/// Name of @p outcome as it stands in replies to callers.
[[nodiscard]] constexpr std::string_view name(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return "completed";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace currantreel

#endif
