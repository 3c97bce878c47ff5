#include "base/descriptors.h"

#include <algorithm>
#include <sys/resource.h>

namespace verbena {

std::size_t caller_connections(std::size_t wanted, std::size_t descriptors)
{
    rlimit system{};
    const bool limited = ::getrlimit(RLIMIT_NOFILE, &system) == 0 && system.rlim_cur != RLIM_INFINITY;
    if (limited && (descriptors == 0 || system.rlim_cur < descriptors)) {
        descriptors = system.rlim_cur;
    }
    return descriptors == 0 ? wanted : std::min(wanted, std::max<std::size_t>(descriptors / 4 * 3, 1));
}

} // namespace verbena
