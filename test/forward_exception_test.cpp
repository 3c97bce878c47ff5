#include "forward/request_forwarder.h"
#include "net_fixture.h"
#include "platform/configuration.h"
#include "platform/http_protocol_adapter.h"
#include "platform/names.h"
#include "platform_fixture.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <new>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

enum class throw_point : std::uint8_t { never, at_request, at_answer };

// Throws once, as if memory had run out, where it writes a request to an endpoint or reads the answer.
class throwing_adapter : public platform::http_protocol_adapter {
public:
    void throw_once(throw_point point) { m_point = point; }
    bool has_thrown() const { return m_point == throw_point::never; }

    std::string endpoint_head(const net::http_request& request,
                              const forward::dispatch_metadata& terms) const override
    {
        throw_at(throw_point::at_request);
        return http_protocol_adapter::endpoint_head(request, terms);
    }

    forward::answer_metadata read_answer(unsigned status, const net::http_fields& fields) const override
    {
        throw_at(throw_point::at_answer);
        return http_protocol_adapter::read_answer(status, fields);
    }

private:
    void throw_at(throw_point point) const
    {
        if (m_point.compare_exchange_strong(point, throw_point::never)) {
            throw std::bad_alloc();
        }
    }

    mutable std::atomic<throw_point> m_point{throw_point::never};
};

// An entry with two endpoints of each service that chooses alone: fleet, scheduler client and HTTP server, as
// forward_service connects them.
class lone_entry : public net::http_handler {
public:
    lone_entry()
    {
        result<route::document> document =
            platform::configuration_codec().decode(platform_deployment::configuration(1));
        BOOST_TEST_REQUIRE(document.has_value());
        m_rules = route::table::create(std::move(document.value())).value();
        for (const char* domain : {"a", "b"}) {
            add_endpoint("desk", domain);
            add_endpoint("model", domain);
        }
        m_server =
            net::http_server::create(m_threads.io, {"127.0.0.1", 0}, {}, *this, m_counters, "test").value();
        m_server->start();
    }
    lone_entry(const lone_entry&) = delete;
    lone_entry& operator=(const lone_entry&) = delete;
    ~lone_entry() override { m_threads.stop(); }

