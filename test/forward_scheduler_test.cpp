#include "forward/scheduler_client.h"
#include "forward/scheduler_service.h"
#include "net_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

constexpr const char* document_domain = "a";

wire::announcementT desk_endpoint(const std::string& name, int port)
{
    wire::announcementT value;
    value.endpoint = name;
    value.address = "127.0.0.1:" + std::to_string(port);
    value.failure_domain = document_domain;
    value.service = "desk";
    value.born_ms = 1;
    value.slots = 6;
    return value;
}

// A scheduler that never replies, like a process that is suspended.
class silent_handler : public forward::placement_handler {
public:
    net::task<void> on_request(std::shared_ptr<net::frame_stream> stream, net::received_frame) override
    {
        const result<net::received_frame> end = co_await stream->receive();
        (void)end;
    }
    void on_backlog_query(const std::shared_ptr<net::frame_stream>&, const wire::backlog_query&) override {}
};

// One entry of failure domain "a": fleet, exchange and client, as forward_service connects them.
struct entry_process {
    forward::fleet fleet;
    node::config_view config{4'000ms};
    node::scheduler_list schedulers;
    std::unique_ptr<forward::scheduler_client> client;
    std::shared_ptr<forward::load_exchange> exchange;
    std::shared_ptr<const route::table> rules;

    entry_process(net_threads& threads, incarnation self, std::uint16_t port, bool silent = false)
        : fleet(self, document_domain, 1.0, [this](wire::dispatch_noteT note) {
              if (exchange) {
                  exchange->add(std::move(note));
              }
          })
    {
        fleet.set_placement_parts({.slot_queue = true, .retry_grants = true});
        fleet.set_retry_options({0.1, 0});
        route::document document;
        document.version = 1;
        route::service_rule desk;
        desk.name = "desk";
        document.services.push_back(desk);
        // A model service whose requests wait for slots.
        route::service_rule model;
        model.name = "model";
        model.engine = route::engine_rule{2, 232'000, 43, 1.02, 0.00226, 0.00431, 206, 0.138, 2048, 0.075};
        model.engine->usual_prompt_tokens = 8'000;
        model.engine->usual_answer_tokens = 1'500;
        document.services.push_back(model);
        rules = route::table::create(std::move(document)).value();
        const std::string address = "127.0.0.1:" + std::to_string(port);
        client = std::make_unique<forward::scheduler_client>(schedulers, address, document_domain, fleet);
        forward::load_exchange::options options;
        options.listen = {"127.0.0.1", port};
        options.failure_domain = document_domain;
        options.connections.self =
            net::peer_info{wire::role::entry, "entry-" + std::to_string(self), "c", self};
        std::shared_ptr<forward::placement_handler> handler;
        if (silent) {
            handler = std::make_shared<silent_handler>();
        } else {
            handler = std::make_shared<forward::scheduler_service>(fleet, [this] { return rules; });
        }
        exchange =
            forward::load_exchange::create(threads.io, options, fleet, config, *client, std::move(handler))
                .value();
        client->set_exchange(exchange);
        for (int i = 0; i < 2; ++i) {
            const wire::announcementT value = desk_endpoint("e" + std::to_string(i + 1), 9'000 + i);
            fleet.on_endpoint(value.endpoint, &value);
        }
    }

    // Lists these addresses as candidates, the first one preferred.
    void list(const std::vector<std::string>& addresses)
    {
        wire::poll_replyT reply;
        reply.entry_count = 2;
        reply.schedulers_digest = ++digest;
        for (std::size_t i = 0; i < addresses.size(); ++i) {
            reply.schedulers.push_back(std::make_unique<wire::scheduler_candidateT>());
            reply.schedulers.back()->address = addresses[i];
            reply.schedulers.back()->failure_domain = document_domain;
            reply.schedulers.back()->processor_share = static_cast<std::uint32_t>(1'000 - i);
        }
        flatbuffers::FlatBufferBuilder builder;
        builder.Finish(wire::Createpoll_reply(builder, &reply));
        schedulers.apply("m1", *flatbuffers::GetRoot<wire::poll_reply>(builder.GetBufferPointer()),
                         clock::now() + 1h);
    }

    forward::dispatch_request model_request() const
    {
        forward::dispatch_request request;
        request.service = rules->find_service("model");
        request.time_left = 10s;
        request.model.prompt_tokens = 5'000;
        request.model.output_tokens = 1'500;
        request.model.objective = 300ms;
        request.model.disconnect_after = 5s;
        return request;
    }

    forward::dispatch_result choose(net_threads& threads)
    {
        forward::dispatch_request request;
        request.service = rules->find_service("desk");
        request.time_left = 1s;
        request.model.objective = 300ms;
        return threads.run<forward::dispatch_result>([this, request] {
            return client->choose(request, 300ms, std::make_shared<forward::choice_call>());
        });
    }

    // A request after a silent attempt, by an entry that has sent 100 requests; it ends at once.
    forward::dispatch_result repeat(net_threads& threads)
    {
        forward::dispatch_request request = model_request();
        request.model.value = 1;
        request.attempt = wire::attempt_kind::repeat_silent;
        request.recent = {100, 0};
        auto found = threads.run<forward::dispatch_result>([this, request] {
            return client->choose(request, 300ms, std::make_shared<forward::choice_call>());
        });
        if (found.choice) {
            fleet.record_end(found.choice->number, clock::now());
        }
        return found;
    }

    std::uint64_t digest = 0;
};

// Keeps an object until the test program exits. Suspended coroutines refer to the objects and to each other,
// and are not destroyed, as in the real processes.
template <typename T, typename... Arguments>
T& keep(Arguments&&... arguments)
{
    static auto* kept = new std::vector<std::unique_ptr<T>>;
    kept->push_back(std::make_unique<T>(std::forward<Arguments>(arguments)...));
    return *kept->back();
}

struct scheduler_fixture {
    net_threads& threads = keep<net_threads>(1);
    std::uint16_t first_port = free_port();
    std::uint16_t second_port = free_port();
    std::string first_address = "127.0.0.1:" + std::to_string(first_port);
    std::string second_address = "127.0.0.1:" + std::to_string(second_port);
    entry_process& first = keep<entry_process>(threads, 11, first_port);
    entry_process& second = keep<entry_process>(threads, 12, second_port);

    scheduler_fixture() = default;
    scheduler_fixture(const scheduler_fixture&) = delete;
    scheduler_fixture& operator=(const scheduler_fixture&) = delete;
    ~scheduler_fixture() { threads.stop(); }

    void start()
    {
        for (entry_process* entry : {&first, &second}) {
            entry->list({first_address, second_address});
            entry->exchange->start();
        }
        BOOST_TEST(eventually([&] { return second.exchange->connection_to(first_address) != nullptr; }));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(forward_scheduler)

// An entry asks the preferred candidate, which knows the work until it ends.
BOOST_FIXTURE_TEST_CASE(asks_the_scheduler_of_its_failure_domain, scheduler_fixture)
{
    start();
    BOOST_TEST(first.client->schedules(clock::now()));
    BOOST_TEST(!second.client->schedules(clock::now()));
    BOOST_TEST(first.choose(threads).chosen_by == "self");
    const forward::dispatch_result found = second.choose(threads);
    BOOST_TEST_REQUIRE(found.choice.has_value());
    BOOST_TEST(found.chosen_by == first_address);
    const policy::work_key key{12, found.choice->number};
    BOOST_TEST(first.fleet.notes_of(key).size() == 1U);
    second.fleet.record_end(found.choice->number, clock::now());
    BOOST_TEST(eventually([&] { return first.fleet.notes_of(key).empty(); }));
}

// The work of an entry ends at its scheduler when their connection does.
BOOST_FIXTURE_TEST_CASE(forgets_the_work_of_an_entry_that_reports_elsewhere, scheduler_fixture)
{
    start();
    const forward::dispatch_result found = second.choose(threads);
    BOOST_TEST_REQUIRE(found.choice.has_value());
    const policy::work_key key{12, found.choice->number};
    BOOST_TEST(first.fleet.notes_of(key).size() == 1U);
    second.list({second_address});
    BOOST_TEST(eventually([&] { return first.fleet.notes_of(key).empty(); }));
    BOOST_TEST(second.choose(threads).chosen_by == "self");
    // Back again over the connection that is still open: the report starts anew.
    second.list({first_address, second_address});
    BOOST_TEST(eventually([&] { return first.fleet.notes_of(key).size() == 1U; }));
    BOOST_TEST(second.choose(threads).chosen_by == first_address);
}

// Guards against a request that is lost with the queue of its scheduler: when the connection fails, it waits
// at the next scheduler, here its own entry, until a slot is free.
BOOST_FIXTURE_TEST_CASE(a_waiting_request_moves_to_the_next_scheduler, scheduler_fixture)
{
    wire::announcementT only = desk_endpoint("m1", 9'100);
    only.service = "model";
    only.slots = 1;
    for (entry_process* entry : {&first, &second}) {
        entry->fleet.on_endpoint(only.endpoint, &only);
    }
    start();
    const auto taken = second.fleet.dispatch(second.model_request(), clock::now());
    BOOST_TEST_REQUIRE(taken.choice.has_value());
    BOOST_TEST(eventually([&] { return first.fleet.notes_of({12, taken.choice->number}).size() == 1U; }));
    auto found = std::make_shared<std::promise<forward::dispatch_result>>();
    std::future<forward::dispatch_result> value = found->get_future();
    net::asio::co_spawn(
        threads.strand(),
        second.client->choose(second.model_request(), 300ms, std::make_shared<forward::choice_call>()),
        [found](const std::exception_ptr&, forward::dispatch_result result) {
            found->set_value(std::move(result));
        });
    BOOST_TEST(eventually([&] { return first.fleet.slot_waiters() == 1U; }));
    second.exchange->drop(first_address, "the scheduler has failed");
    BOOST_TEST(eventually([&] { return second.fleet.slot_waiters() == 1U; }));
    BOOST_TEST(eventually([&] { return first.fleet.slot_waiters() == 0U; }));
    second.fleet.record_end(taken.choice->number, clock::now());
    BOOST_TEST_REQUIRE((value.wait_for(5s) == std::future_status::ready));
    const forward::dispatch_result result = value.get();
    BOOST_TEST_REQUIRE(result.choice.has_value());
    BOOST_TEST(result.chosen_by == "self");
}

// Guards against repeats that a scheduler grants before it knows what the entries have sent, and against
// entries that cannot repeat anything after a change of the scheduler.
BOOST_FIXTURE_TEST_CASE(grants_repeats_when_it_has_heard_the_entries, scheduler_fixture)
{
    wire::announcementT model = desk_endpoint("m1", 9'100);
    model.service = "model";
    model.slots = 12;
    for (entry_process* entry : {&first, &second}) {
        entry->fleet.on_endpoint(model.endpoint, &model);
    }
    start();
    const std::vector<std::string> both{first_address, second_address};
    for (const std::vector<std::string>& candidates : {both, {second_address}}) {
        second.list(candidates);
        const forward::dispatch_result undecided = second.repeat(threads);
        BOOST_TEST(undecided.chosen_by == (candidates.size() == 2 ? first_address : "self"));
        BOOST_TEST((undecided.choice && !undecided.repeat_granted));
        BOOST_TEST(eventually([&] { return second.repeat(threads).repeat_granted; }));
    }
}

// A scheduler that does not answer, such as a suspended process, holds up a request for a moment only.
BOOST_AUTO_TEST_CASE(chooses_alone_when_the_scheduler_is_silent)
{
    auto& threads = keep<net_threads>(1);
    const std::uint16_t silent_port = free_port();
    const std::string silent_address = "127.0.0.1:" + std::to_string(silent_port);
    const std::uint16_t port = free_port();
    auto& silent = keep<entry_process>(threads, 11, silent_port, true);
    auto& entry = keep<entry_process>(threads, 12, port);
    entry.list({silent_address});
    silent.list({silent_address});
    silent.exchange->start();
    entry.exchange->start();
    BOOST_TEST(eventually([&] { return entry.exchange->connection_to(silent_address) != nullptr; }));
    const time_point begin = clock::now();
    const forward::dispatch_result found = entry.choose(threads);
    BOOST_TEST_REQUIRE(found.choice.has_value());
    BOOST_TEST(found.chosen_by == "alone");
    BOOST_TEST((clock::now() - begin < 1s));
    // Further requests do not ask it again for a while.
    const time_point again = clock::now();
    BOOST_TEST(entry.choose(threads).chosen_by == "alone");
    BOOST_TEST((clock::now() - again < 100ms));
    threads.stop();
}

BOOST_AUTO_TEST_SUITE_END()
