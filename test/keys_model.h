#pragma once

#include "base/random.h"
#include "control/state_machine.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace verbena::test {

// Faults that can be injected into the model, to show that the invariant checker detects them.
enum class model_defect {
    none,
    agent_drops_closed_attempts,
    agent_ignores_incarnation,
    agent_retention_too_short,
    entry_skips_confirmation,
};

// Events counted during a schedule, to show that it reached the cases under test.
struct model_counts {
    int runs = 0;
    int rebinds = 0;
    int reported_done = 0;
    int reported_not_run = 0;
    int reported_unknown = 0;
    int duplicates = 0;
    int expired = 0;
    int restarts = 0;
};

// Seeded simulation of entries, agents and the key table under the protocol of docs/design.md, section 4.6.
// Each step is one event: a caller's request, a delivery (possibly duplicated, late or without its reply), a
// crash, a restart, progress of the service, or passing time.
class keys_model {
public:
    explicit keys_model(std::uint64_t seed, model_defect defect = model_defect::none);

    void step();

    // The first violation of an invariant; empty when there is none.
    const std::string& violation() const { return m_violation; }
    const model_counts& counts() const { return m_counts; }

private:
    using attempt_key = std::pair<std::uint64_t, std::uint32_t>;

    enum class agent_answer { refused, running, done, failed, never_seen, wrong_incarnation };
    enum class attempt_state { closed, running, done, failed };
    enum class phase { binding, confirming, submitted, querying };

    struct attempt_record {
        attempt_state state = attempt_state::closed;
        std::chrono::seconds since{};
    };

    struct agent {
        incarnation process = 1;
        std::map<attempt_key, attempt_record> table;
    };

    struct message {
        bool is_query = false;
        std::uint64_t sender = 0;
        std::size_t agent = 0;
        incarnation expected = 0;
        attempt_key attempt;
        std::string key;
        std::chrono::seconds sent{};
    };

    struct proposal {
        std::uint64_t sender = 0;
        std::uint32_t attempt = 0;
        bool is_finish = false;
        // True when the bind repeats the ownership check after an agent proved that the attempt did not run.
        bool confirms = false;
        std::vector<std::uint8_t> command;
        std::chrono::seconds sent{};
    };

    // One caller request at one entry.
    struct entry_request {
        std::uint64_t request = 0;
        std::uint32_t attempt = 1;
        std::string key;
        phase state = phase::binding;
        std::size_t agent = 0;
        incarnation expected = 0;
        std::chrono::seconds bind_sent{};
        wire::key_bindT bind;
        attempt_key owner;
        std::size_t owner_agent = 0;
        incarnation owner_process = 0;
    };

    std::size_t random_below(std::size_t limit) { return static_cast<std::size_t>(m_engine() % limit); }
    bool random_chance(unsigned percent) { return m_engine() % 100 < percent; }
    control::wall_time wall_now() const;
    void record_violation(const std::string& text);

    void send_caller_request();
    void crash_entry();
    void restart_agent();
    void restore_control_state();
    void advance_service();
    void advance_time();
    void time_out_entry();
    void deliver_proposal();
    void deliver_message();

    void send_bind(entry_request& sender, const attempt_key* replaces);
    void repeat_bind(const entry_request& sender);
    void send_submit(const entry_request& sender);
    void send_submit_or_query(entry_request& sender);
    void send_query(const entry_request& sender);
    void send_finish(const entry_request& sender, const attempt_key& owner);
    void on_key_reply(entry_request& waiting, const wire::key_replyT& reply);
    void on_bound(entry_request& waiting);
    void on_agent_answer(entry_request& waiting, agent_answer answer);
    void on_not_run_proof(entry_request& waiting);
    agent_answer handle_submit(agent& target, const message& submit);
    agent_answer handle_query(agent& target, const message& query);
    agent_answer answer_for(const attempt_record& known) const;
    void run(agent& target, const message& submit);
    void report_not_run(const entry_request& reported);
    entry_request* find_request(std::uint64_t request);
    void end_request(std::uint64_t request);

    random_engine m_engine;
    model_defect m_defect;
    control::state_machine m_machine;
    std::uint64_t m_index = 0;
    std::chrono::seconds m_now{};
    std::vector<std::string> m_keys;
    std::vector<agent> m_agents;
    std::vector<message> m_messages;
    std::vector<proposal> m_proposals;
    std::vector<entry_request> m_requests;
    std::uint64_t m_next_request = 1;
    std::map<std::string, int> m_runs_by_key;
    std::set<std::uint64_t> m_reported_not_run;
    std::string m_violation;
    model_counts m_counts;
};

} // namespace verbena::test
