#include "duty_fixture.h"
#include "platform/names.h"
#include "platform_fixture.h"

using namespace verbena;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t min_count = 1;
constexpr std::uint64_t max_count = 3;

std::string scaled_configuration()
{
    std::string text = platform_deployment::configuration(2);
    const std::string service = R"({"name":"model",)";
    text.insert(text.find(service) + service.size(), R"("scaling":{"min":1,"max":3,"boot_s":1},)");
    return text;
}

// Callers of streams, each with one request at a time until `loaded` ends.
net::task<void> call_model(host_port front, std::shared_ptr<std::atomic<bool>> loaded, std::string id)
{
    for (int i = 0; *loaded; ++i) {
        net::http_call call;
        call.target = "/model/1";
        call.body = "x";
        call.headers = {{std::string(platform::names::request_id), id + "-" + std::to_string(i)},
                        {std::string(platform::names::deadline), "5000"},
                        {std::string(platform::names::authorization), "Bearer key-clerks"},
                        {std::string(platform::names::tokens), "1000,100"}};
        (void)co_await net::fetch_http(front, std::move(call), 10s);
        co_await net::sleep_for(20ms);
    }
}

// The last order of each failure domain.
std::map<std::string, std::uint64_t> in_force(const std::vector<standin::scale_order>& orders)
{
    std::map<std::string, std::uint64_t> numbers;
    for (const standin::scale_order& order : orders) {
        numbers[order.failure_domain] = order.desired;
    }
    return numbers;
}

using numbers = std::map<std::string, std::uint64_t>;

} // namespace

BOOST_AUTO_TEST_SUITE(process_scaling)

// Guards against load that leads to no order, orders outside the limits, a new holder that drops or changes
// what is in force, and room that is kept for good.
BOOST_AUTO_TEST_CASE(orders_follow_the_load_through_a_change_of_the_holder)
{
    duty_deployment deployment("metering,autoscale");
    process_deployment& processes = *deployment.processes;
    BOOST_TEST_REQUIRE(processes.publish_document(scaled_configuration()) == 200U);
    // Each answer takes its place for a second.
    for (const auto& runner : processes.runners()) {
        runner->set_pause(1s);
        if (runner->requests().empty() || runner->requests().front().target == "/model/1") {
            runner->set_faults(
                std::vector<standin::runner_fault>(20'000, standin::runner_fault::pause_in_stream));
        }
    }
    const auto loaded = std::make_shared<std::atomic<bool>>(true);
    for (int i = 0; i < 100; ++i) {
        net::asio::co_spawn(
            processes.threads().strand(),
            call_model(processes.front(i % processes.entry_count()), loaded, "load-" + std::to_string(i)),
            net::asio::detached);
    }
    const numbers most = {{"domain-a", max_count}, {"domain-b", max_count}};
    BOOST_TEST_REQUIRE(
        deployment.wait_until([&] { return in_force(deployment.judge->orders()) == most; }, 30s));
    processes.start_runner("model-a-3", "model", "domain-a");
    processes.start_runner("model-b-2", "model", "domain-b");
    processes.start_runner("model-b-3", "model", "domain-b");

    const auto before = deployment.judge->orders();
    deployment.kill(processes.control_process(deployment.index_of(before.back().holder)));
    BOOST_TEST_REQUIRE(deployment.wait_until([&] {
        const auto orders = deployment.judge->orders();
        const std::vector<standin::scale_order> added(
            orders.begin() + static_cast<std::ptrdiff_t>(before.size()), orders.end());
        return in_force(added) == most;
    }));
    BOOST_TEST(deployment.judge->orders().back().holder != before.back().holder);
    BOOST_TEST(deployment.judge->orders().back().token > before.back().token);
    const std::size_t under_load = deployment.judge->orders().size();

    *loaded = false;
    const time_point ended = clock::now();
    BOOST_TEST_REQUIRE(deployment.wait_until(
        [&] {
            const numbers now = in_force(deployment.judge->orders());
            return now.at("domain-a") < max_count && now.at("domain-b") < max_count;
        },
        60s));
    const auto orders = deployment.judge->orders();
    for (std::size_t i = 0; i < orders.size(); ++i) {
        BOOST_TEST(orders[i].service == "model");
        BOOST_TEST(orders[i].desired >= min_count);
        BOOST_TEST(orders[i].desired <= max_count);
        BOOST_TEST((i < under_load || orders[i].at - ended > 20s), "idle for less than the hold time");
    }
    deployment.report_violations();
}

BOOST_AUTO_TEST_SUITE_END()
