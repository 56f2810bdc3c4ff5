#include "HostMeasures.h"

#include <algorithm>
#include <sys/resource.h>
#include <unistd.h>

namespace currantreel {

namespace {

/// The smaller of @p configured and @p measured; 0 stands for no value of either.
std::size_t smaller(std::size_t configured, std::size_t measured)
{
    if (configured == 0 || measured == 0)
        return std::max(configured, measured);
    return std::min(configured, measured);
}

std::size_t machineMemory()
{
    const long pages = sysconf(_SC_PHYS_PAGES);
    const long pageBytes = sysconf(_SC_PAGESIZE);
    if (pages <= 0 || pageBytes <= 0)
        return 0;
    return static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes);
}

std::size_t allowedDescriptors()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return 0;
    return static_cast<std::size_t>(limit.rlim_cur);
}

/// Assumed where nothing is configured and nothing can be measured.
constexpr std::size_t defaultMemoryBytes = 1024UL * 1024 * 1024;
constexpr std::size_t defaultDescriptors = 1024;

} // namespace

HostResources measuredResources(const HostLimits &limits)
{
    HostResources resources;
    resources.memoryBytes = smaller(limits.memoryBytes, machineMemory());
    resources.descriptors = smaller(limits.descriptors, allowedDescriptors());
    if (resources.memoryBytes == 0)
        resources.memoryBytes = defaultMemoryBytes;
    if (resources.descriptors == 0)
        resources.descriptors = defaultDescriptors;
    return resources;
}

} // namespace currantreel
