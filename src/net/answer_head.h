#pragma once

#include "net/asio.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

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

// Size in bytes of the head at the beginning of the buffer, with the empty line that ends it; 0 if a part of
// it is missing. The end is searched behind the first `searched` bytes, which are known not to contain it.
std::size_t find_head_size(const boost::beast::flat_buffer& buffer, std::size_t searched);

// Parses the head of `size` bytes at the beginning of the buffer, and removes it from there.
error_code parse_answer_head(boost::beast::flat_buffer& buffer, std::size_t size, answer_parser& parser);

// Reads until a whole head is at the beginning of the buffer, and parses it. Fails with header_limit if the
// head does not fit into the buffer.
template <typename Stream>
task<error_code> read_one_head(Stream& stream, boost::beast::flat_buffer& buffer, answer_parser& parser)
{
    constexpr std::size_t max_read = 64 * 1024;
    std::size_t size = find_head_size(buffer, 0);
    while (size == 0) {
        const std::size_t searched = buffer.size();
        const std::size_t space = boost::beast::read_size(buffer, max_read);
        if (space == 0) {
            co_return boost::beast::http::error::header_limit;
        }
        auto [failure, received] = co_await stream.async_read_some(buffer.prepare(space), no_throw);
        if (failure) {
            co_return failure;
        }
        buffer.commit(received);
        size = find_head_size(buffer, searched);
    }
    co_return parse_answer_head(buffer, size, parser);
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
        const error_code failure = co_await read_one_head(stream, buffer, *parser);
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
