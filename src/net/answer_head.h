#pragma once

#include "net/asio.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <optional>

namespace verbena::net {

using answer_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

// Interim heads (100 to 199) that may precede the head of an answer. Peers send one or two; more without an
// answer keep the caller waiting for nothing.
inline constexpr int max_interim_heads = 8;

inline bool is_interim_status(unsigned status)
{
    constexpr unsigned switching_protocols = 101; // final, and nobody has asked for another protocol
    return status >= 100 && status < 200 && status != switching_protocols;
}

// Statuses that HTTP defines for the end of a request. Beast takes any three digits.
inline bool is_final_status(unsigned status)
{
    return status >= 200 && status < 600;
}

// Reads heads from the stream until one is not interim, and leaves its parser in `parser`. Fails with
// bad_status if the head is not that of an answer, or if too many interim ones precede it.
template <typename Stream>
task<error_code> read_answer_head(Stream& stream, boost::beast::flat_buffer& buffer,
                                  std::optional<answer_parser>& parser)
{
    for (int interim = 0; interim <= max_interim_heads; ++interim) {
        parser.emplace();
        parser->body_limit(boost::none);
        auto [failure, size] =
            co_await boost::beast::http::async_read_header(stream, buffer, *parser, no_throw);
        if (failure) {
            co_return failure;
        }
        const unsigned status = parser->get().result_int();
        if (!is_interim_status(status)) {
            co_return is_final_status(status) ? error_code() : boost::beast::http::error::bad_status;
        }
    }
    co_return boost::beast::http::error::bad_status;
}

} // namespace verbena::net
