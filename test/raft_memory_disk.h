#pragma once

#include "base/random.h"
#include "raft/disk.h"

#include <functional>
#include <map>
#include <memory>

namespace verbena::test {

// Kind of crash. A power failure keeps synced bytes and possibly a part of the unsynced bytes; after a
// process crash everything stays readable, but unsynced bytes are still not durable.
enum class crash_kind : std::uint8_t { power, process };

// In-memory disk that simulates which data survives a crash.
class memory_disk final : public raft::disk {
public:
    // Called before each operation except list and read. If it returns false, the operation fails as if the
    // machine had stopped.
    std::function<bool()> before_operation;

    // Defect for tests of the checker: sync() reports success, but only every eighth call flushes the cache.
    bool ignores_sync = false;

    // Defect for tests of the checker: flip() has no effect, so injected corruption cannot be detected.
    bool ignores_flips = false;

    void crash(crash_kind kind, random_engine& random);

    // Flips bits of one byte to simulate corruption of the medium.
    void flip(const std::string& name, std::uint64_t offset);

    std::uint64_t sync_count() const { return m_syncs; }

    result<std::vector<std::string>> list() override;
    result<raft::bytes> read(const std::string& name) override;
    result<raft::bytes> read_part(const std::string& name, std::uint64_t offset, std::size_t length) override;
    result<void> append(const std::string& name, std::span<const std::uint8_t> data) override;
    result<void> truncate(const std::string& name, std::uint64_t size) override;
    result<void> sync(const std::string& name) override;
    result<void> rename(const std::string& from, const std::string& to) override;
    result<void> remove(const std::string& name) override;
    result<void> sync_folder() override;

private:
    struct file {
        raft::bytes data;
        std::size_t synced = 0;
    };

    using folder = std::map<std::string, std::shared_ptr<file>>;

    result<void> begin_operation();
    void flush_cache();
    void discard_cache();
    result<file*> find(const std::string& name);

    folder m_names;

    // Durable directory, then one state per change since the last sync.
    std::vector<folder> m_name_history{{}};

    std::uint64_t m_syncs = 0;
    std::map<std::string, raft::bytes> m_flushed; // durable content of a disk that ignores sync
};

} // namespace verbena::test
