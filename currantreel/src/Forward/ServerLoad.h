#ifndef CURRANTREEL_FORWARD_SERVERLOAD_H
#define CURRANTREEL_FORWARD_SERVERLOAD_H

#include <cstdint>

namespace currantreel {

/// Work at one backend server.
struct ServerLoad
{
    std::uint32_t requests = 0; ///< Sent and not ended.
    std::uint64_t unreadTokens = 0; ///< Of prompts whose answer has not begun.
    std::uint64_t heldTokens = 0; ///< Memory that the requests need until they end.

    void add(const ServerLoad &other)
    {
        requests += other.requests;
        unreadTokens += other.unreadTokens;
        heldTokens += other.heldTokens;
    }
};

} // namespace currantreel

#endif
