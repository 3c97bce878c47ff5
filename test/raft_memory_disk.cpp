#include "raft_memory_disk.h"

#include <algorithm>

namespace verbena::test {

namespace {

constexpr std::size_t block_size = 512;

std::size_t pick(random_engine& random, std::size_t count)
{
    return static_cast<std::size_t>(random() % count);
}

} // namespace

void memory_disk::crash(crash_kind kind, random_engine& random)
{
    if (kind == crash_kind::process) {
        return;
    }
    if (ignores_sync) {
        lose_cache();
        return;
    }
    // A file system makes changes of names durable in order, at the latest when the folder is synced.
    m_names = m_history[pick(random, m_history.size())];
    m_history = {m_names};
    for (auto& [name, content] : m_names) {
        const std::size_t unsynced = content->data.size() - content->synced;
        const std::size_t kept = pick(random, unsynced + 1);
        content->data.resize(content->synced + kept);
        // The file can have grown before its last blocks arrived.
        const std::size_t block = content->data.size() / block_size * block_size;
        if (block >= content->synced && pick(random, 2) == 0) {
            std::fill(content->data.begin() + static_cast<std::ptrdiff_t>(block), content->data.end(), 0);
        }
        content->synced = content->data.size();
    }
}

void memory_disk::write_out()
{
    m_written_out.clear();
    for (const auto& [name, content] : m_names) {
        m_written_out[name] = content->data;
    }
}

void memory_disk::lose_cache()
{
    if (m_written_out.empty()) {
        write_out();
    }
    m_names.clear();
    for (const auto& [name, data] : m_written_out) {
        m_names[name] = std::make_shared<file>(file{data, data.size()});
    }
    m_history = {m_names};
}

void memory_disk::flip(const std::string& name, std::uint64_t offset)
{
    m_names.at(name)->data.at(offset) ^= hides_flips ? 0U : 0x41U;
}

result<void> memory_disk::begin()
{
    if (before_operation && !before_operation()) {
        return make_error(error_kind::io, "the simulated machine has stopped", "restart it");
    }
    return success();
}

result<memory_disk::file*> memory_disk::find(const std::string& name)
{
    const auto found = m_names.find(name);
    if (found == m_names.end()) {
        return make_error(error_kind::io, "cannot open " + name, "check the data folder");
    }
    return found->second.get();
}

result<std::vector<std::string>> memory_disk::list()
{
    std::vector<std::string> names;
    for (const auto& [name, content] : m_names) {
        names.push_back(name);
    }
    return names;
}

result<raft::bytes> memory_disk::read(const std::string& name)
{
    return read_part(name, 0, SIZE_MAX);
}

result<raft::bytes> memory_disk::read_part(const std::string& name, std::uint64_t offset, std::size_t length)
{
    BOOST_OUTCOME_TRY(const file* content, find(name));
    const std::size_t from = std::min<std::size_t>(offset, content->data.size());
    const std::size_t size = std::min(length, content->data.size() - from);
    const auto begin = content->data.begin() + static_cast<std::ptrdiff_t>(from);
    return raft::bytes(begin, begin + static_cast<std::ptrdiff_t>(size));
}

result<void> memory_disk::append(const std::string& name, std::span<const std::uint8_t> data)
{
    BOOST_OUTCOME_TRYV2(auto&&, begin());
    auto& content = m_names[name];
    if (!content) {
        content = std::make_shared<file>();
        m_history.push_back(m_names);
    }
    content->data.insert(content->data.end(), data.begin(), data.end());
    return success();
}

result<void> memory_disk::truncate(const std::string& name, std::uint64_t size)
{
    BOOST_OUTCOME_TRYV2(auto&&, begin());
    BOOST_OUTCOME_TRY(file * content, find(name));
    content->data.resize(size);
    content->synced = std::min<std::size_t>(content->synced, size);
    return success();
}

result<void> memory_disk::sync(const std::string& name)
{
    BOOST_OUTCOME_TRYV2(auto&&, begin());
    BOOST_OUTCOME_TRY(file * content, find(name));
    ++m_syncs;
    content->synced = content->data.size();
    if (ignores_sync && (m_written_out.empty() || m_syncs % 8 == 0)) {
        write_out();
    }
    return success();
}

result<void> memory_disk::rename(const std::string& from, const std::string& to)
{
    BOOST_OUTCOME_TRYV2(auto&&, begin());
    BOOST_OUTCOME_TRYV2(auto&&, find(from));
    m_names[to] = m_names[from];
    m_names.erase(from);
    m_history.push_back(m_names);
    return success();
}

result<void> memory_disk::remove(const std::string& name)
{
    BOOST_OUTCOME_TRYV2(auto&&, begin());
    m_names.erase(name);
    m_history.push_back(m_names);
    return success();
}

result<void> memory_disk::sync_folder()
{
    BOOST_OUTCOME_TRYV2(auto&&, begin());
    m_history = {m_names};
    return success();
}

} // namespace verbena::test
