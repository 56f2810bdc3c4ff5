#ifndef CURRANTREEL_CORE_OUTCOME_H
#define CURRANTREEL_CORE_OUTCOME_H

#include <cstdint>
#include <string_view>

namespace currantreel {

/// Whether a request was run, as reported to its caller. The three values are never merged.
enum class Outcome : std::uint8_t {
    Completed, ///< The backend server's complete answer was received.
    NotRun, ///< No byte was written to a backend server, or the server reports the request not run.
    Unknown, ///< Bytes were written, but no complete answer was received.
};

/// Name of @p outcome as written in replies to callers.
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
