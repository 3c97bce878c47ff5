#include "forward/memory_reservation.h"

namespace verbena::forward {

namespace {

// Lifetime of a reservation. It is renewed at a third of this time, so that one lost renewal does not end it;
// it is short so that the memory is free soon after this process has died.
constexpr milliseconds reservation_hold{3'000};
constexpr milliseconds renewal_interval{1'000};
constexpr milliseconds call_timeout{400};

// A report lists the reservations of an endpoint, 64 at most.
constexpr std::size_t max_response = 64 * 1024;

} // namespace

memory_reservation::memory_reservation(const protocol_adapter& protocol, metrics& counters,
                                       const std::string& request, dispatch_choice choice)
    : m_protocol(protocol), m_counters(counters), m_request(request), m_choice(std::move(choice))
{
}

std::string memory_reservation::reservation_id(std::size_t index) const
{
    return m_request + "-" + std::to_string(m_choice.number) + "-" + std::to_string(index);
}

net::http_call memory_reservation::reserve_call(std::size_t index) const
{
    return m_protocol.reserve(reservation_id(index), m_choice.endpoints[index].reserved_tokens,
                              reservation_hold);
}

net::task<std::string> memory_reservation::reserve()
{
    for (std::size_t i = 1; i < m_choice.endpoints.size(); ++i) {
        const chosen_endpoint& endpoint = m_choice.endpoints[i];
        if (endpoint.reserved_tokens == 0) {
            continue;
        }
        const result<net::http_response> response =
            co_await net::fetch_http(endpoint.address, reserve_call(i), call_timeout, max_response);
        const bool reserved = response && response.value().status == 200;
        m_counters.add("verbena_forward_reservations_total", {{"outcome", reserved ? "held" : "refused"}});
        if (!reserved) {
            co_return endpoint.name;
        }
    }
    co_return std::string();
}

net::task<std::optional<bool>> memory_reservation::is_used()
{
    for (std::size_t i = 1; i < m_choice.endpoints.size(); ++i) {
        const chosen_endpoint& endpoint = m_choice.endpoints[i];
        if (endpoint.reserved_tokens == 0) {
            continue;
        }
        const result<net::http_response> response =
            co_await net::fetch_http(endpoint.address, m_protocol.report(), call_timeout, max_response);
        if (response) {
            co_return response.value().status == 200 &&
                m_protocol.is_reservation_used(response.value().body, reservation_id(i));
        }
    }
    co_return std::nullopt;
}

void memory_reservation::start_renewal(const net::asio::any_io_executor& executor)
{
    net::asio::co_spawn(
        executor, [self = shared_from_this()] { return self->renew(); }, net::asio::detached);
}

net::task<void> memory_reservation::renew()
{
    while (true) {
        co_await net::sleep_for(renewal_interval);
        for (std::size_t i = 1; i < m_choice.endpoints.size(); ++i) {
            const chosen_endpoint& endpoint = m_choice.endpoints[i];
            if (m_released) {
                co_return;
            }
            if (endpoint.reserved_tokens == 0) {
                continue;
            }
            (void)co_await net::fetch_http(endpoint.address, reserve_call(i), call_timeout, max_response);
            if (m_released) {
                // The renewal may have arrived after the release and have reserved the memory again.
                (void)co_await net::fetch_http(endpoint.address, m_protocol.release(reservation_id(i)),
                                               call_timeout, max_response);
            }
        }
    }
}

void memory_reservation::release(const net::asio::any_io_executor& executor)
{
    m_released = true;
    for (std::size_t i = 1; i < m_choice.endpoints.size(); ++i) {
        const chosen_endpoint& endpoint = m_choice.endpoints[i];
        if (endpoint.reserved_tokens == 0) {
            continue;
        }
        net::asio::co_spawn(
            executor,
            [](net::http_call call, host_port address) -> net::task<void> {
                (void)co_await net::fetch_http(std::move(address), std::move(call), call_timeout,
                                               max_response);
            }(m_protocol.release(reservation_id(i)), endpoint.address),
            net::asio::detached);
    }
}

} // namespace verbena::forward
