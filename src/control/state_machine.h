#pragma once

#include "control/configuration.h"
#include "control/duty_table.h"
#include "control/key_table.h"
#include "control/packed.h"
#include "control/scale_table.h"
#include "control/usage_table.h"

#include <cstdint>
#include <span>
#include <vector>

namespace verbena::control {

struct state_limits {
    configuration_limits configuration;
    key_limits keys;
};

// Packs a command for the replicated log. `now` is the wall clock of the proposing leader.
std::vector<std::uint8_t> make_command(const op::change_requestT& request, wall_time now);
std::vector<std::uint8_t> make_command(const wire::key_bindT& request, wall_time now);
std::vector<std::uint8_t> make_command(const wire::key_finishT& request, wall_time now);

// Packs a command of duties; its table holds the wall clock of the proposing leader.
template <typename Body>
std::vector<std::uint8_t> make_duty_command(Body body)
{
    log_entry::commandT command;
    command.body.Set(std::move(body));
    return pack(command);
}

// Unpacks a reply of `state_machine::apply`. Error `corrupt` when the bytes are not a reply of this type.
result<op::change_replyT> parse_change_reply(std::span<const std::uint8_t> bytes);
result<wire::key_replyT> parse_key_reply(std::span<const std::uint8_t> bytes);
result<log_entry::duty_replyT> parse_duty_reply(std::span<const std::uint8_t> bytes);

// The replicated state of a control group. Deterministic: replicas that applied the same log have
// byte-identical snapshots. Not thread-safe.
class state_machine {
public:
    explicit state_machine(const state_limits& limits = {});

    // Applies the committed entry at `index`. The reply is a packed op::change_reply, wire::key_reply or
    // log_entry::duty_reply, depending on the command. It is empty when the entry was applied before or is
    // not a valid command, which is counted.
    std::vector<std::uint8_t> apply(std::uint64_t index, std::span<const std::uint8_t> command);

    // The whole state as a packed log_entry::snapshot.
    std::vector<std::uint8_t> snapshot() const;

    // Replaces the state by that of a snapshot. On error the state is unchanged.
    result<void> restore(std::span<const std::uint8_t> bytes);

    std::uint64_t applied_index() const { return m_applied_index; }
    std::uint64_t invalid_commands() const { return m_invalid_commands; }
    const configuration& config() const { return m_configuration; }
    const key_table& keys() const { return m_keys; }
    const duty_table& duties() const { return m_duties; }
    const usage_table& usage() const { return m_usage; }
    const scale_table& scales() const { return m_scales; }

private:
    std::vector<std::uint8_t> apply(const log_entry::command& command);
    std::vector<std::uint8_t> apply_duty(const log_entry::command& command);

    std::uint64_t m_applied_index = 0;
    std::uint64_t m_invalid_commands = 0;
    configuration m_configuration;
    key_table m_keys;
    duty_table m_duties;
    usage_table m_usage;
    scale_table m_scales;
};

} // namespace verbena::control
