#include "net/address.h"

#include "base/held_signals.h"
#include "base/log.h"

#include <thread>

namespace verbena::net {

result<tcp::endpoint> to_tcp_endpoint(const host_port& address)
{
    error_code failure;
    const auto ip = asio::ip::make_address(address.host, failure);
    if (failure) {
        return make_error(error_kind::invalid_settings, "'" + address.host + "' is not an IP address",
                          "use an IP address; host names are not resolved");
    }
    return tcp::endpoint(ip, address.port);
}

namespace {

// A predecessor has a grace period of 8 s on the users' platform and is killed after it.
constexpr milliseconds address_wait{10'000};
constexpr milliseconds address_retry_interval{50};

error listen_error(const host_port& address, const error_code& failure)
{
    return make_error(error_kind::io,
                      "cannot listen on " + address.host + ":" + std::to_string(address.port) + ": " +
                          failure.message(),
                      "choose an unused address in the settings, or end the process that uses it");
}

error_code listen_at(tcp::acceptor& acceptor, const tcp::endpoint& endpoint)
{
    error_code failure;
    acceptor.open(endpoint.protocol(), failure);
    if (!failure) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    }
    if (!failure) {
        acceptor.bind(endpoint, failure);
    }
    if (!failure) {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    return failure;
}

} // namespace

result<tcp::acceptor> open_acceptor(asio::io_context& io, const host_port& address)
{
    BOOST_OUTCOME_TRY(const tcp::endpoint endpoint, to_tcp_endpoint(address));
    tcp::acceptor acceptor(asio::make_strand(io));
    const error_code failure = listen_at(acceptor, endpoint);
    if (failure) {
        return listen_error(address, failure);
    }
    return acceptor;
}

result<tcp::acceptor> await_acceptor(asio::io_context& io, const host_port& address)
{
    BOOST_OUTCOME_TRY(const tcp::endpoint endpoint, to_tcp_endpoint(address));
    const time_point begin = clock::now();
    bool waited = false;
    while (true) {
        tcp::acceptor acceptor(asio::make_strand(io));
        const error_code failure = listen_at(acceptor, endpoint);
        if (!failure) {
            if (waited) {
                log::info(
                    "listens on " + address.host + ":" + std::to_string(address.port) + " after " +
                    std::to_string(std::chrono::duration_cast<milliseconds>(clock::now() - begin).count()) +
                    " ms");
            }
            return acceptor;
        }
        const bool in_use = failure == asio::error::address_in_use;
        if (!in_use || clock::now() - begin >= address_wait || stop_requested()) {
            return listen_error(address, failure);
        }
        if (!waited) {
            log::warn(describe(listen_error(address, failure)) + "; trying again for " +
                      std::to_string(address_wait.count()) + " ms");
        }
        waited = true;
        std::this_thread::sleep_for(address_retry_interval);
    }
}

} // namespace verbena::net
