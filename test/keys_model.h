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

// Faults that can be built into the model, to show that the invariant checker can fail.
enum class model_defect {
    none,
    agent_forgets_closed,
    agent_ignores_incarnation,
    agent_memory_too_short,
    entry_skips_confirmation,
};

// What a schedule did, to show that it reached the interesting cases.
struct model_counts {
    int runs = 0;
    int rebinds = 0;
    int told_done = 0;
    int told_not_run = 0;
    int told_unknown = 0;
    int duplicates = 0;
    int expired = 0;
    int restarts = 0;
};

// A seeded run of entries, agents and the key table under the protocol of docs/design.md, section 4.6. Every
// step is one event: a caller's send, a delivery (possibly repeated, late or without its reply), a crash, a
// restart, progress of the service, or time that passes.
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
    enum class work_state { closed, running, done, failed };
    enum class phase { binding, confirming, submitted, querying };

    struct work {
        work_state state = work_state::closed;
        std::chrono::seconds since{};
    };

    struct agent {
        incarnation process = 1;
        std::map<attempt_key, work> table;
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
        // Sent after the proof of not run.
        bool confirms = false;
        std::vector<std::uint8_t> command;
        std::chrono::seconds sent{};
    };

    // One caller request at one entry.
    struct task {
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

    std::size_t below(std::size_t limit) { return static_cast<std::size_t>(m_engine() % limit); }
    bool chance(unsigned percent) { return m_engine() % 100 < percent; }
    control::wall_time wall() const;
    void violate(const std::string& text);

    void caller_sends();
    void entry_crashes();
    void agent_restarts();
    void control_restarts();
    void service_progresses();
    void time_passes();
    void entry_loses_patience();
    void deliver_proposal();
    void deliver_message();

    void send_bind(task& sender, const attempt_key* replaces);
    void repeat_bind(const task& sender);
    void send_submit(const task& sender);
    void send_submit_or_query(task& sender);
    void send_query(const task& sender);
    void send_finish(const task& sender, const attempt_key& owner);
    void on_key_reply(task& waiting, const wire::key_replyT& reply);
    void on_bound(task& waiting);
    void on_agent_answer(task& waiting, agent_answer answer);
    void on_not_run_proof(task& waiting);
    agent_answer submit_at(agent& target, const message& submit);
    agent_answer query_at(agent& target, const message& query);
    agent_answer answer_for(const work& known) const;
    void run(agent& target, const message& submit);
    void tell_not_run(const task& told);
    task* find_task(std::uint64_t request);
    void end_task(std::uint64_t request);

    random_engine m_engine;
    model_defect m_defect;
    control::state_machine m_machine;
    std::uint64_t m_index = 0;
    std::chrono::seconds m_now{};
    std::vector<std::string> m_keys;
    std::vector<agent> m_agents;
    std::vector<message> m_messages;
    std::vector<proposal> m_proposals;
    std::vector<task> m_tasks;
    std::uint64_t m_next_request = 1;
    std::map<std::string, int> m_runs_by_key;
    std::set<std::uint64_t> m_told_not_run;
    std::string m_violation;
    model_counts m_counts;
};

} // namespace verbena::test
