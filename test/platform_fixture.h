#pragma once

#include "control/control_service.h"
#include "forward/forward_service.h"
#include "net_fixture.h"
#include "standin/platform_runner.h"

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

// A deployment like that of the users' platform, in one process on loopback: three control members that form
// their group from seed addresses, two entries and stand-in runners of two services.
class platform_deployment {
public:
    explicit platform_deployment(std::uint32_t tolerated_losses = 1);
    platform_deployment(const platform_deployment&) = delete;
    platform_deployment& operator=(const platform_deployment&) = delete;
    ~platform_deployment();

    struct answer {
        unsigned status = 0; // 0: the connection ended before the answer was complete
        std::string body;
        std::map<std::string, std::string> headers;
        std::string failure; // why the connection ended too early
    };

    struct call {
        std::string method = "POST";
        std::string path = "/model/1";
        std::string body = "prompt";
        std::string key = "key-clerks";
        std::string tokens = "1000,100";
        std::string last_event;
        std::string prompt_parts;
        std::chrono::milliseconds deadline{5'000};
    };

    // Adds a runner of the model service; it is used once it has checked in.
    void add_model_runner(const std::string& id, const std::string& domain,
                          std::chrono::milliseconds prefill = {});

    // Sends a caller's request through an entry and waits for the answer.
    answer request(const call& spec, std::size_t entry_index = 0);

    // The same, without waiting for the answer.
    std::future<answer> request_later(const call& spec, std::size_t entry_index = 0);

    // Sends a caller's request through an entry and returns all bytes that it sends until it closes the
    // connection.
    std::string request_bytes(const call& spec, std::size_t entry_index = 0);

    // Sends a caller's request through an entry and returns the connection, from which nothing is read.
    std::shared_ptr<verbena::net::tcp::socket> begin_request(const call& spec, std::size_t entry_index = 0);

    // Sends a call to a control member; follows one redirect.
    answer control(const std::string& method, const std::string& path, const std::string& body,
                   std::size_t index = 0);

    // The configuration that the tests publish. `keys` are the JSON strings in the team's list of API keys.
    static std::string configuration(std::uint64_t version, const std::string& keys = "\"key-clerks\"");

    // Publishes version 1, checks all runners in and waits until both entries serve both services.
    void start_serving();

    // Checks all runners in as "ready"; repeats each check-in until it is accepted.
    void check_in_all();

    // Checks a runner in once, at one control process, following redirects. Returns whether it was accepted.
    bool check_in(const std::string& id, std::size_t index);

    verbena::standin::platform_runner& runner(const std::string& id) { return *m_runners.at(id); }
    std::size_t requests_at(const std::string& id) { return m_runners.at(id)->requests().size(); }
    verbena::host_port control_address(std::size_t index) const;

    // Stops a member, empties its data folder and starts it again at the same address.
    void lose_disk(std::size_t index);

    // Stops all of these members at once. Those in `removed` never return, the others start again with empty
    // data folders at the same addresses.
    void lose_members(const std::set<std::size_t>& removed, const std::set<std::size_t>& lost_disks);

    std::size_t member_count() const { return m_members.size(); }

    // Stops all members, calls `while_down`, and starts them again with copies of their data folders; those
    // in `lost_disks` start with empty ones.
    void restart_members(
        const std::function<void()>& while_down = [] {}, const std::set<std::size_t>& lost_disks = {});

    // Starts one more control process, which is no seed; returns its index.
    std::size_t add_member(bool has_disk = true);

    // Starts one more entry; returns its index. `seed`: the only control process in its settings, in place of
    // the seeds.
    std::size_t add_entry(std::optional<std::size_t> seed = {}, const std::string& domain = "domain-a");

    // Control processes that the settings of processes name from their next start on.
    void set_seeds(std::vector<std::size_t> seeds) { m_seeds = std::move(seeds); }

    // Addresses of the voters in the group, and their number, as reported by the member at this index.
    std::set<std::string> voter_addresses(std::size_t index);
    std::size_t voters(std::size_t index) { return voter_addresses(index).size(); }

    // Address of a member, as listed in the group.
    std::string member_address(std::size_t index) const;

    net_threads& threads() { return m_threads; }

private:
    struct member {
        std::unique_ptr<verbena::node::process> process;
        std::shared_ptr<verbena::control::control_service> service;
        std::unique_ptr<std::thread> worker;
        std::string folder; // empty: no disk
        std::uint16_t frame_port = 0;
        std::uint16_t operator_port = 0;
    };
    struct entry {
        std::unique_ptr<verbena::node::process> process;
        std::shared_ptr<verbena::forward::forward_service> service;
        std::unique_ptr<std::thread> worker;
        std::uint16_t port = 0;
    };

    std::string seed_addresses() const;
    static member make_member(bool has_disk);
    void start_member(std::size_t index, bool bootstrap);
    void stop_member(std::size_t index, bool immediately = true);
    void start_entry(std::size_t index, std::optional<std::size_t> seed = {},
                     const std::string& domain = "domain-a");
    void add_runner(const std::string& id, const std::string& service, const std::string& domain,
                    std::chrono::milliseconds prefill = {});
    static verbena::net::task<answer> fetch_task(verbena::host_port address, verbena::net::http_call sent);
    answer fetch(const verbena::host_port& address, const verbena::net::http_call& sent);
    verbena::net::http_call make_http_call(const call& spec);

    net_threads m_threads;
    std::uint32_t m_tolerated_losses;
    std::vector<member> m_members;
    std::vector<std::size_t> m_seeds;
    std::vector<entry> m_entries;
    std::map<std::string, std::shared_ptr<verbena::standin::platform_runner>> m_runners;
    std::uint64_t m_next_request = 1;
};
