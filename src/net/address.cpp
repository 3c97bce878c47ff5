#include "net/address.h"

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

result<tcp::acceptor> open_acceptor(asio::io_context& io, const host_port& address)
{
    BOOST_OUTCOME_TRY(const tcp::endpoint endpoint, to_tcp_endpoint(address));
    tcp::acceptor acceptor(asio::make_strand(io));
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
    if (failure) {
        return make_error(error_kind::io,
                          "cannot listen on " + address.host + ":" + std::to_string(address.port) + ": " +
                              failure.message(),
                          "choose an unused address in the settings");
    }
    return acceptor;
}

} // namespace verbena::net
