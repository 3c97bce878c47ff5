#include "raft/storage.h"

#include "raft/encoding.h"
#include "raft/files.h"
#include "raft/record.h"

#include <algorithm>

namespace verbena::raft {

using detail::damaged;
using detail::record_type;
using detail::segment_name;
using detail::snapshot_name;

namespace {

// A crash before the identity was written leaves a folder that never acted as a member.
result<void> remove_leftovers(disk& files)
{
    BOOST_OUTCOME_TRY(const auto names, files.list());
    if (std::find(names.begin(), names.end(), "identity") != names.end()) {
        return make_error(error_kind::conflict, "the data folder already belongs to a member",
                          "start it as it is, or choose another data folder");
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
    const bytes listed = encode(members);
    bytes image;
    image.reserve(4 + listed.size() + state.size());
    byte_writer writer(image);
    writer.number(static_cast<std::uint32_t>(listed.size()));
    writer.raw(listed);
    writer.raw(state);
    return image;
}

result<std::span<const std::uint8_t>> state_of_image(std::span<const std::uint8_t> image)
{
    byte_reader reader(image);
    reader.raw(reader.number<std::uint32_t>());
    if (!reader.ok()) {
        return make_error(error_kind::corrupt, "a snapshot image is too short", detail::damage_remedy);
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
    BOOST_OUTCOME_TRYV2(auto&&, remove_leftovers(files));
    bytes first = detail::segment_header(1);
    detail::write_record(first, record_type::membership, 1, 1, encode(members));
    BOOST_OUTCOME_TRYV2(auto&&, detail::write_whole(files, segment_name(1), first));
    BOOST_OUTCOME_TRYV2(auto&&, detail::write_vote(files, hard_state{1, 0}));
    return detail::write_identity(files, identity{cluster, self, 0});
}

result<void> storage::join(disk& files, const std::string& cluster, member_id self, folder_id folder)
{
    BOOST_OUTCOME_TRYV2(auto&&, remove_leftovers(files));
    BOOST_OUTCOME_TRYV2(auto&&, detail::write_whole(files, segment_name(1), detail::segment_header(1)));
    BOOST_OUTCOME_TRYV2(auto&&, detail::write_vote(files, hard_state{}));
    return detail::write_identity(files, identity{cluster, self, folder});
}

// The identity goes first: a crash in between leaves an empty folder, never one that is missing its log.
result<void> storage::clear(disk& files)
{
    BOOST_OUTCOME_TRY(const bool empty, is_empty(files));
    if (!empty) {
        BOOST_OUTCOME_TRYV2(auto&&, files.remove("identity"));
        BOOST_OUTCOME_TRYV2(auto&&, files.sync_folder());
    }
    return remove_leftovers(files);
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
    BOOST_OUTCOME_TRY(const identity who, detail::read_identity(m_disk));
    if (who.cluster != cluster || who.member != self) {
        return make_error(error_kind::conflict,
                          "the data folder belongs to member " + std::to_string(who.member) + " of cluster " +
                              who.cluster,
                          "correct the settings or choose another data folder");
    }
    m_start.self = who.member;
    m_start.folder = who.folder;
    BOOST_OUTCOME_TRY(m_start.vote, detail::read_vote(m_disk));
    BOOST_OUTCOME_TRYV2(auto&&, load_snapshot(names));
    BOOST_OUTCOME_TRYV2(auto&&, load_log(names));
    BOOST_OUTCOME_TRYV2(auto&&, join_log_and_snapshot());
    // What a crashed process wrote can be readable without being durable.
    BOOST_OUTCOME_TRYV2(auto&&, sync());
    return m_disk.sync_folder();
}

result<void> storage::load_snapshot(const std::vector<std::string>& names)
{
    const auto numbers = detail::numbers_of(names, "snapshot-");
    if (numbers.empty()) {
        return success();
    }
    const std::string name = snapshot_name(numbers.back());
    BOOST_OUTCOME_TRY(const bytes file, m_disk.read(name));
    BOOST_OUTCOME_TRY(m_start.snapshot, detail::check_snapshot(name, file));
    if (m_start.snapshot->index != numbers.back()) {
        return damaged(name, 0, "index of another snapshot");
    }
    m_snapshot_index = m_start.snapshot->index;
    return success();
}

result<void> storage::load_log(const std::vector<std::string>& names)
{
    const auto numbers = detail::numbers_of(names, "log-");
    if (numbers.empty()) {
        return damaged("log-1", 0, "missing file");
    }
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        if (numbers[i] != numbers.front() + i) {
            return damaged(segment_name(numbers.front() + i), 0, "missing file");
        }
        m_segments.push_back({numbers[i], 0, 0});
        BOOST_OUTCOME_TRYV2(auto&&, load_segment(m_segments.back(), i + 1 == numbers.size()));
    }
    return success();
}

result<void> storage::load_segment(segment& part, bool newest)
{
    const std::string name = segment_name(part.number);
    BOOST_OUTCOME_TRY(const bytes file, m_disk.read(name));
    const bytes header = detail::segment_header(part.number);
    if (file.size() < header.size() || !std::equal(header.begin(), header.end(), file.begin())) {
        return damaged(name, 0, "bad header");
    }
    std::uint64_t offset = header.size();
    while (offset < file.size()) {
        auto read = detail::read_record(std::span(file).subspan(offset), offset);
        if (read.state == detail::record_state::torn && newest) {
            BOOST_OUTCOME_TRYV2(auto&&, m_disk.truncate(name, offset));
            break;
        }
        if (read.state != detail::record_state::whole) {
            return damaged(name, offset, "bad checksum");
        }
        part.max_index = std::max(part.max_index, read.value.index);
        entry value{read.value.index, read.value.term, entry_kind::command, std::move(read.value.payload)};
        BOOST_OUTCOME_TRYV2(
            auto&&, load_record(name, offset, static_cast<std::uint8_t>(read.value.type), std::move(value)));
        offset += read.size;
    }
    part.size = offset;
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
            return damaged(name, offset, "missing entries before index " + std::to_string(value.index));
        }
    } else if (value.index > entries.back().index + 1) {
        return damaged(name, offset, "missing entries before index " + std::to_string(value.index));
    }
    while (!entries.empty() && entries.back().index >= value.index) {
        entries.pop_back();
    }
    entries.push_back(std::move(value));
    return success();
}

// Drops the entries that the snapshot covers. If the log does not run through the snapshot, a crash came
// between saving a received snapshot and the reset record, and the log's remaining entries are from a
// superseded history.
result<void> storage::join_log_and_snapshot()
{
    auto& entries = m_start.entries;
    const log_index last = m_snapshot_index;
    if (m_loaded_reset.value_or(0) > last) {
        return damaged(snapshot_name(*m_loaded_reset), 0, "missing file");
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

result<void> storage::save_vote(const hard_state& vote)
{
    return detail::write_vote(m_disk, vote);
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
    segment& part = m_segments.back();
    BOOST_OUTCOME_TRYV2(auto&&, m_disk.append(segment_name(part.number), data));
    part.size += data.size();
    part.max_index = std::max(part.max_index, max_index);
    return success();
}

result<void> storage::begin_segment(std::uint64_t number)
{
    const bytes header = detail::segment_header(number);
    BOOST_OUTCOME_TRYV2(auto&&, detail::write_whole(m_disk, segment_name(number), header));
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
    BOOST_OUTCOME_TRYV2(auto&&, detail::write_whole(m_disk, snapshot_name(index), file));
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

result<void> storage::remove_obsolete()
{
    BOOST_OUTCOME_TRY(const auto names, m_disk.list());
    for (const std::uint64_t number : detail::numbers_of(names, "snapshot-")) {
        if (number < m_snapshot_index) {
            BOOST_OUTCOME_TRYV2(auto&&, m_disk.remove(snapshot_name(number)));
        }
    }
    // Oldest first and never across a segment that is still needed, because later records replace earlier
    // ones. Each removal is made durable before the next, so that no crash leaves a gap in the numbers.
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
    BOOST_OUTCOME_TRY(const auto state, state_of_image(image));
    return bytes(state.begin(), state.end());
}

} // namespace verbena::raft
