#pragma once

#include "control/key_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace verbena::control {

// The holder of a duty. A restarted process has another incarnation and is another holder.
struct duty_record {
    std::string holder;                            // name of its machine; empty when no one has held the duty
    std::uint64_t incarnation = 0;                 // of its process
    std::uint64_t token = 0;                       // 0 when no one has held the duty
    wall_time taken;                               // the leader's wall clock when the holder took the duty
    std::map<std::string, wall_time> barred_until; // by machine
};

// Holders and tokens of the duties (docs/design/duties.md). Deterministic; not thread-safe.
class duty_table {
public:
    // Gives the duty to another holder, with a token greater than all tokens before. Not accepted unless
    // `expected_token` is the token in force and the machine may hold the duty. The reply names the holder.
    log_entry::duty_replyT take(const log_entry::take_duty& command);

    // Sets until when a machine may not hold a duty. It keeps the duty if it holds it: whether it uses it is
    // its own decision, since another member can only take the duty when it leads the group.
    log_entry::duty_replyT bar(const log_entry::bar_duty& command);

    // Null when the duty has neither a holder nor a barred machine.
    const duty_record* find(std::string_view duty) const;

    // Whether the machine may not hold the duty at `now`.
    bool is_barred(std::string_view duty, const std::string& machine, wall_time now) const;

    std::uint64_t last_token() const { return m_last_token; }

    // By duty, in the order of their names.
    const std::map<std::string, duty_record, std::less<>>& records() const { return m_records; }

    // Writes the records in the order of their names.
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<log_entry::duty_record>>>
    save(flatbuffers::FlatBufferBuilder& builder) const;

    // Replaces the state by that of a verified snapshot.
    void restore(const log_entry::snapshot& snapshot);

private:
    static log_entry::duty_replyT make_reply(bool accepted, const duty_record& value);

    std::map<std::string, duty_record, std::less<>> m_records;
    std::uint64_t m_last_token = 0;
};

} // namespace verbena::control
