#include "chat_fixture.h"

#include <boost/json/serialize.hpp>

#include <cstdlib>
#include <filesystem>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

constexpr auto step = 5ms;
constexpr const char* stream_type = "text/event-stream";

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// Keeps an object until the test program exits. Like the real processes, services end without running the
// destructors of suspended coroutines.
template <typename T>
void keep_until_exit(T object)
{
    static auto* kept = new std::vector<T>;
    kept->push_back(std::move(object));
}

net::task<void> sleep_until(time_point time)
{
    net::steady_timer timer(co_await net::asio::this_coro::executor, time);
    co_await timer.async_wait(net::no_throw);
}

std::string event_text(std::uint32_t index, std::uint32_t tokens)
{
    return index < tokens ? "data: {\"token\":" + std::to_string(index) + "}\n\n"
                          : "data: {\"finish_reason\":\"length\"}\n\ndata: [DONE]\n\n";
}

std::uint32_t resume_index(const std::string& target)
{
    return static_cast<std::uint32_t>(std::stoul(target.substr(target.find("from=") + 5)));
}

} // namespace

time_point scripted_engine::run::time_of(std::uint32_t event) const
{
    time_point time = start + step * event;
    for (const engine_script::pause& pause : script.pauses) {
        time += pause.before <= event ? pause.duration : 0ms;
    }
    return time;
}

time_point scripted_engine::run::pause_end(time_point now) const
{
    for (const engine_script::pause& pause : script.pauses) {
        const time_point end = time_of(pause.before);
        if (end - pause.duration <= now && now < end) {
            return end;
        }
    }
    return now;
}

void scripted_engine::set(engine_script script)
{
    const std::lock_guard lock(m_mutex);
    m_script = std::move(script);
    m_runs.clear();
    m_resumes = 0;
    m_cancels = 0;
}

std::size_t scripted_engine::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs.size();
}

std::size_t scripted_engine::resumes() const
{
    const std::lock_guard lock(m_mutex);
    return m_resumes;
}

std::size_t scripted_engine::cancels() const
{
    const std::lock_guard lock(m_mutex);
    return m_cancels;
}

time_point scripted_engine::silent_until() const
{
    const std::lock_guard lock(m_mutex);
    time_point end = clock::now();
    for (const auto& [id, running] : m_runs) {
        if (running.script.suspended_in_pauses) {
            end = std::max(end, running.pause_end(end));
        }
    }
    return end;
}

net::task<void> scripted_engine::handle(net::http_exchange& exchange)
{
    co_await sleep_until(silent_until());
    const net::http_request& request = exchange.request();
    if (request.method == "POST" && request.target == "/v1/chat/completions") {
        co_await complete(exchange, std::string(request.header("X-Request-Id")));
    } else if (request.target.find("/stream?from=") != std::string::npos) {
        const std::string prefix = "/v1/requests/";
        co_await resume(exchange,
                        request.target.substr(prefix.size(), request.target.find("/stream") - prefix.size()));
    } else {
        (void)co_await exchange.reply(reply_to(request));
    }
}

net::http_response scripted_engine::reply_to(const net::http_request& request)
{
    const std::lock_guard lock(m_mutex);
    net::http_response response;
    if (request.target == "/v1/status") {
        response.body = R"({"incarnation":1,"cold":false,"capacity_tokens":1000000})";
    } else if (request.target == "/v1/requests") {
        boost::json::array list;
        for (const auto& [id, running] : m_runs) {
            if (!running.ended) {
                list.push_back(boost::json::object{{"id", id}, {"kv_tokens", 1}});
            }
        }
        response.body = boost::json::serialize(list);
    } else if (request.method == "DELETE") {
        // The agent may cancel what it has read in a list of requests and what has ended meanwhile, also a
        // request of an earlier script.
        const auto found = m_runs.find(request.target.substr(request.target.rfind('/') + 1));
        if (found != m_runs.end() && !found->second.ended) {
            ++m_cancels;
        }
    }
    return response;
}

void scripted_engine::end_run(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(id);
    if (found != m_runs.end()) {
        found->second.ended = true;
    }
}

