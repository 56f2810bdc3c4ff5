#ifndef CURRANTREEL_PEER_VALUECOMPRESSION_H
#define CURRANTREEL_PEER_VALUECOMPRESSION_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace currantreel::detail {

/// Values smaller than this are sent as they are.
inline constexpr std::size_t minCompressedValueBytes = 1024;

/// Compresses @p value for the way between hosts, whose links are slow beside its size.
/// @return nothing if that would not make it smaller.
[[nodiscard]] std::optional<std::string> compressValue(std::string_view value);

/// Restores a value.
/// @param fullBytes its size before compression; the caller has checked that it may be so large.
/// @return nothing if @p compressed is not a value of exactly that size.
[[nodiscard]] std::optional<std::string> decompressValue(std::string_view compressed,
                                                         std::size_t fullBytes);

} // namespace currantreel::detail

#endif
