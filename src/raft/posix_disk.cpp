#include "raft/posix_disk.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>

namespace verbena::raft {

namespace {

constexpr const char* io_remedy = "check the disk and the permissions of the data folder, then restart";

error folder_error(const std::string& what, const std::string& folder)
{
    return make_error(error_kind::io, what + " " + folder + ": " + std::strerror(errno), io_remedy);
}

} // namespace

result<std::unique_ptr<posix_disk>> posix_disk::open(const std::string& folder)
{
    std::error_code failed;
    std::filesystem::create_directories(folder, failed);
    const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) {
        return folder_error("cannot open the data folder", folder);
    }
    if (::flock(fd, LOCK_EX | LOCK_NB) != 0) {
        ::close(fd);
        return make_error(error_kind::conflict, "another process uses the data folder " + folder,
                          "stop it or choose another data folder");
    }
    return std::unique_ptr<posix_disk>(new posix_disk(folder, fd));
}

posix_disk::posix_disk(std::string folder, int folder_fd)
    : m_folder(std::move(folder)), m_folder_fd(folder_fd)
{
}

posix_disk::~posix_disk()
{
    close_writer();
    ::close(m_folder_fd);
}

error posix_disk::failure(const std::string& what, const std::string& name) const
{
    return make_error(error_kind::io, what + " " + m_folder + "/" + name + ": " + std::strerror(errno),
                      io_remedy);
}

result<int> posix_disk::writer(const std::string& name)
{
    if (m_writer_fd >= 0 && m_writer_name == name) {
        return m_writer_fd;
    }
    close_writer();
    m_writer_fd = ::openat(m_folder_fd, name.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
    if (m_writer_fd < 0) {
        return failure("cannot open", name);
    }
    m_writer_name = name;
    return m_writer_fd;
}

void posix_disk::close_writer()
{
    if (m_writer_fd >= 0) {
        ::close(m_writer_fd);
    }
    m_writer_fd = -1;
    m_writer_name.clear();
}

result<std::vector<std::string>> posix_disk::list()
{
    std::vector<std::string> names;
    std::error_code failed;
    for (const auto& item : std::filesystem::directory_iterator(m_folder, failed)) {
        if (item.is_regular_file(failed)) {
            names.push_back(item.path().filename().string());
        }
    }
    if (failed) {
        return make_error(error_kind::io, "cannot list " + m_folder + ": " + failed.message(), io_remedy);
    }
    return names;
}

result<bytes> posix_disk::read(const std::string& name)
{
    return read_part(name, 0, SIZE_MAX);
}

result<bytes> posix_disk::read_part(const std::string& name, std::uint64_t offset, std::size_t length)
{
    const int fd = ::openat(m_folder_fd, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        return failure("cannot open", name);
    }
    const off_t end = ::lseek(fd, 0, SEEK_END);
    const auto size = end < 0 ? 0 : static_cast<std::uint64_t>(end);
    bytes data(std::min<std::uint64_t>(length, size > offset ? size - offset : 0));
    std::size_t done = 0;
    while (done < data.size()) {
        const ssize_t got =
            ::pread(fd, data.data() + done, data.size() - done, static_cast<off_t>(offset + done));
        if (got < 0 && errno == EINTR) {
            continue;
        }
        if (got <= 0) {
            ::close(fd);
            return failure("cannot read", name);
        }
        done += static_cast<std::size_t>(got);
    }
    ::close(fd);
    return data;
}

result<void> posix_disk::append(const std::string& name, std::span<const std::uint8_t> data)
{
    BOOST_OUTCOME_TRY(const int fd, writer(name));
    while (!data.empty()) {
        const ssize_t put = ::write(fd, data.data(), data.size());
        if (put < 0 && errno == EINTR) {
            continue;
        }
        if (put <= 0) {
            return failure("cannot write", name);
        }
        data = data.subspan(static_cast<std::size_t>(put));
    }
    return success();
}

result<void> posix_disk::truncate(const std::string& name, std::uint64_t size)
{
    BOOST_OUTCOME_TRY(const int fd, writer(name));
    if (::ftruncate(fd, static_cast<off_t>(size)) != 0) {
        return failure("cannot truncate", name);
    }
    return success();
}

result<void> posix_disk::sync(const std::string& name)
{
    BOOST_OUTCOME_TRY(const int fd, writer(name));
    if (::fdatasync(fd) != 0) {
        return failure("cannot sync", name);
    }
    return success();
}

result<void> posix_disk::rename(const std::string& from, const std::string& to)
{
    close_writer();
    if (::renameat(m_folder_fd, from.c_str(), m_folder_fd, to.c_str()) != 0) {
        return failure("cannot rename", from);
    }
    return success();
}

result<void> posix_disk::remove(const std::string& name)
{
    if (m_writer_name == name) {
        close_writer();
    }
    if (::unlinkat(m_folder_fd, name.c_str(), 0) != 0) {
        return failure("cannot remove", name);
    }
    return success();
}

result<void> posix_disk::sync_folder()
{
    if (::fsync(m_folder_fd) != 0) {
        return failure("cannot sync", ".");
    }
    return success();
}

} // namespace verbena::raft
