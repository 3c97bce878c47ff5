#include "platform_fixture.h"

#include "platform/configuration.h"
#include "platform/http_protocol_adapter.h"
#include "platform/names.h"
#include "platform/platform_call_handler.h"

#include <boost/asio/read.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>

#include <cstdlib>
#include <filesystem>
#include <unistd.h>

using namespace verbena;

namespace {

constexpr std::size_t seed_count = 3;
constexpr std::size_t entry_count = 2;

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// Keeps an object until the test program exits. Like the real processes, members and entries end without
// running the destructors of suspended coroutines.
template <typename T>
void keep_until_exit(T object)
{
    static auto* kept = new std::vector<T>;
    kept->push_back(std::move(object));
}

} // namespace

platform_deployment::platform_deployment(std::uint32_t tolerated_losses)
    : m_tolerated_losses(tolerated_losses)
{
    m_entries.resize(entry_count);
    for (std::size_t i = 0; i < seed_count; ++i) {
        m_members.push_back(make_member(true));
        m_seeds.push_back(i);
    }
    for (std::size_t i = 0; i < seed_count; ++i) {
        start_member(i, true);
    }
    for (std::size_t i = 0; i < entry_count; ++i) {
        start_entry(i);
    }
    add_runner("model-a", "model", "domain-a");
    add_runner("model-b", "model", "domain-b");
    add_runner("desk-a", "desk", "domain-a");
    add_runner("desk-b", "desk", "domain-b");
}

platform_deployment::member platform_deployment::make_member(bool has_disk)
{
    member value;
    if (has_disk) {
        std::string pattern = (std::filesystem::temp_directory_path() / "verbena-platform-XXXXXX").string();
        BOOST_TEST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
        value.folder = pattern;
    }
    value.frame_port = free_port();
    value.operator_port = free_port();
    return value;
}

std::size_t platform_deployment::add_member(bool has_disk)
{
    m_members.push_back(make_member(has_disk));
    start_member(m_members.size() - 1, true);
    return m_members.size() - 1;
}

platform_deployment::~platform_deployment()
{
    for (const auto& [id, value] : m_runners) {
        value->stop();
    }
    for (entry& value : m_entries) {
        value.process->stop();
        value.worker->join();
        keep_until_exit(std::move(value.process));
    }
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        stop_member(i);
        if (!m_members[i].folder.empty()) {
            std::filesystem::remove_all(m_members[i].folder);
        }
    }
    m_threads.stop();
}

std::string platform_deployment::seed_addresses() const
{
    std::string text;
    for (const std::size_t seed : m_seeds) {
        text += (text.empty() ? "" : ",") + local(m_members[seed].frame_port);
    }
    return text;
}

void platform_deployment::start_member(std::size_t index, bool bootstrap)
{
    member& value = m_members[index];
    settings::node_settingsT node;
    node.name = "control-" + std::to_string(index);
    node.cluster = "test";
    node.workers = 1;
    node.control = seed_addresses();
    auto process = node::process::create(node);
    BOOST_TEST_REQUIRE(process.has_value());
    value.process = std::move(process.value());
    settings::control_settingsT control;
    control.listen = local(value.frame_port);
    control.operator_listen = local(value.operator_port);
    control.data = value.folder;
    control.member_id = 0;
    control.bootstrap = bootstrap ? "true" : "false";
    control.tolerated_losses = m_tolerated_losses;
    auto service =
        control::control_service::create(*value.process, control, false,
                                         std::make_shared<platform::platform_call_handler>(
                                             std::make_shared<const platform::configuration_codec>()));
    BOOST_TEST_REQUIRE(service.has_value(), (service ? "" : describe(service.error())));
    value.service = service.value();
    value.service->start();
    value.worker = std::make_unique<std::thread>([running = value.process.get(), stopped = value.service] {
        running->run([stopped] { stopped->stop(); });
    });
}

