#include "forward/reserved_memory.h"

namespace verbena::forward {

namespace {

// Renewed at a third of its time, so that one lost renewal does no harm and memory is free soon after this
// process has died.
constexpr milliseconds reservation_hold{3'000};
constexpr milliseconds renewal_interval{1'000};
constexpr milliseconds order_timeout{400};

} // namespace

reserved_memory::reserved_memory(const dialect& words, metrics& counters, const std::string& request,
                                 dispatch_choice choice)
    : m_words(words), m_counters(counters), m_request(request), m_choice(std::move(choice))
{
}

std::string reserved_memory::name_of(std::size_t part) const
{
    return m_request + "-" + std::to_string(m_choice.number) + "-" + std::to_string(part);
}

net::http_call reserved_memory::reserve_call(std::size_t part) const
{
    return m_words.reserve(name_of(part), m_choice.endpoints[part].reserved_tokens, reservation_hold);
}

net::task<std::string> reserved_memory::hold()
{
    for (std::size_t i = 1; i < m_choice.endpoints.size(); ++i) {
        const chosen_endpoint& part = m_choice.endpoints[i];
        if (part.reserved_tokens == 0) {
            continue;
        }
        const result<net::http_response> made =
            co_await net::fetch_http(part.address, reserve_call(i), order_timeout);
        const bool held = made && made.value().status == 200;
        m_counters.add("verbena_forward_reservations_total", {{"outcome", held ? "held" : "refused"}});
        if (!held) {
            co_return part.name;
        }
    }
    co_return std::string();
}

void reserved_memory::keep(const net::asio::any_io_executor& executor)
{
    net::asio::co_spawn(
        executor, [self = shared_from_this()] { return self->renew(); }, net::asio::detached);
}

net::task<void> reserved_memory::renew()
{
    while (true) {
        co_await net::sleep_for(renewal_interval);
        for (std::size_t i = 1; i < m_choice.endpoints.size(); ++i) {
            const chosen_endpoint& part = m_choice.endpoints[i];
            if (m_released) {
                co_return;
            }
            if (part.reserved_tokens == 0) {
                continue;
            }
            (void)co_await net::fetch_http(part.address, reserve_call(i), order_timeout);
            if (m_released) {
                // A renewal that overtook the release holds the memory again.
                (void)co_await net::fetch_http(part.address, m_words.release(name_of(i)), order_timeout);
            }
        }
    }
}

void reserved_memory::release(const net::asio::any_io_executor& executor)
{
    m_released = true;
    for (std::size_t i = 1; i < m_choice.endpoints.size(); ++i) {
        const chosen_endpoint& part = m_choice.endpoints[i];
        if (part.reserved_tokens == 0) {
            continue;
        }
        net::asio::co_spawn(
            executor,
            [](net::http_call call, host_port address) -> net::task<void> {
                (void)co_await net::fetch_http(std::move(address), std::move(call), order_timeout);
            }(m_words.release(name_of(i)), part.address),
            net::asio::detached);
    }
}

} // namespace verbena::forward
