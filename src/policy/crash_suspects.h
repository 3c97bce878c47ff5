#pragma once

#include "base/types.h"
#include "policy/prompt_part.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace verbena::policy {

// What a process knows of a prompt part under which endpoints have crashed. Two records of one part are
// merged by their counts only: times drift with each message, so that two processes could correct each other
// without end.
struct crash_record {
    std::uint32_t generation = 0; // grows with each answer that clears the part; of two, the later one holds
    // Crashes one after another in this generation. Crashes of requests that were sent before the previous
    // one was known count once.
    std::uint32_t crashes = 0;
    bool leads = false;               // after the last crash no other part of its request had as many crashes
    std::uint32_t blocked_trials = 0; // requests sent since the part is blocked
    std::uint32_t trials_begun = 0;   // in all generations, like `trials_ended`
    std::uint32_t trials_ended = 0;
    time_point last_request{}; // on the local clock
};

// A record with the part that it describes.
struct crash_statement {
    prompt_part part = 0;
    crash_record record;
};

// How a request is to be treated because of the parts of its prompt.
struct crash_verdict {
    enum class action : std::uint8_t {
        dispatch, // like any other request
        trial,    // as the only request with its suspect parts
        wait,     // until another request with a suspect part has been tried
        refuse,
    };

    action what = action::dispatch;
    prompt_part part = 0;      // the reason for any other action than `dispatch`
    std::uint32_t crashes = 0; // of that part
    milliseconds retry_after{};
};

enum class crash_state : std::uint8_t { clear, suspect, blocked };

const char* to_string(crash_state value);

// `blocked`: requests with the part are refused whatever else they contain.
crash_state state_of(const crash_record& record);

// Finds the prompt parts that crash endpoints. An endpoint that crashes makes the shared parts of the
// requests that it had not begun to answer suspect; an answer to any request with such a part clears it.
// While a part is suspect, its requests are sent one at a time, so that at most one more endpoint is lost for
// each step. After `crashes_to_block` steps requests with the part are refused, except for `max_trials`
// trials in all. Processes exchange their records; merging is idempotent and does not depend on the order.
class crash_suspects {
public:
    static constexpr std::uint32_t crashes_to_block = 3;
    static constexpr std::uint32_t max_trials = 2;
    static constexpr std::size_t max_records = 1'024;

    // `process` differs from process to process, so that they do not all begin the trial of a blocked part at
    // the same time.
    explicit crash_suspects(incarnation process = 0) : m_process(process) {}

    // Decides about a request with these parts and notes that it has been made.
    crash_verdict check(const std::vector<prompt_part>& parts, time_point now);

    // A request with the verdict `trial` has been sent, and its trial has ended. The records that have
    // changed are returned, here and below.
    std::vector<crash_statement> begin_trial(const std::vector<prompt_part>& parts, time_point now);
    std::vector<crash_statement> end_trial(const std::vector<prompt_part>& parts);

    // An endpoint has crashed before it began to answer a request with these parts, sent to it at `sent`.
    std::vector<crash_statement> on_crash(const std::vector<prompt_part>& parts, time_point sent,
                                          time_point now);

    // An endpoint has begun to answer a request with these parts.
    std::vector<crash_statement> on_answer(const std::vector<prompt_part>& parts, time_point now);

    // Applies a record of another process. Returns the new record if it differs from the previous one.
    std::optional<crash_statement> merge(const crash_statement& received, time_point now);

    // Clears a part at the request of an operator. Empty if the part is not suspect.
    std::optional<crash_statement> release(prompt_part part, time_point now);

    crash_state state(prompt_part part) const;

    // All records with crashes, and those cleared recently enough for an older record to be in transit.
    std::vector<crash_statement> records(time_point now);

    // Records that have to be sent again, because requests with the part still come.
    std::vector<crash_statement> due_for_refresh(time_point now);

private:
    struct entry {
        crash_record record;
        time_point learned{};       // when the last crash became known here
        time_point trial_learned{}; // when the last trial became known here
        time_point cleared{};
        time_point refreshed{}; // when `last_request` was last sent
    };

    bool is_blocked(const std::vector<prompt_part>& parts) const;
    static bool in_trial(const entry& known, time_point now);
    milliseconds until_trial(prompt_part part, const entry& known, time_point now) const;
    bool is_gated(prompt_part part, const crash_record& record) const;
    bool is_established(prompt_part part) const;
    void count_answer(prompt_part part);
    entry& find_or_add(prompt_part part, time_point now);
    void expire(time_point now);

    incarnation m_process;
    std::unordered_map<prompt_part, entry> m_entries;
    // Answers by part, in two generations: when the newer one is full, it replaces the older one.
    std::unordered_map<prompt_part, std::uint32_t> m_answers;
    std::unordered_map<prompt_part, std::uint32_t> m_older_answers;
};

} // namespace verbena::policy