void platform_deployment::stop_member(std::size_t index, bool immediately)
{
    member& value = m_members[index];
    if (!value.process) {
        return; // removed before
    }
    if (immediately) {
        value.process->stop();
    }
    value.worker->join();
    keep_until_exit(std::move(value.process));
    keep_until_exit(std::move(value.service));
}

void platform_deployment::start_entry(std::size_t index, std::optional<std::size_t> seed,
                                      const std::string& domain)
{
    entry& value = m_entries[index];
    value.port = free_port();
    settings::node_settingsT node;
    node.name = "entry-" + std::to_string(index);
    node.cluster = "test";
    node.workers = 1;
    node.failure_domain = domain;
    node.control = seed ? local(m_members.at(*seed).frame_port) : seed_addresses();
    auto process = node::process::create(node);
    BOOST_TEST_REQUIRE(process.has_value());
    value.process = std::move(process.value());
    settings::entry_settingsT settings;
    settings.listen = local(value.port);
    settings.peer_listen = local(free_port());
    settings.front = "routed";
    settings.retry_slack = 112; // as on the users' data sheets; the default allows two retries here
    const forward::platform_adapter adapter{std::make_shared<const platform::configuration_codec>(),
                                            std::make_shared<const platform::http_protocol_adapter>()};
    auto service = forward::forward_service::create(*value.process, settings, adapter);
    BOOST_TEST_REQUIRE(service.has_value());
    value.service = service.value();
    value.service->start();
    value.worker = std::make_unique<std::thread>([running = value.process.get()] { running->run([] {}); });
    keep_until_exit(value.service);
}

void platform_deployment::add_runner(const std::string& id, const std::string& service,
                                     const std::string& domain, std::chrono::milliseconds prefill)
{
    standin::runner_options options;
    options.id = id;
    options.service = service;
    options.failure_domain = domain;
    options.listen = {"127.0.0.1", 0};
    options.streams = service == "model";
    options.prefill = prefill;
    auto created = standin::platform_runner::create(m_threads.io, options);
    BOOST_TEST_REQUIRE(created.has_value());
    created.value()->start();
    m_runners[id] = created.value();
}

void platform_deployment::add_model_runner(const std::string& id, const std::string& domain,
                                           std::chrono::milliseconds prefill)
{
    add_runner(id, "model", domain, prefill);
}

host_port platform_deployment::control_address(std::size_t index) const
{
    return {"127.0.0.1", m_members.at(index).operator_port};
}

net::task<platform_deployment::answer> platform_deployment::fetch_task(host_port address, net::http_call sent)
{
    answer found;
    auto opened = co_await net::open_http(address, sent, std::chrono::seconds(2), std::chrono::seconds(15));
    if (!opened) {
        found.failure = describe(opened.error());
        co_return found;
    }
    for (const char* name : {"Location", "Retry-After", "Runner-Seal", "Request-Id"}) {
        found.headers[name] = opened.value()->header(name);
    }
    while (true) {
        const result<std::string> piece = co_await opened.value()->read_some(std::chrono::seconds(15));
        if (!piece) {
            found.failure = describe(piece.error());
            co_return found;
        }
        if (piece.value().empty()) {
            break;
        }
        found.body += piece.value();
    }
    found.status = opened.value()->status();
    co_return found;
}

platform_deployment::answer platform_deployment::fetch(const host_port& address, const net::http_call& sent)
{
    const std::function<net::task<answer>()> body = [address, sent] { return fetch_task(address, sent); };
    return m_threads.run<answer>(body);
}

