#include "raft/storage.h"

#include "raft/encoding.h"
#include "raft/files.h"
#include "raft/record.h"

#include <algorithm>

namespace verbena::raft {

using detail::corrupt_file_error;
using detail::record_type;
using detail::segment_name;
using detail::snapshot_name;

namespace {

// Removes files of an incomplete initialisation. The identity is written last, so a folder without one was
// never used by a member.
result<void> remove_stale_files(disk& files)
{
    BOOST_OUTCOME_TRY(const auto names, files.list());
    if (std::find(names.begin(), names.end(), "identity") != names.end()) {
        return make_error(error_kind::conflict, "the data folder already belongs to a member",
                          "start without initialising it, or choose another data folder");
    }
    for (const std::string& name : names) {
        const bool own = name.starts_with("identity") || name.starts_with("vote") ||
                         name.starts_with("log-") || name.starts_with("snapshot-");
        if (own) {
            BOOST_OUTCOME_TRYV2(auto&&, files.remove(name));
        }
    }
    return files.sync_folder();
}

} // namespace

bytes make_image(const membership& members, std::span<const std::uint8_t> state)
{
    const bytes membership_record = encode(members);
    bytes image;
    image.reserve(4 + membership_record.size() + state.size());
    byte_writer writer(image);
    writer.number(static_cast<std::uint32_t>(membership_record.size()));
    writer.raw(membership_record);
    writer.raw(state);
    return image;
}

result<std::span<const std::uint8_t>> state_from_image(std::span<const std::uint8_t> image)
{
    byte_reader reader(image);
    reader.raw(reader.number<std::uint32_t>());
    if (!reader.ok()) {
        return make_error(error_kind::corrupt, "a snapshot image is too short", detail::corruption_remedy);
    }
    return reader.rest();
}

result<bool> storage::is_empty(disk& files)
{
    BOOST_OUTCOME_TRY(const auto names, files.list());
    return std::find(names.begin(), names.end(), "identity") == names.end();
}

result<void> storage::initialise(disk& files, const std::string& cluster, member_id self,
                                 const membership& members)
{
    BOOST_OUTCOME_TRYV2(auto&&, remove_stale_files(files));
    bytes first_segment = detail::segment_header(1);
    detail::write_record(first_segment, record_type::membership, 1, 1, encode(members));
    BOOST_OUTCOME_TRYV2(auto&&, detail::write_file_atomically(files, segment_name(1), first_segment));
    BOOST_OUTCOME_TRYV2(auto&&, detail::write_hard_state(files, hard_state{1, 0}));
    return detail::write_identity(files, identity{cluster, self, 0});
}

result<void> storage::join(disk& files, const std::string& cluster, member_id self, folder_id folder)
{
    BOOST_OUTCOME_TRYV2(auto&&, remove_stale_files(files));
    BOOST_OUTCOME_TRYV2(auto&&,
                        detail::write_file_atomically(files, segment_name(1), detail::segment_header(1)));
    BOOST_OUTCOME_TRYV2(auto&&, detail::write_hard_state(files, hard_state{}));
    return detail::write_identity(files, identity{cluster, self, folder});
}

// Removes the identity first: a crash in between leaves a folder that counts as empty, never one with an
// identity and without a log.
result<void> storage::clear(disk& files)
{
    BOOST_OUTCOME_TRY(const bool empty, is_empty(files));
    if (!empty) {
        BOOST_OUTCOME_TRYV2(auto&&, files.remove("identity"));
        BOOST_OUTCOME_TRYV2(auto&&, files.sync_folder());
    }
    return remove_stale_files(files);
}

result<std::unique_ptr<storage>> storage::open(disk& files, const std::string& cluster, member_id self)
{
    std::unique_ptr<storage> opened(new storage(files));
    BOOST_OUTCOME_TRYV2(auto&&, opened->load(cluster, self));
    return opened;
}

result<void> storage::load(const std::string& cluster, member_id self)
{
    BOOST_OUTCOME_TRY(const auto names, m_disk.list());
    for (const std::string& name : names) {
        if (name.ends_with(".tmp")) {
            BOOST_OUTCOME_TRYV2(auto&&, m_disk.remove(name));
        }
    }
    BOOST_OUTCOME_TRY(const identity stored, detail::read_identity(m_disk));
    if (stored.cluster != cluster || stored.member != self) {
        return make_error(error_kind::conflict,
                          "the data folder belongs to member " + std::to_string(stored.member) +
                              " of cluster " + stored.cluster,
                          "correct the settings or choose another data folder");
    }
    m_start.self = stored.member;
    m_start.folder = stored.folder;
    BOOST_OUTCOME_TRY(m_start.term_and_vote, detail::read_hard_state(m_disk));
    BOOST_OUTCOME_TRYV2(auto&&, load_snapshot(names));
    BOOST_OUTCOME_TRYV2(auto&&, load_log(names));
    BOOST_OUTCOME_TRYV2(auto&&, reconcile_log_and_snapshot());
    // Data written by a crashed process can be readable without being durable.
    BOOST_OUTCOME_TRYV2(auto&&, sync());
    return m_disk.sync_folder();
}

result<void> storage::load_snapshot(const std::vector<std::string>& names)
{
    const auto numbers = detail::parse_file_numbers(names, "snapshot-");
    if (numbers.empty()) {
        return success();
    }
    const std::string name = snapshot_name(numbers.back());
    BOOST_OUTCOME_TRY(const bytes file, m_disk.read(name));
    BOOST_OUTCOME_TRY(m_start.snapshot, detail::check_snapshot(name, file));
    if (m_start.snapshot->index != numbers.back()) {
        return corrupt_file_error(name, 0, "index does not match the file name");
    }
    m_snapshot_index = m_start.snapshot->index;
    return success();
}

result<void> storage::load_log(const std::vector<std::string>& names)
{
    const auto numbers = detail::parse_file_numbers(names, "log-");
    if (numbers.empty()) {
        return corrupt_file_error("log-1", 0, "missing file");
    }
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        if (numbers[i] != numbers.front() + i) {
            return corrupt_file_error(segment_name(numbers.front() + i), 0, "missing file");
        }
        m_segments.push_back({numbers[i], 0, 0});
        BOOST_OUTCOME_TRYV2(auto&&, load_segment(m_segments.back(), i + 1 == numbers.size()));
    }
    return success();
}

