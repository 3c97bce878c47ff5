#include "process_fixture.h"

#include "platform/names.h"
#include "platform_fixture.h"

#include <cstdlib>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>

using namespace verbena;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t control_count_at_start = 3;
constexpr milliseconds check_in_interval{500};

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string read_text(const std::string& file)
{
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string ms_text(milliseconds value)
{
    return std::to_string(value.count()) + "ms";
}

// VERBENA_PROGRAM=FILE tests another build of the program, such as an earlier version.
std::string program_file()
{
    const char* other = std::getenv("VERBENA_PROGRAM"); // NOLINT(concurrency-mt-unsafe): never set by a test
    return other != nullptr ? other : VERBENA_BINARY_DIR "/verbenaproxy";
}

net::task<void> fetch_task(host_port address, net::http_call call,
                           std::shared_ptr<std::promise<result<net::http_response>>> done)
{
    done->set_value(co_await net::fetch_http(std::move(address), std::move(call), 15s));
}

} // namespace

server_process::server_process(std::string role, std::string settings_file, std::string output_file)
    : m_role(std::move(role)), m_settings_file(std::move(settings_file)),
      m_output_file(std::move(output_file))
{
}

server_process::~server_process()
{
    const std::lock_guard lock(m_mutex);
    collect_exit();
    if (m_pid != 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

result<void> server_process::start()
{
    const std::lock_guard lock(m_mutex);
    const std::string program = program_file();
    std::vector<std::string> words{program, m_role, "--config", m_settings_file};
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_output_file.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // An inherited socket would keep a connection open that a runner or caller has closed.
    ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int failure =
        ::posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments.data(), ::environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        m_pid = 0;
        return make_error(error_kind::io, program + " cannot be started: error " + std::to_string(failure),
                          "build the target verbenaproxy");
    }
    return success();
}

bool server_process::signal(int number)
{
    const std::lock_guard lock(m_mutex);
    collect_exit();
    return m_pid != 0 && ::kill(m_pid, number) == 0;
}

std::optional<server_process::exit_report> server_process::wait_exit(milliseconds limit)
{
    const time_point deadline = clock::now() + limit;
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            collect_exit();
            if (m_pid == 0) {
                return m_exit;
            }
        }
        if (clock::now() >= deadline) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(2ms);
    }
}

void server_process::collect_exit()
{
    int status = 0;
    if (m_pid == 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return;
    }
    m_pid = 0;
    m_exit = {WIFEXITED(status) ? WEXITSTATUS(status) : -1, WIFSIGNALED(status) ? WTERMSIG(status) : 0,
              clock::now()};
}

std::optional<std::uint64_t> server_process::peak_memory()
{
    const std::lock_guard lock(m_mutex);
    collect_exit();
    // Linux: "VmHWM:  NUMBER kB", as described in proc(5).
    const std::string status = m_pid == 0 ? "" : read_text("/proc/" + std::to_string(m_pid) + "/status");
    const std::string field = "VmHWM:";
    const std::size_t at = status.find(field);
    if (at == std::string::npos) {
        return std::nullopt;
    }
    return std::stoull(status.substr(at + field.size())) * 1024;
}

std::string server_process::output() const
{
    return read_text(m_output_file);
}

process_deployment::process_deployment(process_deployment_options options) : m_options(std::move(options))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "verbena-process-XXXXXX").string();
    BOOST_TEST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
    m_folder = pattern;
    for (std::size_t i = 0; i < control_count_at_start; ++i) {
        m_controls.push_back({nullptr, free_port(), free_port()});
    }
    for (std::size_t i = 0; i < m_controls.size(); ++i) {
        add_control(i);
    }
    for (std::size_t i = 0; i < m_options.entry_domains.size(); ++i) {
        add_entry(i);
    }
    for (std::size_t i = 0; i < m_options.runners_per_service; ++i) {
        const std::string domain = i % 2 == 0 ? "domain-a" : "domain-b";
        add_runner("model-" + std::to_string(i), "model", domain);
        add_runner("desk-" + std::to_string(i), "desk", domain);
    }
}

