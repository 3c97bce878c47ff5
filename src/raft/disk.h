#pragma once

#include "base/error.h"
#include "raft/types.h"

#include <span>
#include <string>

namespace verbena::raft {

// Interface to a flat folder of files. Content is durable after sync(); the creation, renaming or removal of
// a file is durable after sync_folder(). Errors are of kind io and name the file.
class disk {
public:
    disk() = default;
    disk(const disk&) = delete;
    disk& operator=(const disk&) = delete;
    disk(disk&&) = delete;
    disk& operator=(disk&&) = delete;
    virtual ~disk() = default;

    // Names of all files, in no particular order.
    virtual result<std::vector<std::string>> list() = 0;

    virtual result<bytes> read(const std::string& name) = 0;

    // At most `length` bytes from `offset`; fewer at the end of the file.
    virtual result<bytes> read_part(const std::string& name, std::uint64_t offset, std::size_t length) = 0;

    // Creates the file if it does not exist.
    virtual result<void> append(const std::string& name, std::span<const std::uint8_t> data) = 0;

    virtual result<void> truncate(const std::string& name, std::uint64_t size) = 0;
    virtual result<void> sync(const std::string& name) = 0;
    virtual result<void> rename(const std::string& from, const std::string& to) = 0;
    virtual result<void> remove(const std::string& name) = 0;
    virtual result<void> sync_folder() = 0;
};

} // namespace verbena::raft