result<void> storage::load_segment(segment& target, bool newest)
{
    const std::string name = segment_name(target.number);
    BOOST_OUTCOME_TRY(const bytes file, m_disk.read(name));
    const bytes header = detail::segment_header(target.number);
    if (file.size() < header.size() || !std::equal(header.begin(), header.end(), file.begin())) {
        return corrupt_file_error(name, 0, "bad header");
    }
    std::uint64_t offset = header.size();
    while (offset < file.size()) {
        auto read = detail::read_record(std::span(file).subspan(offset), offset);
        if (read.state == detail::record_state::torn && newest) {
            BOOST_OUTCOME_TRYV2(auto&&, m_disk.truncate(name, offset));
            break;
        }
        if (read.state != detail::record_state::valid) {
            return corrupt_file_error(name, offset, "bad checksum");
        }
        target.max_index = std::max(target.max_index, read.value.index);
        entry value{read.value.index, read.value.term, entry_kind::command, std::move(read.value.payload)};
        BOOST_OUTCOME_TRYV2(
            auto&&, load_record(name, offset, static_cast<std::uint8_t>(read.value.type), std::move(value)));
        offset += read.size;
    }
    target.size = offset;
    return success();
}

result<void> storage::load_record(const std::string& name, std::uint64_t offset, std::uint8_t type,
                                  entry value)
{
    auto& entries = m_start.entries;
    if (static_cast<record_type>(type) == record_type::reset) {
        entries.clear();
        m_loaded_reset = value.index;
        return success();
    }
    value.kind = static_cast<entry_kind>(type);
    if (entries.empty()) {
        const log_index before = m_loaded_reset.value_or(m_snapshot_index);
        if (value.index > std::max(before, m_snapshot_index) + 1) {
            return corrupt_file_error(name, offset,
                                      "missing entries before index " + std::to_string(value.index));
        }
    } else if (value.index > entries.back().index + 1) {
        return corrupt_file_error(name, offset,
                                  "missing entries before index " + std::to_string(value.index));
    }
    while (!entries.empty() && entries.back().index >= value.index) {
        entries.pop_back();
    }
    entries.push_back(std::move(value));
    return success();
}

// Drops the entries that the snapshot covers. If the log does not contain the last entry of the snapshot, a
// crash occurred between saving a received snapshot and writing the reset record; the remaining entries
// conflict with the snapshot and are discarded.
result<void> storage::reconcile_log_and_snapshot()
{
    auto& entries = m_start.entries;
    const log_index last = m_snapshot_index;
    if (m_loaded_reset.value_or(0) > last) {
        return corrupt_file_error(snapshot_name(*m_loaded_reset), 0, "missing file");
    }
    if (last == 0) {
        return success();
    }
    const bool continues = !entries.empty() && entries.front().index == last + 1;
    const bool after_reset = entries.empty() && m_loaded_reset == last;
    if (continues || after_reset) {
        return success();
    }
    const bool covers = !entries.empty() && entries.front().index <= last && entries.back().index >= last &&
                        entries[last - entries.front().index].term == m_start.snapshot->term;
    if (!covers) {
        entries.clear();
        return write_reset(last, m_start.snapshot->term);
    }
    entries.erase(entries.begin(),
                  entries.begin() + static_cast<std::ptrdiff_t>(last - entries.front().index + 1));
    return success();
}

