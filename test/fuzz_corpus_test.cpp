#include "fuzz/targets.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace verbena;

namespace {

// Runs a target on its corpus, fuzz/corpus/<name>. The file name is logged first, because a violated
// invariant aborts the process.
void run_corpus(const std::string& name, void (*target)(fuzz::input))
{
    const std::filesystem::path directory = std::filesystem::path(VERBENA_SOURCE_DIR) / "fuzz/corpus" / name;
    std::size_t files = 0;
    for (const auto& file : std::filesystem::directory_iterator(directory)) {
        BOOST_TEST_MESSAGE("corpus file " << file.path().string());
        std::ifstream stream(file.path(), std::ios::binary);
        const std::vector<char> bytes{std::istreambuf_iterator<char>(stream),
                                      std::istreambuf_iterator<char>()};
        target({reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
        ++files;
    }
    BOOST_TEST(files > 0U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(fuzz_corpus)

// Each case guards against the return of a fault that fuzzing has found, and against a corpus that is not
// run.

BOOST_AUTO_TEST_CASE(frame)
{
    run_corpus("frame", fuzz::run_frame);
}

BOOST_AUTO_TEST_CASE(settings)
{
    run_corpus("settings", fuzz::run_settings);
}

BOOST_AUTO_TEST_CASE(caller_request)
{
    run_corpus("caller_request", fuzz::run_caller_request);
}

BOOST_AUTO_TEST_CASE(raft_record)
{
    run_corpus("raft_record", fuzz::run_raft_record);
}

BOOST_AUTO_TEST_CASE(operator_json)
{
    run_corpus("operator_json", fuzz::run_operator_json);
}

BOOST_AUTO_TEST_CASE(platform_configuration)
{
    run_corpus("platform_configuration", fuzz::run_platform_configuration);
}

BOOST_AUTO_TEST_CASE(platform_check_in)
{
    run_corpus("platform_check_in", fuzz::run_platform_check_in);
}

BOOST_AUTO_TEST_CASE(event_stream)
{
    run_corpus("event_stream", fuzz::run_event_stream);
}

BOOST_AUTO_TEST_SUITE_END()
