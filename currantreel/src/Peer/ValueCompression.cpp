#include "ValueCompression.h"

#include <zstd.h>

namespace currantreel::detail {

namespace {

/// The fastest regular level: a host may have a tenth of a processor core.
constexpr int compressionLevel = 1;

} // namespace

std::optional<std::string> compressValue(std::string_view value)
{
    std::string compressed(ZSTD_compressBound(value.size()), '\0');
    const std::size_t bytes = ZSTD_compress(compressed.data(), compressed.size(), value.data(),
                                            value.size(), compressionLevel);
    if (ZSTD_isError(bytes) != 0 || bytes >= value.size())
        return std::nullopt;
    compressed.resize(bytes);
    return compressed;
}

std::optional<std::string> decompressValue(std::string_view compressed, std::size_t fullBytes)
{
    std::string value(fullBytes, '\0');
    const std::size_t bytes =
        ZSTD_decompress(value.data(), value.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(bytes) != 0 || bytes != fullBytes)
        return std::nullopt;
    return value;
}

} // namespace currantreel::detail
