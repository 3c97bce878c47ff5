#include "node/publication.h"

#include <zlib.h>

namespace verbena::node {

namespace {

// Smaller documents are stored as they are, so that they can be read without decompression.
constexpr std::size_t compressed_above = 128 * 1024;

// Bounds the memory that a damaged publication can take.
constexpr std::size_t max_size = 64 * 1024 * 1024;

} // namespace

op::publicationT pack_publication(std::uint64_t version, std::string_view content)
{
    op::publicationT value;
    value.version = version;
    if (content.size() > compressed_above && content.size() <= max_size) {
        uLongf size = compressBound(content.size());
        value.content.resize(size);
        const auto* bytes = reinterpret_cast<const Bytef*>(content.data());
        if (compress(value.content.data(), &size, bytes, content.size()) == Z_OK) {
            value.content.resize(size);
            value.size = static_cast<std::uint32_t>(content.size());
            return value;
        }
    }
    value.content.assign(content.begin(), content.end());
    return value;
}

result<std::string> unpack_publication(const op::publicationT& value)
{
    if (value.size == 0) {
        return std::string(value.content.begin(), value.content.end());
    }
    const error damaged = make_error(error_kind::invalid_frame, "the published configuration is damaged",
                                     "publish it again with a higher version");
    if (value.size > max_size) {
        return damaged;
    }
    std::string content(value.size, '\0');
    uLongf size = content.size();
    auto* bytes = reinterpret_cast<Bytef*>(content.data());
    if (uncompress(bytes, &size, value.content.data(), value.content.size()) != Z_OK ||
        size != content.size()) {
        return damaged;
    }
    return content;
}

} // namespace verbena::node
