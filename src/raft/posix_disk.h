#pragma once

#include "raft/disk.h"

#include <memory>

namespace verbena::raft {

// Stores files in a folder of the local file system and syncs them with fdatasync and fsync.
class posix_disk final : public disk {
public:
    // Creates the folder if it does not exist. An advisory lock prevents a second process from opening it.
    static result<std::unique_ptr<posix_disk>> open(const std::string& folder);

    posix_disk(const posix_disk&) = delete;
    posix_disk& operator=(const posix_disk&) = delete;
    posix_disk(posix_disk&&) = delete;
    posix_disk& operator=(posix_disk&&) = delete;
    ~posix_disk() override;

    result<std::vector<std::string>> list() override;
    result<bytes> read(const std::string& name) override;
    result<bytes> read_part(const std::string& name, std::uint64_t offset, std::size_t length) override;
    result<void> append(const std::string& name, std::span<const std::uint8_t> data) override;
    result<void> truncate(const std::string& name, std::uint64_t size) override;
    result<void> sync(const std::string& name) override;
    result<void> rename(const std::string& from, const std::string& to) override;
    result<void> remove(const std::string& name) override;
    result<void> sync_folder() override;

private:
    posix_disk(std::string folder, int folder_fd);

    error failure(const std::string& what, const std::string& name) const;
    result<int> writer(const std::string& name);
    void close_writer();

    std::string m_folder;
    int m_folder_fd;

    // The most recently written file stays open, because nearly all writes go to the newest log segment.
    std::string m_writer_name;
    int m_writer_fd = -1;
};

} // namespace verbena::raft