net::task<void> scripted_engine::complete(net::http_exchange& exchange, std::string id)
{
    run running;
    running.id = id;
    running.start = clock::now();
    {
        const std::lock_guard lock(m_mutex);
        running.script = m_script;
        m_runs[id] = running;
    }
    const engine_script& script = running.script;
    // Named because GCC 12 rejects an initializer list inside a co_await expression.
    net::http_header_list headers;
    headers.emplace_back("X-Request-Id", id);
    const bool streamed = exchange.request().body.find("\"stream\":true") != std::string::npos;
    if (script.status != 0) {
        (void)co_await exchange.start_stream(script.status, script.content_type, std::move(headers));
        (void)co_await exchange.write(script.body);
        co_await net::sleep_for(script.body_pause);
        if (script.close_after == 0) {
            (void)co_await exchange.finish();
        }
    } else if (streamed) {
        (void)co_await exchange.start_stream(200, stream_type, std::move(headers));
        co_await write_events(exchange, running, 0, true);
    } else {
        co_await sleep_until(running.time_of(script.tokens));
        end_run(id);
        net::http_response response;
        response.body = R"({"whole":true})";
        (void)co_await exchange.reply(std::move(response));
    }
}

net::task<void> scripted_engine::resume(net::http_exchange& exchange, std::string id)
{
    using kind = engine_script::resume_answer;
    run running;
    {
        const std::lock_guard lock(m_mutex);
        ++m_resumes;
        const auto found = m_runs.find(id);
        running = found == m_runs.end() ? run{} : found->second;
        if (found == m_runs.end()) {
            running.script.resumes = kind::not_found;
        }
    }
    net::http_response response;
    response.content_type = stream_type;
    response.body = "data: {\"error\":\"text of an error\"}\n\n";
    switch (running.script.resumes) {
    case kind::events: {
        net::http_header_list headers;
        headers.emplace_back("X-Request-Id", id);
        (void)co_await exchange.start_stream(200, stream_type, std::move(headers));
        co_await write_events(exchange, running, resume_index(exchange.request().target), false);
        co_return;
    }
    case kind::not_found:
        response.status = 404;
        break;
    case kind::server_error:
        response.status = 500;
        break;
    case kind::other_type:
        response.content_type = "application/json";
        break;
    case kind::no_events:
        response.body.clear();
        break;
    case kind::other_id:
        response.headers.emplace_back("X-Request-Id", "another");
        break;
    }
    (void)co_await exchange.reply(std::move(response));
}

net::task<void> scripted_engine::write_events(net::http_exchange& exchange, run running, std::uint32_t from,
                                              bool first)
{
    const engine_script& script = running.script;
    for (std::uint32_t i = from; i <= script.tokens; ++i) {
        if (script.close_after != 0 && i - from == script.close_after) {
            if (script.close_inside_event && first) {
                (void)co_await exchange.write(event_text(i, script.tokens).substr(0, 9));
            }
            co_return;
        }
        co_await sleep_until(running.time_of(i));
        if (i == script.tokens) {
            end_run(running.id);
        }
        const result<void> written = co_await exchange.write(event_text(i, script.tokens));
        if (!written) {
            co_return;
        }
    }
    (void)co_await exchange.finish();
}

chat_deployment::chat_deployment(options engine_options) : m_options(engine_options)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "verbena-chat-XXXXXX").string();
    BOOST_TEST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
    m_folder = pattern;
    auto server = net::http_server::create(m_threads.io, {"127.0.0.1", 0}, {}, engine, m_counters, "engine");
    BOOST_TEST_REQUIRE(server.has_value());
    m_engine_server = server.value();
    m_engine_server->start();
    start_control();
    start_agent();
    start_entry();
    configure();
    BOOST_TEST_REQUIRE(eventually([this] { return served(); }));
}

chat_deployment::~chat_deployment()
{
    for (role& value : m_roles) {
        value.process->stop();
        value.worker->join();
        keep_until_exit(std::move(value.process));
    }
    m_threads.stop();
    std::filesystem::remove_all(m_folder);
}

std::unique_ptr<node::process> chat_deployment::make_process(const std::string& name,
                                                             const std::string& control)
{
    settings::node_settingsT node;
    node.name = name;
    node.cluster = "test";
    node.workers = 2;
    node.control = control;
    auto process = node::process::create(node);
    BOOST_TEST_REQUIRE(process.has_value());
    return std::move(process.value());
}

void chat_deployment::run(std::unique_ptr<node::process> process)
{
    role started;
    started.process = std::move(process);
    started.worker =
        std::make_unique<std::thread>([running = started.process.get()] { running->run([] {}); });
    m_roles.push_back(std::move(started));
}

