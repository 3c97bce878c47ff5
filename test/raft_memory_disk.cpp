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
        discard_cache();
        return;
    }
    // Directory changes become durable in order, at the latest when the folder is synced.
    m_names = m_name_history[pick(random, m_name_history.size())];
    m_name_history = {m_names};
    for (auto& [name, content] : m_names) {
        const std::size_t unsynced = content->data.size() - content->synced;
        const std::size_t kept = pick(random, unsynced + 1);
        content->data.resize(content->synced + kept);
        // The new size may be durable before the last blocks are written.
        const std::size_t block = content->data.size() / block_size * block_size;
        if (block >= content->synced && pick(random, 2) == 0) {
            std::fill(content->data.begin() + static_cast<std::ptrdiff_t>(block), content->data.end(), 0);
        }
        content->synced = content->data.size();
    }
}

void memory_disk::flush_cache()
{
    m_flushed.clear();
    for (const auto& [name, content] : m_names) {
        m_flushed[name] = content->data;
    }
}

void memory_disk::discard_cache()
{
    if (m_flushed.empty()) {
        flush_cache();
    }
    m_names.clear();
    for (const auto& [name, data] : m_flushed) {
        m_names[name] = std::make_shared<file>(file{data, data.size()});
    }
    m_name_history = {m_names};
}

void memory_disk::flip(const std::string& name, std::uint64_t offset)
{
    m_names.at(name)->data.at(offset) ^= ignores_flips ? 0U : 0x41U;
}

result<void> memory_disk::begin_operation()
{
    if (before_operation && !before_operation()) {
        return make_error(error_kind::io, "the simulated machine has stopped", "restart the member");
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
    BOOST_OUTCOME_TRYV2(auto&&, begin_operation());
    auto& content = m_names[name];
    if (!content) {
        content = std::make_shared<file>();
        m_name_history.push_back(m_names);
    }
    content->data.insert(content->data.end(), data.begin(), data.end());
    return success();
}

result<void> memory_disk::truncate(const std::string& name, std::uint64_t size)
{
    BOOST_OUTCOME_TRYV2(auto&&, begin_operation());
    BOOST_OUTCOME_TRY(file * content, find(name));
    content->data.resize(size);
    content->synced = std::min<std::size_t>(content->synced, size);
    return success();
}

result<void> memory_disk::sync(const std::string& name)
{
    BOOST_OUTCOME_TRYV2(auto&&, begin_operation());
    BOOST_OUTCOME_TRY(file * content, find(name));
    ++m_syncs;
    content->synced = content->data.size();
    if (ignores_sync && (m_flushed.empty() || m_syncs % 8 == 0)) {
        flush_cache();
    }
    return success();
}

result<void> memory_disk::rename(const std::string& from, const std::string& to)
{
    BOOST_OUTCOME_TRYV2(auto&&, begin_operation());
    BOOST_OUTCOME_TRYV2(auto&&, find(from));
    m_names[to] = m_names[from];
    m_names.erase(from);
    m_name_history.push_back(m_names);
    return success();
}

result<void> memory_disk::remove(const std::string& name)
{
    BOOST_OUTCOME_TRYV2(auto&&, begin_operation());
    m_names.erase(name);
    m_name_history.push_back(m_names);
    return success();
}

result<void> memory_disk::sync_folder()
{
    BOOST_OUTCOME_TRYV2(auto&&, begin_operation());
    m_name_history = {m_names};
    return success();
}

} // namespace verbena::test
