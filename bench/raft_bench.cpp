#include "raft/posix_disk.h"
#include "raft/replica.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <unistd.h>

// Measures the replicated log with real files and fsync. Usage: raft_bench [folder]
// Prints appends per second and latencies for groups of one and three members in one process, whose fsync
// calls run one after another, and the time to recover logs of 1k, 10k and 100k entries.

using namespace verbena;
using namespace verbena::raft;

namespace {

constexpr std::size_t payload_bytes = 300; // about the size of an idempotency-key record

class counting_state_machine final : public state_machine {
public:
    std::uint64_t count = 0;

    bytes apply(log_index /*index*/, std::span<const std::uint8_t> /*command*/) override
    {
        ++count;
        return {};
    }

    bytes snapshot() const override { return bytes(8); }
    result<void> restore(std::span<const std::uint8_t> /*state*/) override { return success(); }
};

class queue_transport final : public transport {
public:
    explicit queue_transport(std::deque<message>& queue) : m_queue(queue) {}
    void send(message outgoing) override { m_queue.push_back(std::move(outgoing)); }

private:
    std::deque<message>& m_queue;
};

struct bench_member {
    std::unique_ptr<posix_disk> files;
    counting_state_machine machine;
    std::unique_ptr<queue_transport> network;
    std::unique_ptr<replica> member;
};

template <typename T>
T require(result<T> value)
{
    if (!value) {
        std::fprintf(stderr, "%s\n", describe(value.error()).c_str());
        std::exit(1);
    }
    return std::move(value.value());
}

void require(const result<void>& value)
{
    if (!value) {
        std::fprintf(stderr, "%s\n", describe(value.error()).c_str());
        std::exit(1);
    }
}

class bench_group {
public:
    bench_group(const std::filesystem::path& folder, std::size_t size, const options& settings)
    {
        std::vector<member> members;
        for (member_id id = 1; id <= size; ++id) {
            members.push_back({id, 0, true, {}});
        }
        for (member_id id = 1; id <= size; ++id) {
            bench_member& node = m_nodes.emplace_back();
            node.files = require(posix_disk::open((folder / std::to_string(id)).string()));
            if (require(storage::is_empty(*node.files))) {
                require(storage::initialise(*node.files, "bench", id, make_initial_membership(members)));
            }
            node.network = std::make_unique<queue_transport>(m_queue);
            node.member =
                require(replica::open(require(storage::open(*node.files, "bench", id)), node.machine,
                                      *node.network, settings, random_engine(id), m_now));
        }
    }

    // Advances the simulated time past the election timeout, so that member 1 becomes leader.
    void elect()
    {
        m_now += milliseconds(1001);
        require(m_nodes[0].member->tick(m_now));
        deliver();
    }

    void deliver()
    {
        while (!m_queue.empty()) {
            const message received = std::move(m_queue.front());
            m_queue.pop_front();
            require(m_nodes[received.to - 1].member->step(received, m_now));
        }
    }

    // Proposes a batch and returns when all its entries are committed.
    void commit(std::size_t batch)
    {
        std::size_t uncommitted = batch;
        for (std::size_t i = 0; i < batch; ++i) {
            require(m_nodes[0].member->propose(bytes(payload_bytes, 1),
                                               [&uncommitted](const proposal_result&) { --uncommitted; }));
        }
        require(m_nodes[0].member->flush(m_now));
        deliver();
        if (uncommitted != 0) {
            std::fprintf(stderr, "%zu proposals were not committed\n", uncommitted);
            std::exit(1);
        }
    }

    std::uint64_t applied() const { return m_nodes[0].machine.count; }

private:
    std::deque<message> m_queue;
    std::deque<bench_member> m_nodes;
    time_point m_now{std::chrono::seconds(10)};
};

double seconds_since(time_point start)
{
    return std::chrono::duration<double>(clock::now() - start).count();
}

void measure_appends(const std::filesystem::path& folder, std::size_t size, std::size_t batch,
                     std::size_t rounds)
{
    std::filesystem::remove_all(folder);
    bench_group group(folder, size, options{});
    group.elect();
    std::vector<double> latencies;
    const time_point start = clock::now();
    for (std::size_t i = 0; i < rounds; ++i) {
        const time_point before = clock::now();
        group.commit(batch);
        latencies.push_back(seconds_since(before) * 1000);
    }
    const double total = seconds_since(start);
    std::sort(latencies.begin(), latencies.end());
    std::printf("members %zu, batch %zu: %.0f appends/s, p50 %.3f ms, p99 %.3f ms\n", size, batch,
                static_cast<double>(rounds * batch) / total, latencies[rounds / 2],
                latencies[rounds * 99 / 100]);
}

void measure_recovery(const std::filesystem::path& folder, std::size_t entries)
{
    options settings;
    settings.snapshot_after_entries = SIZE_MAX / 4;
    settings.snapshot_after_bytes = SIZE_MAX / 4;
    std::filesystem::remove_all(folder);
    {
        bench_group group(folder, 1, settings);
        group.elect();
        for (std::size_t i = 0; i < entries; i += 500) {
            group.commit(500);
        }
    }
    const time_point start = clock::now();
    bench_group group(folder, 1, settings);
    const double open_seconds = seconds_since(start);
    group.elect();
    std::printf("recovery of %zu entries: open %.1f ms, open and apply %.1f ms, %llu applied\n", entries,
                open_seconds * 1000, seconds_since(start) * 1000,
                static_cast<unsigned long long>(group.applied()));
}

} // namespace

int main(int argc, char** argv)
{
    const std::filesystem::path base = argc > 1 ? argv[1] : std::filesystem::temp_directory_path();
    const auto folder = base / ("verbena-raft-bench-" + std::to_string(::getpid()));
    for (const std::size_t size : {1U, 3U}) {
        measure_appends(folder, size, 1, 1000);
        measure_appends(folder, size, 64, 200);
    }
    for (const std::size_t entries : {1'000U, 10'000U, 100'000U}) {
        measure_recovery(folder, entries);
    }
    std::filesystem::remove_all(folder);
    return 0;
}
