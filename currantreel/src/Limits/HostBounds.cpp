#include "HostBounds.h"

#include <algorithm>

namespace currantreel {

namespace {

/// Parts of the machine's memory: it is divided by these.
constexpr std::size_t callerBufferDivisor = 8;
constexpr std::size_t requestDivisor = 4;
constexpr std::size_t answerDivisor = 4;
/// Requests in progress may take so many times the bytes of those that are not complete: servers take
/// longer than callers.
constexpr std::size_t requestsPerCallerBuffer = 2;
constexpr std::size_t receiveDivisor = 8;

/// Bytes that the system may keep for a connection of a caller.
constexpr std::size_t minReceiveBytes = 8UL * 1024;
constexpr std::size_t maxReceiveBytes = 64UL * 1024;

/// Descriptors kept for files and pipes, but no more than a quarter of all.
constexpr std::size_t fileDescriptors = 200;
/// Sockets kept for other hosts, the platform and operators, but no more than a quarter of all.
constexpr std::size_t otherSockets = 512;
constexpr std::size_t smallPartDivisor = 4;
/// Of each five of the other sockets: a request in progress has one to its caller and one to a server.
constexpr std::size_t socketParts = 5;
constexpr std::size_t callerParts = 2;
constexpr std::size_t idleServerParts = 1;
/// Parts of the sockets for others. All hosts may dial at once after a start.
constexpr std::size_t operatorDivisor = 8;
constexpr std::size_t unprovenDivisor = 2;
constexpr std::size_t minOtherConnections = 4;

std::size_t partOf(std::size_t all, std::size_t most)
{
    return std::min(most, all / smallPartDivisor);
}

void divideDescriptors(const HostResources &resources, HostBounds &bounds)
{
    const std::size_t sockets =
        resources.descriptors - partOf(resources.descriptors, fileDescriptors);
    const std::size_t others = partOf(sockets, otherSockets);
    const std::size_t part = (sockets - others) / socketParts;
    bounds.callerConnections = std::max<std::size_t>(1, part * callerParts);
    bounds.idleServerConnections = part * idleServerParts;
    bounds.operatorConnections = std::max(minOtherConnections, others / operatorDivisor);
    bounds.unprovenLinks = std::max(minOtherConnections, others / unprovenDivisor);
}

void divideReceiveQueues(std::size_t bytes, HostBounds &bounds)
{
    const std::size_t most = std::max<std::size_t>(1, bytes / minReceiveBytes);
    bounds.callerConnections = std::min(bounds.callerConnections, most);
    bounds.receiveBytes =
        std::clamp(bytes / bounds.callerConnections, minReceiveBytes, maxReceiveBytes);
}

} // namespace

HostBounds hostBounds(const HostResources &resources, const HostLimits &limits)
{
    const std::size_t memory = resources.memoryBytes;
    HostBounds bounds;
    bounds.callerBufferBytes = std::min(limits.callerBufferBytes, memory / callerBufferDivisor);
    bounds.requestBytes =
        std::min(limits.callerBufferBytes * requestsPerCallerBuffer, memory / requestDivisor);
    bounds.answerBytes = std::min(limits.receiveBufferBytes, memory / answerDivisor);
    divideDescriptors(resources, bounds);
    divideReceiveQueues(std::min(limits.callerBufferBytes, memory / receiveDivisor), bounds);
    return bounds;
}

} // namespace currantreel
