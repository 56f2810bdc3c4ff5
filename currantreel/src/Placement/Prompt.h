#ifndef CURRANTREEL_PLACEMENT_PROMPT_H
#define CURRANTREEL_PLACEMENT_PROMPT_H

#include <algorithm>
#include <cstdint>
#include <limits>
#include <span>
#include <vector>
#include <xxhash.h>

namespace currantreel {

/// A segment of a prompt, which several requests may have in common.
struct PromptSegment
{
    std::uint64_t id = 0; ///< Equal for segments with equal content.
    std::uint32_t tokens = 0;
};

/// Size and composition of the prompt of a request for a model engine.
struct Prompt
{
    /// Segments that are told apart. Usual prompts have a few; one of a caller out of control may have
    /// thousands, which would fill tables here and at owners.
    static constexpr std::size_t maxSegments = 64;

    /// In the order of the prompt; the last one is specific to the request.
    std::vector<PromptSegment> segments;
    std::uint32_t tokens = 0; ///< Length of the complete prompt.
    std::uint32_t maxAnswerTokens = 0; ///< Upper bound of the answer's length.

    /// Tokens reserved in an engine's memory until the request ends.
    [[nodiscard]] std::uint32_t reservedTokens() const { return tokens + maxAnswerTokens; }

    /// What the request costs an engine, in tokens that it prefills or writes.
    /// @param uncached tokens of the prompt that the engine has to prefill.
    [[nodiscard]] double cost(std::uint32_t uncached) const
    {
        return static_cast<double>(uncached) + maxAnswerTokens;
    }

    /// Segments that other requests may share: all but the last one.
    [[nodiscard]] std::span<const PromptSegment> sharedSegments() const
    {
        return std::span(segments).first(segments.empty() ? 0 : segments.size() - 1);
    }

    /// Identifies the whole prompt, with its last segment; 0 if there are no segments.
    [[nodiscard]] std::uint64_t digest() const
    {
        const std::vector<std::uint64_t> ids = segmentIds();
        return ids.empty() ? 0 : XXH3_64bits(ids.data(), ids.size() * sizeof(ids.front()));
    }

    /// Of more than maxSegments, makes those before the last one a single segment. Two prompts have it
    /// in common if they have all its parts in common.
    void limitSegments()
    {
        if (segments.size() <= maxSegments)
            return;
        const std::vector<std::uint64_t> ids = segmentIds();
        constexpr std::size_t kept = maxSegments - 2;
        std::uint64_t mergedTokens = 0;
        for (std::size_t i = kept; i + 1 < segments.size(); ++i)
            mergedTokens += segments[i].tokens;
        PromptSegment merged;
        merged.id = XXH3_64bits(&ids[kept], (ids.size() - 1 - kept) * sizeof(ids.front()));
        merged.tokens = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(mergedTokens, std::numeric_limits<std::uint32_t>::max()));
        segments[kept] = merged;
        segments[kept + 1] = segments.back();
        segments.resize(maxSegments);
    }

    /// Identifiers of all segments, in their order.
    [[nodiscard]] std::vector<std::uint64_t> segmentIds() const
    {
        std::vector<std::uint64_t> ids;
        ids.reserve(segments.size());
        for (const PromptSegment &segment : segments)
            ids.push_back(segment.id);
        return ids;
    }

    /// Identifier of the shared prefix, such as a document or session: that of the last segment
    /// that other requests share, or of the only segment; 0 if there are no segments.
    [[nodiscard]] std::uint64_t sharedPrefix() const
    {
        if (segments.empty())
            return 0;
        return segments.size() > 1 ? segments[segments.size() - 2].id : segments.front().id;
    }
};

} // namespace currantreel

#endif