void chat_deployment::start_control()
{
    m_control_port = free_port();
    m_operator_port = free_port();
    auto process = make_process("control-1", local(m_control_port));
    settings::control_settingsT settings;
    settings.listen = local(m_control_port);
    settings.operator_listen = local(m_operator_port);
    settings.data = m_folder;
    settings.member_id = 1;
    settings.peers = "1=" + local(m_control_port);
    auto service = control::control_service::create(*process, settings, true);
    BOOST_TEST_REQUIRE(service.has_value(), (service ? "" : describe(service.error())));
    service.value()->start();
    keep_until_exit(service.value());
    run(std::move(process));
}

void chat_deployment::start_agent()
{
    auto process = make_process("agent-1", local(m_control_port));
    settings::agent_settingsT settings;
    settings.listen = local(free_port());
    settings.endpoint = "model-1";
    settings.engine = local(m_options.engine_port == 0 ? m_engine_server->port() : m_options.engine_port);
    settings.service = m_options.plain ? "desk" : "chat";
    settings.kind = m_options.plain ? "plain" : "model";
    settings.models = m_options.plain ? "" : "m";
    settings.engine_silence = 100;
    auto service = agent::agent_service::create(*process, settings);
    BOOST_TEST_REQUIRE(service.has_value(), (service ? "" : describe(service.error())));
    service.value()->start();
    keep_until_exit(service.value());
    run(std::move(process));
}

void chat_deployment::start_entry()
{
    m_entry_port = free_port();
    auto process = make_process("entry-1", local(m_control_port));
    settings::entry_settingsT settings;
    settings.listen = local(m_entry_port);
    auto service = entry::entry_service::create(*process, settings);
    BOOST_TEST_REQUIRE(service.has_value(), (service ? "" : describe(service.error())));
    service.value()->start();
    keep_until_exit(service.value());
    run(std::move(process));
}

bool chat_deployment::change(const std::string& json)
{
    const host_port address{"127.0.0.1", m_operator_port};
    const std::function<net::task<bool>()> send = [address, json]() -> net::task<bool> {
        net::http_call call;
        call.target = "/operator/v1/change";
        call.body = json;
        const auto reply = co_await net::fetch_http(address, call, 2s);
        co_return reply&& reply.value().status == 200;
    };
    return m_threads.run<bool>(send);
}

void chat_deployment::configure()
{
    BOOST_TEST_REQUIRE(eventually([this] {
        return change(R"({"request_id":"team","expected_revision":0,)"
                      R"("put_team":{"name":"clerks","keys":["secret-of-clerks"]}})");
    }));
    BOOST_TEST_REQUIRE(change(R"({"request_id":"service","expected_revision":1,)"
                              R"("put_service":{"name":"chat","models":["m"]}})"));
    BOOST_TEST_REQUIRE(
        change(R"({"request_id":"plain","expected_revision":2,)"
               R"("put_service":{"name":"desk","kind":"plain","paths":[{"prefix":"/safe/"}]}})"));
}

bool chat_deployment::served()
{
    net::http_call plain;
    plain.target = "/services/desk/safe/1";
    const answer received = m_options.plain ? send(plain, 2s) : request();
    return received.status == 200 && received.complete;
}

chat_deployment::answer chat_deployment::request(bool streamed, milliseconds deadline)
{
    net::http_call call;
    call.target = "/v1/chat/completions";
    call.body = std::string(R"({"model":"m","messages":[{"content":"prompt"}],"max_tokens":16,"stream":)") +
                (streamed ? "true}" : "false}");
    return send(std::move(call), deadline);
}

chat_deployment::answer chat_deployment::send(net::http_call call, milliseconds deadline)
{
    call.headers.emplace_back("Authorization", "Bearer secret-of-clerks");
    call.headers.emplace_back("X-Deadline-Ms", std::to_string(deadline.count()));
    const host_port address{"127.0.0.1", m_entry_port};
    const std::function<net::task<answer>()> fetch = [address, call]() -> net::task<answer> {
        answer received;
        const time_point begin = clock::now();
        auto opened = co_await net::open_http(address, call, 2s, 15s);
        if (opened) {
            received.status = opened.value()->status();
            received.content_type = opened.value()->content_type();
            while (!received.complete) {
                const result<std::string> bytes = co_await opened.value()->read_some(15s);
                if (!bytes) {
                    break;
                }
                received.complete = bytes.value().empty();
                received.body += bytes.value();
            }
        }
        received.duration = std::chrono::duration_cast<milliseconds>(clock::now() - begin);
        co_return received;
    };
    return m_threads.run<answer>(fetch);
}
