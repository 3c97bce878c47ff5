#include "raft/files.h"
#include "raft/posix_disk.h"
#include "raft_memory_disk.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <unistd.h>

using namespace verbena;
using namespace verbena::raft;
using verbena::test::crash_kind;
using verbena::test::memory_disk;

namespace {

const char* const cluster = "cluster-1";

membership three_members()
{
    return make_initial_membership({{1, 0, true, "a"}, {2, 0, true, "b"}, {3, 0, true, "c"}});
}

void require_ok(const result<void>& value)
{
    BOOST_TEST_REQUIRE(value.has_value(), (value ? std::string() : describe(value.error())));
}

std::unique_ptr<storage> open_ok(disk& files)
{
    auto opened = storage::open(files, cluster, 1);
    BOOST_TEST_REQUIRE(opened.has_value(), (opened ? std::string() : describe(opened.error())));
    return std::move(opened.value());
}

entry command(log_index index, term_number term, const std::string& text)
{
    return {index, term, entry_kind::command, bytes(text.begin(), text.end())};
}

void initialise(disk& files)
{
    require_ok(storage::initialise(files, cluster, 1, three_members()));
}

// Writes and syncs entries `first` to `last` with term `term`. Index 1 holds the initial membership, so
// `first` is 2 or larger.
void write_entries(storage& files, log_index first, log_index last, term_number term)
{
    for (log_index i = first; i <= last; ++i) {
        require_ok(files.append(std::vector{command(i, term, "entry " + std::to_string(i))}));
    }
    require_ok(files.sync());
}

} // namespace

BOOST_AUTO_TEST_SUITE(raft_storage)

BOOST_AUTO_TEST_CASE(written_state_is_read_back_after_a_power_failure)
{
    random_engine random(1);
    memory_disk files;
    initialise(files);
    {
        auto opened = open_ok(files);
        write_entries(*opened, 2, 5, 1);
        require_ok(opened->save_hard_state({7, 3}));
    }
    files.crash(crash_kind::power, random);
    const auto start = open_ok(files)->take_start_state();
    BOOST_TEST(start.term_and_vote.term == 7U);
    BOOST_TEST(start.term_and_vote.vote == 3U);
    BOOST_TEST_REQUIRE(start.entries.size() == 5U);
    BOOST_TEST((start.entries[4] == command(5, 1, "entry 5")));
}

// Guards against losing a synced entry, and against keeping a part of a record that a crash truncated.
BOOST_AUTO_TEST_CASE(a_record_cut_short_at_any_byte_is_removed)
{
    memory_disk whole;
    initialise(whole);
    auto opened = open_ok(whole);
    write_entries(*opened, 2, 3, 1);
    const auto full = whole.read("log-1").value();
    const std::size_t last_record = 25 + 7 + 8;
    for (std::size_t cut = 1; cut <= last_record; ++cut) {
        memory_disk files;
        initialise(files);
        auto writer = open_ok(files);
        write_entries(*writer, 2, 3, 1);
        require_ok(files.truncate("log-1", full.size() - cut));
        auto again = open_ok(files);
        BOOST_TEST_REQUIRE(again->take_start_state().entries.size() == 2U);
        write_entries(*again, 3, 3, 2);
        const auto start = open_ok(files)->take_start_state();
        BOOST_TEST_REQUIRE(start.entries.size() == 3U);
        BOOST_TEST(start.entries.back().term == 2U);
    }
}

// Guards against using a corrupted file, even if only the last record of the log is affected.
BOOST_AUTO_TEST_CASE(every_flipped_byte_stops_the_member_with_file_and_remedy)
{
    for (const char* name : {"log-1", "vote", "identity", "snapshot-3"}) {
        memory_disk files;
        initialise(files);
        {
            auto opened = open_ok(files);
            write_entries(*opened, 2, 5, 1);
            BOOST_TEST_REQUIRE(opened->save_snapshot(3, 1, three_members(), bytes{1, 2, 3}).has_value());
        }
        const std::size_t size = files.read(name).value().size();
        for (std::size_t i = 0; i < size; ++i) {
            files.flip(name, i);
            const auto opened = storage::open(files, cluster, 1);
            BOOST_TEST_REQUIRE(!opened.has_value(), name << " at " << i);
            BOOST_TEST((opened.error().kind == error_kind::corrupt));
            BOOST_TEST(opened.error().message.find(name) != std::string::npos);
            BOOST_TEST(opened.error().message.find("offset") != std::string::npos);
            BOOST_TEST(opened.error().remedy.find("new member id") != std::string::npos);
            files.flip(name, i);
        }
    }
}

