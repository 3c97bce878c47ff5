#include "net/keep_alive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace verbena::net {

void set_keep_alive(tcp::socket& socket, std::chrono::seconds interval, int probes)
{
    const auto set = [&socket](int level, int name, int value) {
        (void)::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
    };
    const int seconds = static_cast<int>(interval.count());
    set(IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, probes);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
}

} // namespace verbena::net
