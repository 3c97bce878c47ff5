#pragma once

#include "raft/core.h"
#include "raft/disk.h"

#include <memory>

namespace verbena::raft {

// Cluster and member that a data folder belongs to; written once.
struct identity {
    std::string cluster;
    member_id member = 0;
    folder_id folder = 0; // 0 = initialised with the group
};

// Durable state of one member in files: `identity`, `vote`, `log-N` and `snapshot-N`. See
// docs/design.md, section 4.1. After a failed write the object must not be used any more.
class storage {
public:
    // Whether the folder has no identity and so does not belong to a member yet.
    static result<bool> is_empty(disk& files);

    // Initialises the folder for a member of a new group. Every member must be initialised with the same
    // `members`.
    static result<void> initialise(disk& files, const std::string& cluster, member_id self,
                                   const membership& members);

    // Initialises the folder for a member that waits to be added to an existing group. `folder` is random and
    // not 0.
    static result<void> join(disk& files, const std::string& cluster, member_id self, folder_id folder);

    // Removes the files of a former member, so that the folder can join again under a new id.
    static result<void> clear(disk& files);

    // Loads and verifies all files. A folder of another cluster or member is refused. A record at the end of
    // the log that a crash truncated is removed; any other corruption is an error with file, offset and
    // remedy.
    static result<std::unique_ptr<storage>> open(disk& files, const std::string& cluster, member_id self);

    // Moves out the loaded state. Must be called only once.
    start_state take_start_state() { return std::move(m_start); }

    result<void> save_hard_state(const hard_state& value);

    // Appends entries; the first one replaces all entries from its index on. Durable after sync().
    result<void> append(std::span<const entry> entries);
    result<void> sync();

    // Saves a snapshot of this member's state machine; durable on return.
    result<snapshot_meta> save_snapshot(log_index index, term_number term, const membership& members,
                                        std::span<const std::uint8_t> state);

    // Saves a snapshot received from a leader and resets the log to its index; durable on return.
    result<void> install_snapshot(const snapshot_image& image);

    // Removes older snapshots, and segments whose entries are all covered by the newest snapshot.
    result<void> remove_obsolete_files();

    // Index of the newest snapshot; 0 = none.
    log_index snapshot_index() const { return m_snapshot_index; }

    // Reads a part of the newest snapshot's image.
    result<bytes> read_image(std::uint64_t offset, std::size_t length);

    // Reads the state machine's bytes from the newest snapshot.
    result<bytes> read_state();

    // Size in bytes after which a new segment is started.
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
    result<void> load_segment(segment& target, bool newest);
    result<void> load_record(const std::string& name, std::uint64_t offset, std::uint8_t type, entry value);
    result<void> reconcile_log_and_snapshot();
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

// Builds a snapshot image: length of the membership record (u32), the record, the state machine's bytes.
bytes make_image(const membership& members, std::span<const std::uint8_t> state);

// Returns the state machine's bytes of an image.
result<std::span<const std::uint8_t>> state_from_image(std::span<const std::uint8_t> image);

} // namespace verbena::raft
