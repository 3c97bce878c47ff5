#include "control_fixture.h"

#include <boost/test/unit_test.hpp>

#include <malloc.h>

using namespace verbena;
using namespace verbena::test;
using namespace std::chrono_literals;

namespace {

// Heap in use by this process, in bytes. Always 0 with AddressSanitizer, which replaces malloc.
std::size_t heap_bytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

#if defined(__SANITIZE_ADDRESS__)
constexpr bool can_measure_heap = false;
#else
constexpr bool can_measure_heap = true;
#endif

void bind_and_finish(control::key_table& table, std::uint64_t number, const std::string& answer)
{
    const std::string random = "c0ffee-" + std::to_string(1'000'000'000'000 + number);
    const std::string key = make_key(std::chrono::seconds(number / 80), random);
    table.bind(make_bind(key, number, 1, "order-desk-endpoint-07"));
    auto finish = make_finish(key, number, 1, answer);
    finish.content_type = "application/json";
    table.finish(finish);
}

// A document of the design size, two years ahead (docs/design.md, section 1.5). An endpoint is in the
// document only if it has an order or a state.
std::unique_ptr<op::configT> design_size_document()
{
    auto config = std::make_unique<op::configT>();
    for (int i = 0; i < 1'300; ++i) {
        auto team = std::make_unique<op::teamT>();
        team->name = "customer-team-" + std::to_string(i);
        team->keys = {"vk-0123456789abcdef0123456789abcdef-" + std::to_string(i)};
        config->teams.push_back(std::move(team));
    }
    auto service = std::make_unique<op::serviceT>();
    service->name = "chat";
    for (int i = 0; i < 21; ++i) {
        service->models.push_back("vendor/model-" + std::to_string(i) + ":v1");
    }
    config->services.push_back(std::move(service));
    for (int i = 0; i < 1'400; ++i) {
        auto endpoint = std::make_unique<op::endpointT>();
        endpoint->name = "gpu-node-" + std::to_string(i);
        endpoint->checks_fencing = true;
        endpoint->desired_models = {"vendor/model-" + std::to_string(i % 21) + ":v1"};
        config->endpoints.push_back(std::move(endpoint));
    }
    return config;
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_size)

// Guards against a byte limit that the process's real memory use exceeds.
BOOST_AUTO_TEST_CASE(accounted_bytes_of_keys_cover_the_heap)
{
    for (const std::size_t answer_bytes : {0U, 150U, 4'096U}) {
        const std::uint64_t count = answer_bytes > 1'000 ? 20'000 : 100'000;
        const std::string answer(answer_bytes, 'x');
        const std::size_t before = heap_bytes();
        control::key_table table;
        table.advance(start_time + 21min);
        for (std::uint64_t i = 0; i < count; ++i) {
            bind_and_finish(table, i, answer);
        }
        const std::size_t heap = heap_bytes() - before;
        BOOST_TEST(table.size() == count);
        BOOST_TEST_MESSAGE("answer " << answer_bytes << " B: heap " << heap / count << " B, accounted "
                                     << table.bytes() / count << " B for each of " << count << " records");
        if (can_measure_heap) {
            BOOST_TEST(heap <= table.bytes());
            BOOST_TEST(table.bytes() <= heap * 5 / 4);
        }
    }
}

// Guards against a size limit below the design size of the document.
BOOST_AUTO_TEST_CASE(document_of_design_size_is_accepted)
{
    control::configuration config;
    auto request = make_change("a", 0);
    request.replace_all = design_size_document();
    const auto reply = config.apply(request);
    BOOST_TEST((reply.result == op::change_result::accepted), reply.message);
    BOOST_TEST_MESSAGE("packed document: " << config.packed()->size() << " B");
}

BOOST_AUTO_TEST_SUITE_END()
