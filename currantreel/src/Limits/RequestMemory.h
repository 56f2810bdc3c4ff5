#ifndef CURRANTREEL_LIMITS_REQUESTMEMORY_H
#define CURRANTREEL_LIMITS_REQUESTMEMORY_H

#include "../Core/HttpHeader.h"
#include <cstddef>
#include <cstdint>
#include <optional>

namespace currantreel {

class RequestMemory;

/// Part of a RequestMemory that one request holds until this is destroyed.
class HeldMemory
{
public:
    HeldMemory() = default;
    HeldMemory(HeldMemory &&other) noexcept;
    HeldMemory &operator=(HeldMemory &&other) noexcept;
    HeldMemory(const HeldMemory &) = delete;
    HeldMemory &operator=(const HeldMemory &) = delete;
    ~HeldMemory();

private:
    friend class RequestMemory;
    HeldMemory(RequestMemory &memory, std::size_t bytes) : m_memory(&memory), m_bytes(bytes) { }

    RequestMemory *m_memory = nullptr;
    std::size_t m_bytes = 0;
};

/// Bounds the memory of all requests in progress: from when a request is complete until its exchange
/// ends. Their bodies are kept so that they can be sent again, and servers may take long.
///
/// It has to outlive what it hands out.
class RequestMemory
{
public:
    /// The last quarter of the memory is for requests up to this size, so that large ones cannot keep out
    /// usual ones.
    static constexpr std::size_t usualRequestBytes = 32UL * 1024;
    /// The bound is at least so many times the largest request, so that one alone is always served.
    static constexpr std::size_t minLargestRequests = 2;

    explicit RequestMemory(std::size_t maxBytes) : m_configuredBytes(maxBytes), m_maxBytes(maxBytes)
    {
    }
    RequestMemory(const RequestMemory &) = delete;
    RequestMemory &operator=(const RequestMemory &) = delete;

    /// Sets the size limits of requests.
    void setLargestRequest(std::size_t headerBytes, std::size_t bodyBytes);

    /// Holds memory for a request of @p bytes; nothing if there is no room, and the request has to be refused.
    [[nodiscard]] std::optional<HeldMemory> hold(std::size_t bytes);

    /// A request was refused before it was complete.
    void countRefused() { ++m_refused; }

    /// Whether there is room for a request of @p bytes.
    [[nodiscard]] bool hasRoom(std::size_t bytes) const;

    /// Bytes of all requests in progress.
    [[nodiscard]] std::size_t total() const { return m_total; }
    /// Number of requests refused since there was no room.
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

private:
    friend class HeldMemory;

    std::size_t m_configuredBytes;
    std::size_t m_maxBytes; ///< As configured, or more for the largest request.
    std::size_t m_total = 0;
    std::uint64_t m_refused = 0;
};

/// Memory that a request takes while it is in progress, estimated. @return bytes.
[[nodiscard]] std::size_t memoryOfRequest(const HttpHeaders &headers, std::size_t bodyBytes);

} // namespace currantreel

#endif