    net::task<void> handle(net::http_exchange& exchange) override
    {
        forward::routed_request request;
        request.rules = m_rules;
        request.route = m_rules->find_route("127.0.0.1", exchange.request().target);
        request.service = m_rules->find_service(route::table::choose_service(*request.route, 0));
        request.terms = adapter.read_request(exchange.request()).value();
        request.arrived = clock::now();
        request.deadline = request.arrived + request.route->timeout;
        const forward::forwarder_context context{m_fleet, m_scheduler, adapter,    m_budget, m_counters,
                                                 1'500ms, {},          m_stopping, m_memory};
        const auto forwarder =
            std::make_shared<forward::request_forwarder>(context, exchange, std::move(request));
        co_await forwarder->run(co_await net::asio::this_coro::executor);
    }

    net::http_response request(const std::string& path, const std::string& tokens = "1000,100")
    {
        net::http_call call;
        call.method = "POST";
        call.target = path;
        call.body = "prompt";
        call.headers = {{std::string(platform::names::request_id), "r1"},
                        {std::string(platform::names::tokens), tokens}};
        const host_port address{"127.0.0.1", m_server->port()};
        return m_threads.run<net::http_response>([call, address]() -> net::task<net::http_response> {
            result<net::http_response> found = co_await net::fetch_http(address, call, 10s);
            co_return found ? std::move(found.value()) : net::http_response{0, "", "", {}};
        });
    }

    std::size_t runs() const
    {
        std::size_t found = 0;
        for (const auto& runner : m_runners) {
            found += runner->requests().size();
        }
        return found;
    }

    // Number of orders of this kind that endpoints have received.
    std::size_t orders(const std::string& kind) const
    {
        std::size_t found = 0;
        for (const auto& runner : m_runners) {
            for (const standin::runner_order& order : runner->orders()) {
                found += order.body.find('"' + kind + '"') != std::string::npos ? 1 : 0;
            }
        }
        return found;
    }

    // Whether no endpoint counts as working for this entry.
    bool is_idle() const { return m_fleet.own_notes().empty(); }

    throwing_adapter adapter;

private:
    void add_endpoint(const std::string& service, const std::string& domain)
    {
        standin::runner_options options;
        options.id = service + "-" + domain;
        options.service = service;
        options.failure_domain = domain;
        options.listen = {"127.0.0.1", free_port()};
        options.streams = service == "model";
        const auto runner = standin::platform_runner::create(m_threads.io, options).value();
        runner->start();
        m_runners.push_back(runner);
        wire::announcementT value;
        value.endpoint = options.id;
        value.address = "127.0.0.1:" + std::to_string(options.listen.port);
        value.failure_domain = domain;
        value.service = service;
        value.born_ms = 1;
        value.incarnation = 1;
        value.slots = 16;
        m_fleet.on_endpoint(value.endpoint, &value);
    }

    metrics m_counters;
    forward::fleet m_fleet{7, "a", 1.0, [](const wire::dispatch_noteT&) {}};
    node::scheduler_list m_schedulers;
    forward::scheduler_client m_scheduler{m_schedulers, "", "a", m_fleet};
    forward::shared_retry_budget m_budget{policy::retry_budget_options{}};
    std::atomic<bool> m_stopping{false};
    forward::answer_memory m_memory{1024 * 1024};
    std::shared_ptr<const route::table> m_rules;
    net_threads m_threads;
    std::vector<std::shared_ptr<standin::platform_runner>> m_runners;
    std::shared_ptr<net::http_server> m_server;
};

} // namespace

BOOST_AUTO_TEST_SUITE(forward_exception)

// Guards against callers who wait for an attempt that an exception has ended, and against load that it
// leaves.
BOOST_FIXTURE_TEST_CASE(another_endpoint_answers_after_an_exception, lone_entry)
{
    for (const throw_point point : {throw_point::at_request, throw_point::at_answer}) {
        adapter.throw_once(point);
        const net::http_response answer = request("/safe/1");
        BOOST_TEST(adapter.has_thrown());
        BOOST_TEST(answer.status == 200U);
        BOOST_TEST(answer.body == "ok prompt");
        BOOST_TEST(eventually([this] { return is_idle(); }));
    }
}

// Guards against unsafe requests that are sent again after an exception, or whose caller is told that they
// have not run.
BOOST_FIXTURE_TEST_CASE(an_unsafe_request_is_not_sent_again_after_an_exception, lone_entry)
{
    for (const throw_point point : {throw_point::at_request, throw_point::at_answer}) {
        const std::size_t before = runs();
        adapter.throw_once(point);
        const net::http_response answer = request("/once/1");
        BOOST_TEST(adapter.has_thrown());
        BOOST_TEST(answer.status == 502U);
        BOOST_TEST(answer.body.find("may have run") != std::string::npos);
        BOOST_TEST(runs() - before == (point == throw_point::at_answer ? 1U : 0U));
        BOOST_TEST(is_idle());
    }
}

// Guards against memory that stays reserved for an attempt that an exception has ended.
BOOST_FIXTURE_TEST_CASE(an_exception_releases_reserved_memory, lone_entry)
{
    for (const throw_point point : {throw_point::at_request, throw_point::at_answer}) {
        const std::size_t before = orders("release");
        adapter.throw_once(point);
        BOOST_TEST(request("/model/1", "235000,100").status == 502U);
        BOOST_TEST(adapter.has_thrown());
        BOOST_TEST(eventually([this, before] { return orders("release") > before; }));
        BOOST_TEST(is_idle());
    }
}

BOOST_AUTO_TEST_SUITE_END()
