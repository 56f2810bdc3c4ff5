#ifndef CURRANTREEL_LIMITS_ANSWERLENGTHS_H
#define CURRANTREEL_LIMITS_ANSWERLENGTHS_H

#include "../Core/Id.h"
#include <cstdint>
#include <memory>

namespace currantreel {

/// Lengths of answers by class, learned from whole answers. Older answers fade, so that a change of
/// habit is followed.
class AnswerLengths
{
public:
    AnswerLengths();
    ~AnswerLengths();
    AnswerLengths(AnswerLengths &&) noexcept;
    AnswerLengths &operator=(AnswerLengths &&) noexcept;
    AnswerLengths(const AnswerLengths &) = delete;
    AnswerLengths &operator=(const AnswerLengths &) = delete;

    /// Takes the length of a whole answer in tokens.
    void add(ClassId requestClass, std::uint32_t tokens);

    /// Length that nine of ten answers of the class do not exceed; `defaultLength` before enough
    /// answers were seen.
    [[nodiscard]] std::uint32_t upper(ClassId requestClass) const;

    /// Length that three of four answers of the class exceed; 0 before enough answers were seen.
    [[nodiscard]] std::uint32_t lower(ClassId requestClass) const;

    /// Assumed length of an answer of a class that was not seen yet.
    static constexpr std::uint32_t defaultLength = 256;

private:
    struct Learned;

    std::unique_ptr<Learned> m_learned;
};

} // namespace currantreel

#endif