result<void> storage::save_hard_state(const hard_state& value)
{
    return detail::write_hard_state(m_disk, value);
}

result<void> storage::append(std::span<const entry> entries)
{
    if (entries.empty()) {
        return success();
    }
    bytes data;
    for (const entry& value : entries) {
        detail::write_record(data, static_cast<record_type>(value.kind), value.index, value.term, value.data);
    }
    return write_records(data, entries.back().index);
}

result<void> storage::write_records(const bytes& data, log_index max_index)
{
    if (m_segments.back().size >= segment_bytes) {
        BOOST_OUTCOME_TRYV2(auto&&, sync());
        BOOST_OUTCOME_TRYV2(auto&&, begin_segment(m_segments.back().number + 1));
    }
    segment& target = m_segments.back();
    BOOST_OUTCOME_TRYV2(auto&&, m_disk.append(segment_name(target.number), data));
    target.size += data.size();
    target.max_index = std::max(target.max_index, max_index);
    return success();
}

result<void> storage::begin_segment(std::uint64_t number)
{
    const bytes header = detail::segment_header(number);
    BOOST_OUTCOME_TRYV2(auto&&, detail::write_file_atomically(m_disk, segment_name(number), header));
    m_segments.push_back({number, header.size(), 0});
    return success();
}

result<void> storage::sync()
{
    return m_disk.sync(segment_name(m_segments.back().number));
}

result<void> storage::write_reset(log_index index, term_number term)
{
    bytes data;
    detail::write_record(data, record_type::reset, index, term, {});
    BOOST_OUTCOME_TRYV2(auto&&, write_records(data, index));
    return sync();
}

result<void> storage::save_image(log_index index, term_number term, std::span<const std::uint8_t> image)
{
    bytes file = detail::snapshot_header(index, term, image);
    file.insert(file.end(), image.begin(), image.end());
    BOOST_OUTCOME_TRYV2(auto&&, detail::write_file_atomically(m_disk, snapshot_name(index), file));
    m_snapshot_index = index;
    return success();
}

result<snapshot_meta> storage::save_snapshot(log_index index, term_number term, const membership& members,
                                             std::span<const std::uint8_t> state)
{
    const bytes image = make_image(members, state);
    BOOST_OUTCOME_TRYV2(auto&&, save_image(index, term, image));
    const bytes header = detail::snapshot_header(index, term, image);
    byte_reader hash{std::span<const std::uint8_t>(header).subspan(32)};
    return snapshot_meta{index, term, members, image.size(), hash.number<std::uint64_t>()};
}

result<void> storage::install_snapshot(const snapshot_image& image)
{
    BOOST_OUTCOME_TRYV2(auto&&, save_image(image.index, image.term, image.image));
    return write_reset(image.index, image.term);
}

result<void> storage::remove_obsolete_files()
{
    BOOST_OUTCOME_TRY(const auto names, m_disk.list());
    for (const std::uint64_t number : detail::parse_file_numbers(names, "snapshot-")) {
        if (number < m_snapshot_index) {
            BOOST_OUTCOME_TRYV2(auto&&, m_disk.remove(snapshot_name(number)));
        }
    }
    // Removes the oldest segments first and stops at the first one that is still needed, because later
    // records replace earlier ones. Each removal is made durable before the next, so that a crash leaves no
    // gap in the segment numbers.
    while (m_segments.size() > 1 && m_segments.front().max_index <= m_snapshot_index) {
        BOOST_OUTCOME_TRYV2(auto&&, m_disk.remove(segment_name(m_segments.front().number)));
        m_segments.erase(m_segments.begin());
        BOOST_OUTCOME_TRYV2(auto&&, m_disk.sync_folder());
    }
    return m_disk.sync_folder();
}

result<bytes> storage::read_image(std::uint64_t offset, std::size_t length)
{
    return m_disk.read_part(snapshot_name(m_snapshot_index), detail::snapshot_header_size + offset, length);
}

result<bytes> storage::read_state()
{
    BOOST_OUTCOME_TRY(const bytes image, read_image(0, SIZE_MAX));
    BOOST_OUTCOME_TRY(const auto state, state_from_image(image));
    return bytes(state.begin(), state.end());
}

} // namespace verbena::raft