// Guards against treating records of a crashed process as durable without syncing them.
BOOST_AUTO_TEST_CASE(opening_makes_readable_records_durable)
{
    random_engine random(3);
    memory_disk files;
    initialise(files);
    require_ok(open_ok(files)->append(std::vector{command(2, 1, "unsynced")}));
    files.crash(crash_kind::process, random);
    BOOST_TEST(open_ok(files)->take_start_state().entries.size() == 2U);
    files.crash(crash_kind::power, random);
    BOOST_TEST(open_ok(files)->take_start_state().entries.size() == 2U);
}

BOOST_AUTO_TEST_CASE(later_records_replace_a_conflicting_suffix)
{
    memory_disk files;
    initialise(files);
    auto opened = open_ok(files);
    write_entries(*opened, 2, 9, 1);
    write_entries(*opened, 4, 5, 2);
    const auto start = open_ok(files)->take_start_state();
    BOOST_TEST_REQUIRE(start.entries.size() == 5U);
    BOOST_TEST(start.entries[2].term == 1U);
    BOOST_TEST(start.entries[3].term == 2U);
}

// Guards against stale log entries that reappear after a snapshot from the leader was installed.
BOOST_AUTO_TEST_CASE(an_installed_snapshot_discards_the_old_log)
{
    for (const bool crash_before_reset : {false, true}) {
        memory_disk files;
        initialise(files);
        auto opened = open_ok(files);
        write_entries(*opened, 2, 20, 1);
        const bytes state{9, 9};
        int operations_left = crash_before_reset ? 4 : 1000; // append, sync, rename and sync of the snapshot
        files.before_operation = [&] { return operations_left-- > 0; };
        const snapshot_image image{10, 3, make_image(three_members(), state)};
        BOOST_TEST(opened->install_snapshot(image).has_value() == !crash_before_reset);
        files.before_operation = nullptr;
        auto again = open_ok(files);
        BOOST_TEST(again->read_state().value() == state, boost::test_tools::per_element());
        const auto start = again->take_start_state();
        BOOST_TEST_REQUIRE(start.snapshot.has_value());
        BOOST_TEST(start.snapshot->term == 3U);
        BOOST_TEST(start.entries.empty());
        write_entries(*again, 11, 12, 3);
        BOOST_TEST(open_ok(files)->take_start_state().entries.size() == 2U);
    }
}

// Guards against a data folder that grows without bound.
BOOST_AUTO_TEST_CASE(segments_and_snapshots_before_the_newest_snapshot_are_removed)
{
    memory_disk files;
    initialise(files);
    auto opened = open_ok(files);
    const std::string large(300'000, 'x');
    for (log_index i = 2; i <= 60; ++i) {
        require_ok(opened->append(std::vector{command(i, 1, large)}));
        require_ok(opened->sync());
        if (i % 20 == 0) {
            BOOST_TEST_REQUIRE(opened->save_snapshot(i, 1, three_members(), bytes{1}).has_value());
            require_ok(opened->remove_obsolete_files());
        }
    }
    const auto names = files.list().value();
    BOOST_TEST(detail::parse_file_numbers(names, "log-").size() == 1U);
    BOOST_TEST(detail::parse_file_numbers(names, "snapshot-").size() == 1U);
    BOOST_TEST(open_ok(files)->take_start_state().snapshot->index == 60U);
}

BOOST_AUTO_TEST_CASE(folders_of_others_and_second_initialisations_are_refused)
{
    memory_disk files;
    initialise(files);
    BOOST_TEST(!storage::open(files, "cluster-2", 1).has_value());
    BOOST_TEST(!storage::open(files, cluster, 2).has_value());
    BOOST_TEST(!storage::initialise(files, cluster, 1, three_members()).has_value());
    BOOST_TEST(!storage::join(files, cluster, 1, 5).has_value());
}

// Guards against differences between the simulated disk and real files.
BOOST_AUTO_TEST_CASE(real_files_hold_the_same_state)
{
    const auto folder =
        std::filesystem::temp_directory_path() / ("verbena-raft-" + std::to_string(::getpid()));
    {
        auto files = posix_disk::open(folder.string());
        BOOST_TEST_REQUIRE(files.has_value());
        BOOST_TEST(!posix_disk::open(folder.string()).has_value());
        initialise(*files.value());
        auto opened = open_ok(*files.value());
        write_entries(*opened, 2, 8, 1);
        BOOST_TEST_REQUIRE(opened->save_snapshot(4, 1, three_members(), bytes{1, 2}).has_value());
        require_ok(opened->remove_obsolete_files());
        require_ok(files.value()->append("log-1", bytes(11, 0xAA)));
    }
    auto files = posix_disk::open(folder.string());
    BOOST_TEST_REQUIRE(files.has_value());
    auto opened = open_ok(*files.value());
    const auto start = opened->take_start_state();
    BOOST_TEST(start.snapshot->index == 4U);
    BOOST_TEST(start.entries.size() == 4U);
    std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_SUITE_END()
