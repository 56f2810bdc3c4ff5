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

/// What a request needs: a model of an engine or a plain service. Derived from the name.
using TargetId = Id<struct TargetTag>;

/// Identifies a grant request at its owner: the entry host and the request there.
struct GrantId
{
    HostId entry;
    RequestId request;

    [[nodiscard]] constexpr bool isValid() const { return request.isValid(); }
    friend constexpr auto operator<=>(const GrantId &, const GrantId &) = default;
};

/// Entry to owner: asks for a slot of a backend server. Times are relative to sending, because hosts
/// share no clock.
struct GrantRequest
{
    GrantId id;
    TargetId target;
    ClassId requestClass;
    Tier tier = 0;
    WorkspaceId workspace;
    double share = 1.0; ///< Weight of the workspace.
    Duration firstTokenTimeLeft{}; ///< Time left until the first token is late; may be negative.
    Duration answerTimeLeft{}; ///< Time left until the answer is late; may be negative.
    Duration queueBound{}; ///< Longest wait for the grant.
    bool isWorthlessWhenLate = false;
    bool isPreemptible = false;
    std::uint32_t promptTokens = 0;
    std::uint32_t predictedTokens = 0;
    std::uint64_t prefixHash = 0;
    BackendServerId avoid; ///< Server that just failed this request, if any.
};

/// Owner to entry: the slot is yours until the lease ends.
struct Granted
{
    GrantId id;
    LeaseId lease;
    BackendServerId server;
    Duration leaseDuration{};
};

/// Owner to entry: the request will not be granted.
struct GrantShed
{
    GrantId id;
    ResultCode code = ResultCode::QueueFull;
    Duration retryAfter{};
};

/// Owner to entry: the request is no longer queued here, because another host owns the servers now.
/// It has not run; ask again.
struct GrantMoved
{
    GrantId id;
};

/// Owner to entry: stop the running work of this lease, a higher tier needs the slot.
struct LeasePreempted
{
    GrantId id;
    LeaseId lease;
};

/// Entry to owner: the caller left or the request ended while queued.
struct GrantWithdrawn
{
    GrantId id;
};

/// How the work of a lease ended, as the owner needs it.
enum class LeaseEnd : std::uint8_t { Completed, Cancelled, Refused, Failed };

/// Entry to owner: the slot is free again, with what was seen.
struct LeaseReleased
{
    GrantId id;
    LeaseId lease;
    BackendServerId server;
    LeaseEnd end = LeaseEnd::Completed;
    std::uint32_t tokens = 0;
    Duration firstToken{}; ///< From the start of the attempt; zero if none came.
    Duration interToken{}; ///< Mean time between tokens; zero if fewer than two came.
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