net::http_call platform_deployment::make_http_call(const call& spec)
{
    net::http_call sent;
    sent.method = spec.method;
    sent.target = spec.path;
    sent.body = spec.body;
    sent.headers.emplace_back(std::string(platform::names::request_id),
                              "r" + std::to_string(m_next_request++));
    sent.headers.emplace_back(std::string(platform::names::deadline), std::to_string(spec.deadline.count()));
    if (!spec.key.empty()) {
        sent.headers.emplace_back(std::string(platform::names::authorization), "Bearer " + spec.key);
    }
    if (!spec.tokens.empty()) {
        sent.headers.emplace_back(std::string(platform::names::tokens), spec.tokens);
    }
    if (!spec.last_event.empty()) {
        sent.headers.emplace_back(std::string(platform::names::last_event), spec.last_event);
    }
    if (!spec.prompt_parts.empty()) {
        sent.headers.emplace_back(std::string(platform::names::prompt_parts), spec.prompt_parts);
    }
    return sent;
}

platform_deployment::answer platform_deployment::request(const call& spec, std::size_t entry_index)
{
    return fetch({"127.0.0.1", m_entries.at(entry_index).port}, make_http_call(spec));
}

std::shared_ptr<net::tcp::socket> platform_deployment::begin_request(const call& spec,
                                                                     std::size_t entry_index)
{
    const net::http_call sent = make_http_call(spec);
    std::string text =
        sent.method + " " + sent.target + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n";
    for (const auto& [name, value] : sent.headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n\r\n" + sent.body;
    auto socket = std::make_shared<net::tcp::socket>(m_threads.io);
    socket->connect({net::asio::ip::make_address("127.0.0.1"), m_entries.at(entry_index).port});
    net::asio::write(*socket, net::asio::buffer(text));
    return socket;
}

std::string platform_deployment::request_bytes(const call& spec, std::size_t entry_index)
{
    const std::shared_ptr<net::tcp::socket> socket = begin_request(spec, entry_index);
    std::string received;
    net::error_code ended;
    net::asio::read(*socket, net::asio::dynamic_buffer(received), ended);
    return received;
}

std::future<platform_deployment::answer> platform_deployment::request_later(const call& spec,
                                                                            std::size_t entry_index)
{
    return net::asio::co_spawn(
        m_threads.strand(), fetch_task({"127.0.0.1", m_entries.at(entry_index).port}, make_http_call(spec)),
        net::asio::use_future);
}

platform_deployment::answer platform_deployment::control(const std::string& method, const std::string& path,
                                                         const std::string& body, std::size_t index)
{
    net::http_call sent;
    sent.method = method;
    sent.target = path;
    sent.body = body;
    answer found = fetch(control_address(index), sent);
    if (found.status == 307) {
        const std::string location = found.headers["Location"];
        const std::string rest = location.substr(std::string("http://").size());
        const result<host_port> address = parse_host_port(rest.substr(0, rest.find('/')));
        BOOST_TEST_REQUIRE(address.has_value());
        found = fetch(address.value(), sent);
    }
    return found;
}

std::string platform_deployment::configuration(std::uint64_t version, const std::string& keys)
{
    // The host of the routes is the Host header that the HTTP client sends.
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
        {"name":"r-model","host":"127.0.0.1","path_prefix":"/model/","kind":"stream","timeout_ms":6000,
         "slo_ms":1000,"priority":1,"backend":"model","max_attempts":2,"sticky":true,"resumable":true,
         "gap_target_ms":300},
        {"name":"r-once","host":"127.0.0.1","path_prefix":"/once/","kind":"unsafe","timeout_ms":1500,"slo_ms":300,
         "priority":1,"backend":"desk","max_attempts":1},
        {"name":"r-safe","host":"127.0.0.1","path_prefix":"/safe/","kind":"safe","timeout_ms":3000,"slo_ms":300,
         "priority":1,"backend":"desk","max_attempts":2}],
        "backends":[{"name":"model","health_path":"/healthz","max_conns":100,"cold_s":0,"cold_per_s":0,
          "engine":{"slots":16,"kv_capacity":232000,"stride":43,"step_ms":1.02,"per_seq_ms":0.00226,
                    "context_per_k":0.00431,"read_per_s":206000,"pairs_per_m":0.138,"chunk":2048,"hop_ms":0.075}},
         {"name":"desk","health_path":"/healthz","max_conns":100}],
        "limits":{"max_header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"clerks","api_keys":[)" +
           keys + R"(],"priority":1}]})";
}

bool platform_deployment::check_in(const std::string& id, std::size_t index)
{
    const std::function<net::task<unsigned>()> send = [runner = m_runners.at(id), index,
                                                       this]() -> net::task<unsigned> {
        co_return co_await runner->check_in(control_address(index), "ready");
    };
    return m_threads.run<unsigned>(send) == 200;
}

void platform_deployment::check_in_all()
{
    for (const auto& [id, value] : m_runners) {
        BOOST_TEST_REQUIRE(eventually([&, name = id] { return check_in(name, 1); }));
    }
}

void platform_deployment::start_serving()
{
    BOOST_TEST_REQUIRE(eventually([this] {
        return control("POST", std::string(platform::names::publish), configuration(1)).status == 200;
    }));
    check_in_all();
    for (std::size_t i = 0; i < entry_count; ++i) {
        for (const char* path : {"/model/1", "/safe/1"}) {
            call probe;
            probe.path = path;
            BOOST_TEST_REQUIRE(eventually([&] { return request(probe, i).status == 200; }));
        }
    }
}

void platform_deployment::lose_disk(std::size_t index)
{
    lose_members({}, {index});
}

void platform_deployment::lose_members(const std::set<std::size_t>& removed,
                                       const std::set<std::size_t>& lost_disks)
{
    std::set<std::size_t> stopped = removed;
    stopped.insert(lost_disks.begin(), lost_disks.end());
    // A planned stop releases the addresses, which the restarted members reuse.
    for (const std::size_t index : stopped) {
        m_members[index].service->stop();
    }
    for (const std::size_t index : stopped) {
        stop_member(index, false);
        std::filesystem::remove_all(m_members[index].folder);
    }
    for (const std::size_t index : lost_disks) {
        std::filesystem::create_directory(m_members[index].folder);
        start_member(index, false);
    }
}

void platform_deployment::restart_members(const std::function<void()>& while_down,
                                          const std::set<std::size_t>& lost_disks)
{
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        m_members[i].service->stop();
        stop_member(i, false);
        // The stopped member is not destroyed, so it still holds the lock on its folder; the new one uses a
        // copy.
        if (m_members[i].folder.empty()) {
            continue;
        }
        const std::string copy = m_members[i].folder + "-again";
        if (lost_disks.contains(i)) {
            std::filesystem::create_directory(copy);
        } else {
            std::filesystem::copy(m_members[i].folder, copy, std::filesystem::copy_options::recursive);
        }
        std::filesystem::remove_all(m_members[i].folder);
        m_members[i].folder = copy;
    }
    while_down();
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        start_member(i, false);
    }
    check_in_all();
}

std::size_t platform_deployment::add_entry(std::optional<std::size_t> seed, const std::string& domain)
{
    m_entries.emplace_back();
    start_entry(m_entries.size() - 1, seed, domain);
    return m_entries.size() - 1;
}

std::set<std::string> platform_deployment::voter_addresses(std::size_t index)
{
    std::set<std::string> found;
    const answer status = control("POST", "/operator/v1/status", "{}", index);
    if (status.status != 200) {
        return found;
    }
    const boost::json::value parsed = boost::json::parse(status.body);
    const auto* members = parsed.get_object().if_contains("members");
    if (members == nullptr) {
        return found;
    }
    for (const boost::json::value& item : members->get_array()) {
        const auto* learner = item.get_object().if_contains("learner");
        if (learner == nullptr || !learner->get_bool()) {
            found.emplace(item.get_object().at("address").as_string());
        }
    }
    return found;
}

std::string platform_deployment::member_address(std::size_t index) const
{
    return local(m_members.at(index).frame_port);
}
