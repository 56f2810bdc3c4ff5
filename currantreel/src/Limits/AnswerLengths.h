#ifndef CURRANTREEL_LIMITS_ANSWERLENGTHS_H
#define CURRANTREEL_LIMITS_ANSWERLENGTHS_H

#include "../Core/Id.h"
#include <cstdint>
#include <memory>

namespace currantreel {

/// Quantiles of the answer length by request class, estimated from complete answers. Older answers
/// weigh less, so that the estimate follows changes.
class AnswerLengths
{
public:
    AnswerLengths();
    ~AnswerLengths();
    AnswerLengths(AnswerLengths &&) noexcept;
    AnswerLengths &operator=(AnswerLengths &&) noexcept;
    AnswerLengths(const AnswerLengths &) = delete;
    AnswerLengths &operator=(const AnswerLengths &) = delete;

    /// Adds the length of a complete answer in tokens.
    void add(ClassId requestClass, std::uint32_t tokens);

    /// 90th percentile of the answer lengths of the class, in tokens; `defaultLength` until there
    /// are enough samples.
    [[nodiscard]] std::uint32_t upper(ClassId requestClass) const;

    /// 25th percentile of the answer lengths of the class, in tokens; 0 until there are enough
    /// samples.
    [[nodiscard]] std::uint32_t lower(ClassId requestClass) const;

    /// Assumed answer length, in tokens, of a class without enough samples.
    static constexpr std::uint32_t defaultLength = 256;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

} // namespace currantreel

#endif
