#ifndef CURRANTREEL_PLACEMENT_SERVERLOAD_H
#define CURRANTREEL_PLACEMENT_SERVERLOAD_H

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace currantreel {

/// Number of ranks that a server's load is counted by; less urgent ranks count as the last one.
inline constexpr std::uint32_t rankCount = 10;

/// Work at one backend server.
struct LoadAmount
{
    std::uint32_t requests = 0; ///< Requests in progress.
    std::uint64_t uncachedTokens = 0; ///< Uncached prompt tokens of requests in prefill.
    std::uint64_t reservedTokens = 0; ///< KV cache tokens reserved by requests in progress.

    void add(const LoadAmount &other)
    {
        requests += other.requests;
        uncachedTokens += other.uncachedTokens;
        reservedTokens += other.reservedTokens;
    }
};

/// Load of one backend server by the rank of its requests. Engines run more urgent requests first,
/// so a request is delayed by those of its own rank and of more urgent ones only.
class ServerLoad
{
public:
    /// Adds a request.
    /// @param rank 0 is the most urgent.
    /// @param uncached prompt tokens to prefill.
    /// @param reserved tokens reserved until the request ends.
    void start(std::uint32_t rank, std::uint64_t uncached, std::uint64_t reserved)
    {
        of(rank).add(LoadAmount{ 1, uncached, reserved });
    }

    /// Subtracts @p uncached tokens after their prefill. Counts are clamped at zero, since a server
    /// that was removed and announced again starts from empty counts.
    void finishPrefill(std::uint32_t rank, std::uint64_t uncached)
    {
        LoadAmount &load = of(rank);
        load.uncachedTokens -= std::min(uncached, load.uncachedTokens);
    }

    /// Removes a request for which @p reserved tokens were reserved.
    void finish(std::uint32_t rank, std::uint64_t reserved)
    {
        LoadAmount &load = of(rank);
        load.requests -= std::min(1U, load.requests);
        load.reservedTokens -= std::min(reserved, load.reservedTokens);
    }

    /// Load by the requests of @p rank and of more urgent ones.
    [[nodiscard]] LoadAmount upTo(std::uint32_t rank) const
    {
        LoadAmount sum;
        for (std::uint32_t i = 0; i <= std::min(rank, rankCount - 1); ++i)
            sum.add(m_ranks[i]);
        return sum;
    }

    /// Load by all requests.
    [[nodiscard]] LoadAmount total() const { return upTo(rankCount - 1); }

private:
    LoadAmount &of(std::uint32_t rank) { return m_ranks[std::min(rank, rankCount - 1)]; }

    std::array<LoadAmount, rankCount> m_ranks;
};

} // namespace currantreel

#endif
