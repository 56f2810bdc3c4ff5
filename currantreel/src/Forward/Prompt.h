#ifndef CURRANTREEL_FORWARD_PROMPT_H
#define CURRANTREEL_FORWARD_PROMPT_H

#include <cstdint>
#include <vector>

namespace currantreel {

/// A run of prompt tokens that several requests may begin with.
struct PromptSegment
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What a request for a model engine says of its size.
struct Prompt
{
    std::vector<PromptSegment>
        segments; ///< In the order of the prompt; the last one is the request's own.
    std::uint32_t tokens = 0; ///< The whole prompt.
    std::uint32_t maxAnswerTokens = 0;

    /// Tokens that the request needs in an engine's memory until it ends.
    [[nodiscard]] std::uint32_t heldTokens() const { return tokens + maxAnswerTokens; }

    /// Part that marks the subject or session: the last one that other requests share; 0 if none.
    [[nodiscard]] std::uint64_t subject() const
    {
        if (segments.empty())
            return 0;
        return segments.size() > 1 ? segments[segments.size() - 2].id : segments.front().id;
    }
};

} // namespace currantreel

#endif
