#include "suspended_clock.h"

#include <atomic>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

std::atomic<std::int64_t> suspended_ns{0};

} // namespace

void simulate_suspension(std::chrono::milliseconds time)
{
    suspended_ns += std::chrono::nanoseconds(time).count();
}

// Replaces the function of the C library in this program.
extern "C" int clock_gettime(clockid_t id, timespec* out) noexcept
{
    constexpr std::int64_t ns_per_s = 1'000'000'000;
    const auto status = static_cast<int>(syscall(SYS_clock_gettime, id, out));
    if (status == 0 && id == CLOCK_BOOTTIME) {
        const std::int64_t ns = out->tv_nsec + suspended_ns;
        out->tv_sec += ns / ns_per_s;
        out->tv_nsec = ns % ns_per_s;
    }
    return status;
}
