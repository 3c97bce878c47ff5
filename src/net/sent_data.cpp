#include "net/sent_data.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace verbena::net {

namespace {

// The kernel signals no event when bytes are acknowledged.
constexpr milliseconds check_interval{5};

// Bytes that the peer has not acknowledged. Where the system does not tell, what the kernel has taken counts
// as acknowledged.
int unacknowledged_bytes(tcp::socket& socket)
{
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

// The error of a connection that has ended while no operation was pending.
error_code pending_error(tcp::socket& socket)
{
    int value = 0;
    socklen_t size = sizeof value;
    if (::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &value, &size) != 0) {
        value = errno;
    }
    return {value, boost::system::system_category()};
}

} // namespace

task<error_code> await_acknowledgement(tcp::socket& socket,
                                       std::function<std::optional<error_code>()> written,
                                       time_point deadline)
{
    while (true) {
        if (!socket.is_open()) {
            co_return asio::error::operation_aborted;
        }
        // The kernel reports a reset to one operation only.
        const std::optional<error_code> written_before = written();
        if (written_before && *written_before) {
            co_return *written_before;
        }
        const bool acknowledged = written_before && unacknowledged_bytes(socket) == 0;
        if (const error_code failure = pending_error(socket)) {
            co_return failure;
        }
        if (acknowledged) {
            co_return error_code{};
        }
        if (clock::now() >= deadline) {
            co_return asio::error::timed_out;
        }
        co_await sleep_for(check_interval);
    }
}

} // namespace verbena::net
