#include "RequestMemory.h"

#include <algorithm>
#include <utility>

namespace currantreel {

namespace {

/// A head stands in memory three times: as the HTTP library read it, as it is to be forwarded, and in the
/// library's request to the server.
constexpr std::size_t headCopies = 3;
/// Memory of a header besides its text, in all copies.
constexpr std::size_t bytesPerHeader = 288;
/// Of the objects for a request.
constexpr std::size_t bytesPerRequest = 2UL * 1024;
/// Published sizes above this one count as this one, so that sums fit their type.
constexpr std::size_t maxPartBytes = 1024UL * 1024 * 1024;
/// Memory of the largest head that is taken in, per byte of its limit; see CallerBuffers.
constexpr std::size_t largestHeadFactor = 12 * headCopies;

} // namespace

HeldMemory::HeldMemory(HeldMemory &&other) noexcept
    : m_memory(std::exchange(other.m_memory, nullptr)), m_bytes(other.m_bytes)
{
}

HeldMemory &HeldMemory::operator=(HeldMemory &&other) noexcept
{
    std::swap(m_memory, other.m_memory);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

HeldMemory::~HeldMemory()
{
    if (m_memory)
        m_memory->m_total -= m_bytes;
}

void RequestMemory::setLargestRequest(std::size_t headerBytes, std::size_t bodyBytes)
{
    const std::size_t largest = bytesPerRequest + std::min(bodyBytes, maxPartBytes)
                                + largestHeadFactor * std::min(headerBytes, maxPartBytes);
    m_maxBytes = std::max(m_configuredBytes, largest * minLargestRequests);
}

bool RequestMemory::hasRoom(std::size_t bytes) const
{
    const std::size_t forUsual = bytes > usualRequestBytes ? m_maxBytes / 4 : 0;
    return m_total + bytes <= m_maxBytes - forUsual;
}

std::optional<HeldMemory> RequestMemory::hold(std::size_t bytes)
{
    if (!hasRoom(bytes)) {
        ++m_refused;
        return std::nullopt;
    }
    m_total += bytes;
    return HeldMemory(*this, bytes);
}

std::size_t memoryOfRequest(const HttpHeaders &headers, std::size_t bodyBytes)
{
    std::size_t bytes = bytesPerRequest + bodyBytes;
    for (const HttpHeader &header : headers)
        bytes += headCopies * (header.name.size() + header.value.size()) + bytesPerHeader;
    return bytes;
}

} // namespace currantreel
