#ifndef CURRANTREEL_FORWARD_SERVERLOAD_H
#define CURRANTREEL_FORWARD_SERVERLOAD_H

#include <algorithm>
#include <cstdint>

namespace currantreel {

/// Load of one backend server.
struct ServerLoad
{
    std::uint32_t requests = 0; ///< Requests in progress.
    std::uint64_t uncachedTokens = 0; ///< Uncached prompt tokens of requests in prefill.
    std::uint64_t reservedTokens = 0; ///< KV cache tokens reserved by requests in progress.

    /// Adds a request.
    /// @param uncached prompt tokens to prefill.
    /// @param reserved tokens reserved until the request ends.
    void start(std::uint64_t uncached, std::uint64_t reserved)
    {
        requests += 1;
        uncachedTokens += uncached;
        reservedTokens += reserved;
    }

    /// Subtracts @p uncached tokens after their prefill. Counts are clamped at zero, since a server
    /// that was removed and announced again starts from empty counts.
    void finishPrefill(std::uint64_t uncached)
    {
        uncachedTokens -= std::min(uncached, uncachedTokens);
    }

    /// Removes a request for which @p reserved tokens were reserved.
    void finish(std::uint64_t reserved)
    {
        requests -= std::min(1U, requests);
        reservedTokens -= std::min(reserved, reservedTokens);
    }

    void add(const ServerLoad &other)
    {
        requests += other.requests;
        uncachedTokens += other.uncachedTokens;
        reservedTokens += other.reservedTokens;
    }
};

} // namespace currantreel

#endif
