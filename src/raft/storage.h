#pragma once

#include "raft/core.h"
#include "raft/disk.h"

#include <memory>

namespace verbena::raft {

// Who a data folder belongs to; written once.
struct identity {
    std::string cluster;
    member_id member = 0;
    folder_id folder = 0; // 0 = initialised with the group
};

// Durable state of one member as files on a disk: `identity`, `vote`, `log-N` and `snapshot-N`. See
// docs/design.md, section 4.1. After an error of a writing call the object must not be used any more.
class storage {
public:
    // Whether the folder holds no member yet.
    static result<bool> is_empty(disk& files);

    // Makes the folder that of a member of a new group; every member of `members` is initialised with the
    // same list.
    static result<void> initialise(disk& files, const std::string& cluster, member_id self,
                                   const membership& members);

    // Makes the folder that of a member that waits to be added to a group. `folder` is random and not 0.
    static result<void> join(disk& files, const std::string& cluster, member_id self, folder_id folder);

    // Removes what a former member left, so that the folder can join again under a new id.
    static result<void> clear(disk& files);

    // Reads and checks everything. A folder of another cluster or member is refused; a record that a crash
    // cut short at the end of the log is removed; any other damage is an error that names file, offset and
    // remedy.
    static result<std::unique_ptr<storage>> open(disk& files, const std::string& cluster, member_id self);

    // What the core starts from. To be called once.
    start_state take_start_state() { return std::move(m_start); }

    result<void> save_vote(const hard_state& vote);

    // Writes entries; the first one replaces what the log holds from its index on. Durable after sync().
    result<void> append(std::span<const entry> entries);
    result<void> sync();

    // Saves a snapshot of the own state machine; durable on return.
    result<snapshot_meta> save_snapshot(log_index index, term_number term, const membership& members,
                                        std::span<const std::uint8_t> state);

    // Saves a snapshot received from a leader and lets the log continue behind it; durable on return.
    result<void> install_snapshot(const snapshot_image& image);

    // Removes older snapshots and the segments that only hold entries up to the newest snapshot.
    result<void> remove_obsolete();

    // Index of the newest snapshot; 0 = none.
    log_index snapshot_index() const { return m_snapshot_index; }

    // A part of the newest snapshot's image.
    result<bytes> read_image(std::uint64_t offset, std::size_t length);

    // The state machine's bytes in the newest snapshot.
    result<bytes> read_state();

    // Size of a segment in bytes after which a new one is begun.
    static constexpr std::uint64_t segment_bytes = 4 * 1024 * 1024;

private:
    struct segment {
        std::uint64_t number = 0;
        std::uint64_t size = 0;
        log_index max_index = 0;
    };

    explicit storage(disk& files) : m_disk(files) {}

    result<void> load(const std::string& cluster, member_id self);
    result<void> load_snapshot(const std::vector<std::string>& names);
    result<void> load_log(const std::vector<std::string>& names);
    result<void> load_segment(segment& part, bool newest);
    result<void> load_record(const std::string& name, std::uint64_t offset, std::uint8_t type, entry value);
    result<void> join_log_and_snapshot();
    result<void> write_records(const bytes& data, log_index max_index);
    result<void> write_reset(log_index index, term_number term);
    result<void> begin_segment(std::uint64_t number);
    result<void> save_image(log_index index, term_number term, std::span<const std::uint8_t> image);

    disk& m_disk;
    start_state m_start;
    std::vector<segment> m_segments; // oldest first
    log_index m_snapshot_index = 0;
    std::optional<log_index> m_loaded_reset; // index of the newest reset record read
};

// The image of a snapshot: length of the membership record (u32), the record, the state machine's bytes.
bytes make_image(const membership& members, std::span<const std::uint8_t> state);

// The state machine's bytes in an image.
result<std::span<const std::uint8_t>> state_of_image(std::span<const std::uint8_t> image);

} // namespace verbena::raft
