#ifndef CURRANTREEL_CORE_ID_H
#define CURRANTREEL_CORE_ID_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <xxhash.h>

namespace currantreel {

/// Strongly typed 64-bit identifier. Identifiers of different tags do not compare or convert.
///
/// The identifier of a named entity (host, backend server, class, workspace, model) is a hash of
/// its name, so that every host computes the same identifier without communication.
/// @tparam Tag type that distinguishes the kinds of entities.
template <typename Tag>
struct Id
{
    std::uint64_t value = 0;

    /// Identifier of the entity named @p name, the same on every host.
    [[nodiscard]] static Id ofName(std::string_view name)
    {
        return Id{ XXH3_64bits(name.data(), name.size()) };
    }

    /// False for the default value 0, which identifies nothing.
    [[nodiscard]] constexpr bool isValid() const { return value != 0; }

    friend constexpr auto operator<=>(const Id &, const Id &) = default;
};

using HostId = Id<struct HostTag>;
using FailureDomainId = Id<struct FailureDomainTag>;
using BackendServerId = Id<struct BackendServerTag>;
using ClassId = Id<struct ClassTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using ModelId = Id<struct ModelTag>;
using ServiceId = Id<struct ServiceTag>;
using RouteId = Id<struct RouteTag>;

/// One exchange between a caller and this host; unique within an incarnation.
using RequestId = Id<struct RequestTag>;
/// One attempt to run a request on one backend server; other hosts know it by this number, so that
/// no two processes of a host use the same ones.
using AttemptId = Id<struct AttemptTag>;
/// One granted slot of a backend server; unique within an owner's incarnation.
using LeaseId = Id<struct LeaseTag>;

/// Number of one run of a host's process, chosen at start. A restart of the host has a higher one.
using Incarnation = Id<struct IncarnationTag>;

} // namespace currantreel

template <typename Tag>
struct std::hash<currantreel::Id<Tag>>
{
    std::size_t operator()(const currantreel::Id<Tag> &id) const noexcept
    {
        return static_cast<std::size_t>(id.value * 0x9E3779B97F4A7C15ULL);
    }
};

#endif
