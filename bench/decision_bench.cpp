#include "base/random.h"
#include "forward/fleet.h"

#include <algorithm>
#include <cstdio>

using namespace verbena;

// Prints the time of one placement decision by number of endpoints, with about ten requests at each endpoint.
// Wall time of one thread. Targets: 50 us at 18 endpoints, 200 us at 1,400.
namespace {

route::service_rule users_service()
{
    route::service_rule service;
    service.name = "model";
    service.engine = route::engine_rule{16, 232'000, 43, 1.02, 0.00226, 0.00431, 206, 0.138, 2048, 0.075};
    return service;
}

forward::dispatch_request make_request(const route::service_rule& service, random_engine& random)
{
    constexpr std::uint32_t prompts[] = {1'000, 5'000, 5'000, 5'000, 20'000, 45'000, 133'000, 400'000};
    forward::dispatch_request request;
    request.service = &service;
    request.time_left = milliseconds(15'000);
    request.model.prompt_tokens = prompts[random() % std::size(prompts)];
    request.model.output_tokens = 1'000;
    request.model.objective = milliseconds(request.model.prompt_tokens > 20'000 ? 2'500 : 300);
    request.model.pause = milliseconds(request.model.prompt_tokens > 20'000 ? 1'000 : 250);
    request.model.disconnect_after = milliseconds(10'000);
    request.model.value = request.model.prompt_tokens / 1'000.0 + 10;
    return request;
}

void measure(std::size_t endpoints)
{
    const route::service_rule service = users_service();
    random_engine random(endpoints);
    forward::fleet fleet(1, "a", 1.0, [](const wire::dispatch_noteT&) {});
    for (std::size_t i = 0; i < endpoints; ++i) {
        wire::announcementT value;
        value.endpoint = "endpoint-" + std::to_string(i);
        value.address = "127.0.0.1:" + std::to_string(i + 1);
        value.failure_domain = std::string(1, static_cast<char>('a' + i % 3));
        value.service = service.name;
        value.born_ms = 1;
        value.slots = 16;
        fleet.on_endpoint(value.endpoint, &value);
    }
    std::vector<std::uint64_t> running;
    std::vector<double> times;
    const std::size_t decisions = 200 + 20 * endpoints;
    for (std::size_t i = 0; i < decisions; ++i) {
        const forward::dispatch_request request = make_request(service, random);
        const time_point begin = clock::now();
        const forward::dispatch_result found = fleet.dispatch(request, begin);
        times.push_back(std::chrono::duration<double, std::micro>(clock::now() - begin).count());
        if (found.choice) {
            fleet.record_first_event(found.choice->number, clock::now());
            running.push_back(found.choice->number);
        }
        if (running.size() > endpoints * 10) {
            fleet.record_end(running.front(), clock::now());
            running.erase(running.begin());
        }
    }
    std::sort(times.begin(), times.end());
    std::printf("%5zu endpoints: %zu decisions, p50 %.0f us, p95 %.0f us, p99 %.0f us\n", endpoints,
                decisions, times[decisions / 2], times[decisions * 95 / 100], times[decisions * 99 / 100]);
}

} // namespace

int main()
{
    for (const std::size_t endpoints : {18U, 100U, 330U, 1'400U}) {
        measure(endpoints);
    }
    return 0;
}
