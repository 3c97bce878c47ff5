#pragma once

#include "base/error.h"
#include "base/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <string>

namespace verbena::net {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

// Expires by verbena::clock. A timer does not run while the machine is suspended, so it may fire late by that
// time.
using steady_timer = asio::basic_waitable_timer<clock>;

template <typename T>
using task = asio::awaitable<T>;

// Completion token that returns the error code as part of the result instead of throwing.
inline constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

inline error io_error(const char* operation, const error_code& cause)
{
    return make_error(error_kind::io, std::string(operation) + ": " + cause.message(), "");
}

// Suspends the calling coroutine on its own executor.
inline task<void> sleep_for(milliseconds duration)
{
    steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(no_throw);
}

} // namespace verbena::net
