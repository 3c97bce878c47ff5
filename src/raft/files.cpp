#include "raft/files.h"

#include "raft/encoding.h"

#include <algorithm>
#include <charconv>
#include <xxhash.h>

namespace verbena::raft::detail {

namespace {

constexpr std::uint64_t identity_magic = 0x3130444956424256ULL;
constexpr std::uint64_t vote_magic = 0x3130544F56424256ULL;
constexpr std::uint64_t segment_magic = 0x3130474F4C424256ULL;
constexpr std::uint64_t snapshot_magic = 0x313050414E534256ULL;

void append_checksum(bytes& data)
{
    byte_writer(data).number(static_cast<std::uint64_t>(XXH3_64bits(data.data(), data.size())));
}

} // namespace

error corrupt_file_error(const std::string& name, std::uint64_t offset, const std::string& what)
{
    return make_error(error_kind::corrupt, name + ": " + what + " at offset " + std::to_string(offset),
                      corruption_remedy);
}

result<void> write_file_atomically(disk& files, const std::string& name, std::span<const std::uint8_t> data)
{
    const std::string temporary = name + ".tmp";
    BOOST_OUTCOME_TRYV2(auto&&, files.append(temporary, data));
    BOOST_OUTCOME_TRYV2(auto&&, files.sync(temporary));
    BOOST_OUTCOME_TRYV2(auto&&, files.rename(temporary, name));
    return files.sync_folder();
}

result<void> write_checksummed(disk& files, const std::string& name, bytes data)
{
    append_checksum(data);
    return write_file_atomically(files, name, data);
}

result<bytes> read_checksummed(disk& files, const std::string& name)
{
    BOOST_OUTCOME_TRY(bytes data, files.read(name));
    if (data.size() < 8) {
        return corrupt_file_error(name, 0, "file too short");
    }
    const std::size_t size = data.size() - 8;
    if (byte_reader(std::span(data).subspan(size)).number<std::uint64_t>() !=
        XXH3_64bits(data.data(), size)) {
        return corrupt_file_error(name, 0, "bad checksum");
    }
    data.resize(size);
    return data;
}

result<void> write_identity(disk& files, const identity& value)
{
    bytes data;
    byte_writer writer(data);
    writer.number(identity_magic);
    writer.number(value.member);
    writer.number(value.folder);
    writer.raw({reinterpret_cast<const std::uint8_t*>(value.cluster.data()), value.cluster.size()});
    return write_checksummed(files, "identity", std::move(data));
}

result<identity> read_identity(disk& files)
{
    BOOST_OUTCOME_TRY(const bytes data, read_checksummed(files, "identity"));
    byte_reader reader(data);
    if (reader.number<std::uint64_t>() != identity_magic) {
        return corrupt_file_error("identity", 0, "unknown format");
    }
    identity value;
    value.member = reader.number<member_id>();
    value.folder = reader.number<folder_id>();
    value.cluster.assign(reader.rest().begin(), reader.rest().end());
    return value;
}

result<void> write_hard_state(disk& files, const hard_state& value)
{
    bytes data;
    byte_writer writer(data);
    writer.number(vote_magic);
    writer.number(value.term);
    writer.number(value.vote);
    return write_checksummed(files, "vote", std::move(data));
}

result<hard_state> read_hard_state(disk& files)
{
    BOOST_OUTCOME_TRY(const bytes data, read_checksummed(files, "vote"));
    byte_reader reader(data);
    if (reader.number<std::uint64_t>() != vote_magic) {
        return corrupt_file_error("vote", 0, "unknown format");
    }
    const auto term = reader.number<term_number>();
    return hard_state{term, reader.number<member_id>()};
}

bytes segment_header(std::uint64_t number)
{
    bytes data;
    byte_writer writer(data);
    writer.number(segment_magic);
    writer.number(number);
    append_checksum(data);
    return data;
}

bytes snapshot_header(log_index index, term_number term, std::span<const std::uint8_t> image)
{
    bytes data;
    byte_writer writer(data);
    writer.number(snapshot_magic);
    writer.number(index);
    writer.number(term);
    writer.number(static_cast<std::uint64_t>(image.size()));
    writer.number(static_cast<std::uint64_t>(XXH3_64bits(image.data(), image.size())));
    append_checksum(data);
    return data;
}

result<snapshot_meta> check_snapshot(const std::string& name, std::span<const std::uint8_t> file)
{
    if (file.size() < snapshot_header_size) {
        return corrupt_file_error(name, 0, "file too short");
    }
    const auto image = file.subspan(snapshot_header_size);
    byte_reader reader(file);
    snapshot_meta meta;
    const auto magic = reader.number<std::uint64_t>();
    meta.index = reader.number<log_index>();
    meta.term = reader.number<term_number>();
    meta.image_size = reader.number<std::uint64_t>();
    meta.image_hash = reader.number<std::uint64_t>();
    if (magic != snapshot_magic || reader.number<std::uint64_t>() != XXH3_64bits(file.data(), 40)) {
        return corrupt_file_error(name, 0, "bad header checksum");
    }
    if (meta.image_size != image.size() || meta.image_hash != XXH3_64bits(image.data(), image.size())) {
        return corrupt_file_error(name, snapshot_header_size, "bad checksum");
    }
    byte_reader content(image);
    BOOST_OUTCOME_TRY(meta.membership, decode_membership(content.raw(content.number<std::uint32_t>())));
    return meta;
}

std::string segment_name(std::uint64_t number)
{
    return "log-" + std::to_string(number);
}

std::string snapshot_name(log_index index)
{
    return "snapshot-" + std::to_string(index);
}

std::vector<std::uint64_t> parse_file_numbers(const std::vector<std::string>& names,
                                              const std::string& prefix)
{
    std::vector<std::uint64_t> numbers;
    for (const std::string& name : names) {
        std::uint64_t number = 0;
        const char* end = name.data() + name.size();
        if (name.starts_with(prefix)) {
            const auto parsed = std::from_chars(name.data() + prefix.size(), end, number);
            if (parsed.ec == std::errc{} && parsed.ptr == end) {
                numbers.push_back(number);
            }
        }
    }
    std::sort(numbers.begin(), numbers.end());
    return numbers;
}

} // namespace verbena::raft::detail
