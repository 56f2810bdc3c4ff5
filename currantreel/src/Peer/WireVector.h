#ifndef CURRANTREEL_PEER_WIREVECTOR_H
#define CURRANTREEL_PEER_WIREVECTOR_H

#include <cstdint>
#include <flatbuffers/flatbuffers.h>

namespace currantreel::detail {

/// Returns true if the elements of a verified vector are aligned as their type requires, or if the
/// vector is absent or empty. FlatBuffers' verifier checks the alignment of a vector's length, not
/// that of its elements.
template <typename Struct>
[[nodiscard]] bool isAligned(const flatbuffers::Vector<const Struct *> *items)
{
    return !items || items->size() == 0
           || reinterpret_cast<std::uintptr_t>(items->Data()) % alignof(Struct) == 0;
}

/// @copydoc isAligned
[[nodiscard]] inline bool isAligned(const flatbuffers::Vector<std::uint64_t> *items)
{
    return !items || items->size() == 0
           || reinterpret_cast<std::uintptr_t>(items->Data()) % alignof(std::uint64_t) == 0;
}

} // namespace currantreel::detail

#endif