process_deployment::~process_deployment()
{
    m_threads.stop(); // the check-ins read m_controls
    m_entries.clear();
    m_controls.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void process_deployment::write_file(const std::string& name, const std::string& text) const
{
    std::ofstream(m_folder + "/" + name) << text;
}

std::string process_deployment::seed_addresses() const
{
    std::string text;
    for (const member& value : m_controls) {
        text += (text.empty() ? "" : ",") + local(value.frame_port);
    }
    return text;
}

void process_deployment::add_control(std::size_t index)
{
    member& value = m_controls[index];
    const std::string name = "control-" + std::to_string(index);
    // The fields of deploy/control.ini; the control processes differ in their ports instead of their hosts.
    write_file(name + ".ini", "[node]\nname = " + name +
                                  "\ncluster = platform\nfailure_domain = domain-a\nworkers = 1\ncontrol = " +
                                  seed_addresses() + "\n[control]\nlisten = " + local(value.frame_port) +
                                  "\noperator_listen = " + local(value.operator_port) + "\ndata = " +
                                  m_folder + "/" + name + "\nmember_id = 0\nbootstrap = true\n" +
                                  "tolerated_losses = 1\n" + m_options.control_settings);
    std::filesystem::create_directory(m_folder + "/" + name);
    value.process = std::make_unique<server_process>("control", m_folder + "/" + name + ".ini",
                                                     m_folder + "/" + name + ".log");
}

void process_deployment::add_entry(std::size_t index)
{
    const std::string name = "entry-" + std::to_string(index);
    const std::string domain = m_options.entry_domains[index];
    entry_ports value{nullptr, free_port(), free_port(), free_port()};
    const std::string descriptors =
        m_options.descriptors == 0 ? "" : "descriptors = " + std::to_string(m_options.descriptors) + "\n";
    // The fields of deploy/entry.ini with the bounds of the users' data sheets.
    write_file(name + ".ini",
               "[node]\nname = " + name + "\ncluster = platform\nfailure_domain = " + domain +
                   "\nprocessor_share = " + (index == 0 ? "1.0" : "0.9") + "\nworkers = 1\n" + descriptors +
                   "control = " + seed_addresses() + "\nmetrics_listen = " + local(value.metrics_port) +
                   "\nstop_delay = " + ms_text(m_options.stop_delay) + "\n[entry]\nlisten = " +
                   local(value.front_port) + "\npeer_listen = " + local(value.peer_port) +
                   "\nfront = routed\nfreshness = 4200ms\nretry_slack = 112\nretry_window = 10s\n" +
                   "stall = 1500ms\ngrace = " + ms_text(m_options.grace) + "\ntotal_buffer = 64MiB\n");
    value.process = std::make_unique<server_process>("entry", m_folder + "/" + name + ".ini",
                                                     m_folder + "/" + name + ".log");
    m_entries.push_back(std::move(value));
}

void process_deployment::add_runner(const std::string& id, const std::string& service,
                                    const std::string& domain)
{
    standin::runner_options options;
    options.id = id;
    options.service = service;
    options.failure_domain = domain;
    options.listen = {"127.0.0.1", 0};
    options.streams = service == "model";
    options.events = m_options.events;
    options.prefill = m_options.prefill;
    auto created = standin::platform_runner::create(m_threads.io, options);
    BOOST_TEST_REQUIRE(created.has_value());
    m_runners.push_back(created.value());
}

net::task<void> process_deployment::check_in_loop(std::shared_ptr<standin::platform_runner> runner)
{
    for (std::size_t control = 0;; ++control) {
        // A control process that does not answer is skipped at once.
        for (std::size_t tries = 0; tries < m_controls.size(); ++tries) {
            const host_port address = control_address(control % m_controls.size());
            if (co_await runner->check_in(address, "ready") == 200) {
                break;
            }
            ++control;
        }
        co_await net::sleep_for(check_in_interval);
    }
}

host_port process_deployment::front(std::size_t index) const
{
    return {"127.0.0.1", m_entries.at(index).front_port};
}

host_port process_deployment::entry_metrics(std::size_t index) const
{
    return {"127.0.0.1", m_entries.at(index).metrics_port};
}

host_port process_deployment::control_address(std::size_t index) const
{
    return {"127.0.0.1", m_controls.at(index).operator_port};
}

result<net::http_response> process_deployment::fetch(host_port address, net::http_call call)
{
    auto done = std::make_shared<std::promise<result<net::http_response>>>();
    auto answer = done->get_future();
    net::asio::co_spawn(m_threads.strand(), fetch_task(std::move(address), std::move(call), std::move(done)),
                        net::asio::detached);
    return answer.get();
}

result<net::http_response> process_deployment::request(std::size_t entry_index, const std::string& path,
                                                       const std::string& body, const std::string& request_id)
{
    net::http_call call;
    call.target = path;
    call.body = body;
    call.headers = {{std::string(platform::names::request_id), request_id},
                    {std::string(platform::names::deadline), "5000"},
                    {std::string(platform::names::authorization), "Bearer key-clerks"},
                    {std::string(platform::names::tokens), "1000,100"}};
    return fetch(front(entry_index), std::move(call));
}

unsigned process_deployment::publish(std::uint64_t version, std::size_t control)
{
    return publish_document(platform_deployment::configuration(version), control);
}

unsigned process_deployment::publish_document(const std::string& document, std::size_t control)
{
    const result<net::http_response> answer = post(std::string(platform::names::publish), document, control);
    return answer ? answer.value().status : 0;
}

result<net::http_response> process_deployment::post(const std::string& target, const std::string& body,
                                                    std::size_t control)
{
    host_port address = control_address(control);
    constexpr int max_redirects = 2;
    for (int redirects = 0;; ++redirects) {
        net::http_call call;
        call.target = target;
        call.body = body;
        result<net::http_response> answer = fetch(address, call);
        if (!answer || answer.value().status != 307 || redirects == max_redirects) {
            return answer;
        }
        std::string location;
        for (const auto& [name, value] : answer.value().headers) {
            location = name == "Location" ? value : location;
        }
        if (location.empty()) {
            return answer;
        }
        const std::string rest = location.substr(std::string("http://").size());
        const result<host_port> next = parse_host_port(rest.substr(0, rest.find('/')));
        if (!next) {
            return answer;
        }
        address = next.value();
    }
}

void process_deployment::lose_disk(std::size_t control) const
{
    const std::string name = "control-" + std::to_string(control);
    std::filesystem::remove_all(m_folder + "/" + name);
    std::filesystem::create_directory(m_folder + "/" + name);
    // As the platform does after the first start of a group.
    std::string settings = read_text(m_folder + "/" + name + ".ini");
    const std::string field = "bootstrap = ";
    const std::size_t at = settings.find(field + "true");
    if (at != std::string::npos) {
        settings.replace(at, field.size() + 4, field + "false");
        write_file(name + ".ini", settings);
    }
}

void process_deployment::start_runner(const std::string& id, const std::string& service,
                                      const std::string& domain)
{
    add_runner(id, service, domain);
    m_runners.back()->start();
    net::asio::co_spawn(m_threads.strand(), check_in_loop(m_runners.back()), net::asio::detached);
}

bool process_deployment::is_ready(std::size_t index)
{
    net::http_call call;
    call.method = "GET";
    call.target = "/ready";
    const result<net::http_response> answer = fetch(entry_metrics(index), std::move(call));
    return answer && answer.value().status == 200;
}

bool process_deployment::wait_ready(std::size_t index)
{
    return eventually([&] { return is_ready(index); });
}

void process_deployment::start(std::size_t index)
{
    const result<void> started = entry(index).start();
    BOOST_TEST_REQUIRE(started.has_value(), (started ? "" : describe(started.error())));
}

void process_deployment::restart(std::size_t index)
{
    signal(index, SIGTERM);
    BOOST_TEST_REQUIRE(wait_exit(index, m_options.grace + 1s).has_value());
    start(index);
    BOOST_TEST_REQUIRE(wait_ready(index));
}

void process_deployment::start_serving()
{
    for (const member& value : m_controls) {
        const result<void> started = value.process->start();
        BOOST_TEST_REQUIRE(started.has_value(), (started ? "" : describe(started.error())));
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        start(i);
    }
    BOOST_TEST_REQUIRE(eventually([this] { return publish(1) == 200; }));
    for (const auto& runner : m_runners) {
        runner->start();
        net::asio::co_spawn(m_threads.strand(), check_in_loop(runner), net::asio::detached);
    }
    std::size_t probes = 0;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        BOOST_TEST_REQUIRE(wait_ready(i));
        for (const char* path : {"/model/1", "/safe/1"}) {
            BOOST_TEST_REQUIRE(eventually([&] {
                const auto answer = request(i, path, "probe", "probe-" + std::to_string(probes++));
                return answer && answer.value().status == 200;
            }));
        }
    }
}

std::string process_deployment::entry_output(std::size_t index, const std::string& part) const
{
    std::istringstream lines(m_entries.at(index).process->output());
    std::string found;
    for (std::string line; std::getline(lines, line);) {
        found += line.find(part) != std::string::npos ? line + "\n" : "";
    }
    return found;
}

std::shared_ptr<standin::platform_runner> process_deployment::model_runner(std::size_t index) const
{
    return m_runners.at(index * 2);
}

std::shared_ptr<standin::platform_runner> process_deployment::desk_runner(std::size_t index) const
{
    return m_runners.at(index * 2 + 1);
}
