#pragma once

#include "base/settings.h"
#include "net/http_client.h"
#include "net_fixture.h"
#include "standin/platform_runner.h"

#include <chrono>
#include <csignal>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

// A verbenaproxy process started by the tests. Its standard output and error are appended to a file. Can be
// used by several threads.
class server_process {
public:
    struct exit_report {
        int code = -1;  // -1: ended by a signal
        int signal = 0; // 0: exited by itself
        verbena::time_point at;
    };

    server_process(std::string role, std::string settings_file, std::string output_file);
    server_process(const server_process&) = delete;
    server_process& operator=(const server_process&) = delete;
    // Kills the process if it runs.
    ~server_process();

    // Starts the process; it must not be running.
    verbena::result<void> start();

    // Returns whether the signal was sent: false once the process has exited.
    bool signal(int number);

    // Returns how the process exited, or nothing if it still runs after `limit`.
    std::optional<exit_report> wait_exit(std::chrono::milliseconds limit);

    bool running() { return !wait_exit(std::chrono::milliseconds::zero()); }

    // The largest resident memory of the running process so far, in bytes; nothing once it has exited.
    std::optional<std::uint64_t> peak_memory();

    // The contents of the output file: the output of all starts.
    std::string output() const;

private:
    // Needs m_mutex.
    void collect_exit();

    const std::string m_role;
    const std::string m_settings_file;
    const std::string m_output_file;
    std::mutex m_mutex;
    pid_t m_pid = 0; // 0: not running
    exit_report m_exit;
};

struct process_deployment_options {
    // Failure domain of each entry. The first entry of a domain schedules the requests of the domain.
    std::vector<std::string> entry_domains{"domain-a", "domain-b"};
    // Runners of each of the two services; their failure domains alternate.
    std::size_t runners_per_service = 3;
    std::uint32_t events = 4;
    std::chrono::milliseconds prefill{};
    std::chrono::milliseconds stop_delay{2'500};
    std::chrono::milliseconds grace{8'000};
    // File descriptors that an entry may use; 0: the limit of its process.
    std::size_t descriptors = 0;
    // Further lines of [control].
    std::string control_settings{};
};

// A deployment like that of the users' platform on loopback: three control processes and entries as
// processes, which can receive signals, and stand-in runners of the services "model" and "desk" in this
// process.
class process_deployment {
public:
    explicit process_deployment(process_deployment_options options = {});
    process_deployment(const process_deployment&) = delete;
    process_deployment& operator=(const process_deployment&) = delete;
    ~process_deployment();

    // Starts all processes and runners, publishes version 1 of platform_deployment::configuration and waits
    // until all entries serve both services.
    void start_serving();

    std::size_t entry_count() const { return m_entries.size(); }
    std::size_t control_count() const { return m_controls.size(); }

    // Address of an entry for callers; the same after a restart.
    verbena::host_port front(std::size_t index) const;
    verbena::host_port entry_metrics(std::size_t index) const;
    // Address of a control process for check-ins and operator calls.
    verbena::host_port control_address(std::size_t index) const;

    // Sends a signal to an entry; returns false once the entry has exited.
    bool signal(std::size_t index, int number) { return entry(index).signal(number); }
    // Returns how an entry exited, or nothing if it still runs after `limit`.
    std::optional<server_process::exit_report> wait_exit(std::size_t index, std::chrono::milliseconds limit)
    {
        return entry(index).wait_exit(limit);
    }
    // Starts an entry that has exited, without waiting until it is ready.
    void start(std::size_t index);
    // Sends SIGTERM, waits for the exit within the grace period, starts the entry again and waits until it is
    // ready.
    void restart(std::size_t index);
    bool is_ready(std::size_t index);
    bool wait_ready(std::size_t index);

    server_process& entry(std::size_t index) { return *m_entries.at(index).process; }
    server_process& control_process(std::size_t index) { return *m_controls.at(index).process; }

    // Publishes a version of the configuration at one control process, following redirects. Returns the
    // status, or 0 when there is no answer.
    unsigned publish(std::uint64_t version, std::size_t control = 0);
    // The same for a configuration of the test's own.
    unsigned publish_document(const std::string& document, std::size_t control = 0);

    // Sends a call to one control process, following redirects to the leader.
    verbena::result<verbena::net::http_response> post(const std::string& target, const std::string& body,
                                                      std::size_t control = 0);

    // Starts one more runner, which checks in from then on.
    void start_runner(const std::string& id, const std::string& service, const std::string& domain);

    // Empties the data folder of a control process that has exited. Its next start joins the group.
    void lose_disk(std::size_t control) const;

    // Output of an entry, all starts together. `part`: only the lines that contain it.
    std::string entry_output(std::size_t index, const std::string& part = {}) const;

    const std::vector<std::shared_ptr<verbena::standin::platform_runner>>& runners() const
    {
        return m_runners;
    }
    std::shared_ptr<verbena::standin::platform_runner> model_runner(std::size_t index) const;
    std::shared_ptr<verbena::standin::platform_runner> desk_runner(std::size_t index) const;

    // Sends a request on a connection of its own; `request_id` must be unique.
    verbena::result<verbena::net::http_response> request(std::size_t entry_index, const std::string& path,
                                                         const std::string& body,
                                                         const std::string& request_id);

    net_threads& threads() { return m_threads; }

private:
    struct member {
        std::unique_ptr<server_process> process;
        std::uint16_t frame_port = 0;
        std::uint16_t operator_port = 0;
    };
    struct entry_ports {
        std::unique_ptr<server_process> process;
        std::uint16_t front_port = 0;
        std::uint16_t peer_port = 0;
        std::uint16_t metrics_port = 0;
    };

    void write_file(const std::string& name, const std::string& text) const;
    std::string seed_addresses() const;
    void add_control(std::size_t index);
    void add_entry(std::size_t index);
    void add_runner(const std::string& id, const std::string& service, const std::string& domain);
    verbena::net::task<void> check_in_loop(std::shared_ptr<verbena::standin::platform_runner> runner);
    verbena::result<verbena::net::http_response> fetch(verbena::host_port address,
                                                       verbena::net::http_call call);

    const process_deployment_options m_options;
    net_threads m_threads;
    std::string m_folder;
    std::vector<member> m_controls;
    std::vector<entry_ports> m_entries;
    std::vector<std::shared_ptr<verbena::standin::platform_runner>> m_runners;
};
