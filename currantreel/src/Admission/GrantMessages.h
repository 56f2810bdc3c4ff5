#ifndef CURRANTREEL_ADMISSION_GRANTMESSAGES_H
#define CURRANTREEL_ADMISSION_GRANTMESSAGES_H

#include "../Configuration/Configuration.h"
#include "../Core/Id.h"
#include "../Core/Outcome.h"
#include "../Core/ResultCode.h"
#include "../Core/Time.h"
#include <functional>
#include <variant>
#include <vector>

namespace currantreel {

/// Identifies what a request is for: a model served by engines, or a plain service. Derived from
/// its name.
using TargetId = Id<struct TargetTag>;

/// Identifies a grant request at its owner: the entry host and the request's identifier there.
struct GrantId
{
    HostId entry;
    RequestId request;

    [[nodiscard]] constexpr bool isValid() const { return request.isValid(); }
    friend constexpr auto operator<=>(const GrantId &, const GrantId &) = default;
};

/// Entry to owner: requests a slot of a backend server. Times are relative to sending, because
/// hosts share no clock.
struct GrantRequest
{
    GrantId id;
    TargetId target;
    ClassId requestClass;
    Tier tier = 0;
    WorkspaceId workspace;
    double share = 1.0; ///< Weight of the workspace.
    Duration firstTokenTimeLeft{}; ///< Time until the deadline of the first token; may be negative.
    Duration answerTimeLeft{}; ///< Time until the deadline of the answer; may be negative.
    Duration queueBound{}; ///< Maximum time in the queue.
    bool isWorthlessWhenLate = false;
    bool isPreemptible = false;
    std::uint32_t promptTokens = 0;
    std::uint32_t predictedTokens = 0;
    std::uint64_t prefixHash = 0;
    BackendServerId avoid; ///< Server on which this request just failed, if any.
};

/// Owner to entry: the request has the slot until the lease expires.
struct Granted
{
    GrantId id;
    LeaseId lease;
    BackendServerId server;
    Duration leaseDuration{};
};

/// Owner to entry: the request is shed and gets no grant.
struct GrantShed
{
    GrantId id;
    ResultCode code = ResultCode::QueueFull;
    Duration retryAfter{};
};

/// Owner to entry: the request is no longer queued here, because another host now owns the servers.
/// It has not run; the entry host has to request a grant again.
struct GrantMoved
{
    GrantId id;
};

/// Owner to entry: cancel the work that runs under this lease, because a higher tier needs the
/// slot.
struct LeasePreempted
{
    GrantId id;
    LeaseId lease;
};

/// Entry to owner: the caller disconnected or the request ended while queued.
struct GrantWithdrawn
{
    GrantId id;
};

/// How the work under a lease ended, as far as the owner distinguishes it.
enum class LeaseEnd : std::uint8_t { Completed, Cancelled, Refused, Failed };

/// Entry to owner: the slot is free again. Reports the end and the latencies of the attempt.
struct LeaseReleased
{
    GrantId id;
    LeaseId lease;
    BackendServerId server;
    LeaseEnd end = LeaseEnd::Completed;
    std::uint32_t tokens = 0;
    Duration firstToken{}; ///< From the start of the attempt; zero if none arrived.
    Duration interToken{}; ///< Mean time between tokens; zero if fewer than two arrived.
};

/// Entry to owner: these leases are still in use.
struct LeaseRenewal
{
    struct Item
    {
        GrantId id;
        LeaseId lease;
        BackendServerId server;
        Tier tier = 0;
    };
    HostId entry;
    std::vector<Item> items;
};

} // namespace currantreel

template <>
struct std::hash<currantreel::GrantId>
{
    std::size_t operator()(const currantreel::GrantId &id) const noexcept
    {
        const std::hash<currantreel::RequestId> hashOfRequest;
        return hashOfRequest(id.request) ^ static_cast<std::size_t>(id.entry.value);
    }
};

#endif
