#include "net/answer_head.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <iterator>
#include <string_view>

namespace verbena::net {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view head_end = "\r\n\r\n";

std::string_view text_of(const boost::beast::flat_buffer& buffer)
{
    return {static_cast<const char*>(buffer.cdata().data()), buffer.size()};
}

// Whether a line of the head begins with a blank. It continues the line before it (RFC 9112, 5.2), and Beast
// joins the two: a field whose name begins with a blank becomes a part of another field's value.
bool has_folded_line(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

// Whether the body is transferred as it is or in chunks. Callers ask for no other coding and nobody here
// removes one, and where `chunked` does not stand last, a length does not tell the end of the body (RFC 9112,
// 6.3). Beast ignores other codings.
bool has_known_coding(const http::fields& fields)
{
    const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
    return first == last || (std::next(first) == last && boost::beast::iequals(first->value(), "chunked"));
}

} // namespace

std::size_t find_head_size(const boost::beast::flat_buffer& buffer, std::size_t searched)
{
    // A part of the end may be among the bytes that have been searched.
    const std::size_t begin = searched - std::min(searched, head_end.size() - 1);
    const std::size_t end = text_of(buffer).find(head_end, begin);
    return end == std::string_view::npos ? 0 : end + head_end.size();
}

error_code parse_answer_head(boost::beast::flat_buffer& buffer, std::size_t size, answer_parser& parser)
{
    if (has_folded_line(text_of(buffer).substr(0, size))) {
        return http::error::bad_field;
    }
    error_code failure;
    buffer.consume(parser.put(buffer.data(), failure));
    if (!failure && !has_known_coding(parser.get().base())) {
        failure = http::error::bad_transfer_encoding;
    }
    return failure;
}

} // namespace verbena::net
