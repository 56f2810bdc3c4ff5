#ifndef CURRANTREEL_FORWARD_SERVERLOAD_H
#define CURRANTREEL_FORWARD_SERVERLOAD_H

#include <algorithm>
#include <cstdint>

namespace currantreel {

/// Work at one backend server.
struct ServerLoad
{
    std::uint32_t requests = 0; ///< Sent and not ended.
    std::uint64_t unreadTokens = 0; ///< Of prompts whose answer has not begun.
    std::uint64_t heldTokens = 0; ///< Memory that the requests need until they end.

    /// A request is sent. @param unread tokens that the server has to read. @param held tokens that it
    /// needs in memory until it ends.
    void start(std::uint64_t uncached, std::uint64_t reserved)
    {
        requests += 1;
        unreadTokens += uncached;
        heldTokens += reserved;
    }

    /// The server has read @p unread tokens. Counts stay at zero or above, since a server that is
    /// announced anew begins without those of before.
    void finishReading(std::uint64_t uncached) { unreadTokens -= std::min(uncached, unreadTokens); }

    /// A request that held @p held tokens ended.
    void finish(std::uint64_t reserved)
    {
        requests -= std::min(1U, requests);
        heldTokens -= std::min(reserved, heldTokens);
    }

    void add(const ServerLoad &other)
    {
        requests += other.requests;
        unreadTokens += other.unreadTokens;
        heldTokens += other.heldTokens;
    }
};

} // namespace currantreel

#endif
