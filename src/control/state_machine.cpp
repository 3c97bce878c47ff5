#include "control/state_machine.h"

#include "control/packed.h"

namespace verbena::control {

namespace {

std::uint64_t to_ms(wall_time now)
{
    return static_cast<std::uint64_t>(now.time_since_epoch().count());
}

wall_time to_time(std::uint64_t now_ms)
{
    return wall_time(milliseconds(now_ms));
}

template <typename Body, typename Request>
std::vector<std::uint8_t> pack_command(const Request& request, wall_time now)
{
    Body body;
    body.now_ms = to_ms(now);
    body.request = std::make_unique<Request>(request);
    log_entry::commandT command;
    command.body.Set(std::move(body));
    return pack(command);
}

template <typename Table>
result<typename Table::NativeTableType> parse_reply(std::span<const std::uint8_t> bytes)
{
    auto reply = unpack<Table>(bytes);
    if (!reply) {
        return make_error(error_kind::corrupt, "the state machine returned an empty or unexpected reply",
                          "check that all members run the same version");
    }
    return std::move(*reply);
}

} // namespace

std::vector<std::uint8_t> make_command(const op::change_requestT& request, wall_time now)
{
    return pack_command<log_entry::change_configT>(request, now);
}

std::vector<std::uint8_t> make_command(const wire::key_bindT& request, wall_time now)
{
    return pack_command<log_entry::bind_keyT>(request, now);
}

std::vector<std::uint8_t> make_command(const wire::key_finishT& request, wall_time now)
{
    return pack_command<log_entry::finish_keyT>(request, now);
}

result<op::change_replyT> parse_change_reply(std::span<const std::uint8_t> bytes)
{
    return parse_reply<op::change_reply>(bytes);
}

result<wire::key_replyT> parse_key_reply(std::span<const std::uint8_t> bytes)
{
    return parse_reply<wire::key_reply>(bytes);
}

result<log_entry::duty_replyT> parse_duty_reply(std::span<const std::uint8_t> bytes)
{
    return parse_reply<log_entry::duty_reply>(bytes);
}

state_machine::state_machine(const state_limits& limits)
    : m_configuration(limits.configuration), m_keys(limits.keys)
{
}

std::vector<std::uint8_t> state_machine::apply(std::uint64_t index, std::span<const std::uint8_t> command)
{
    if (index <= m_applied_index) {
        return {};
    }
    m_applied_index = index;
    const auto* entry = view<log_entry::command>(command);
    std::vector<std::uint8_t> reply = entry == nullptr ? std::vector<std::uint8_t>() : apply(*entry);
    if (reply.empty()) {
        ++m_invalid_commands;
    }
    return reply;
}

std::vector<std::uint8_t> state_machine::apply(const log_entry::command& command)
{
    if (const auto* change = command.body_as_change_config(); change != nullptr && change->request()) {
        m_keys.advance(to_time(change->now_ms()));
        const std::unique_ptr<op::change_requestT> request(change->request()->UnPack());
        return pack(m_configuration.apply(*request));
    }
    if (const auto* bind = command.body_as_bind_key(); bind != nullptr && bind->request()) {
        m_keys.advance(to_time(bind->now_ms()));
        const std::unique_ptr<wire::key_bindT> request(bind->request()->UnPack());
        return pack(m_keys.bind(*request));
    }
    if (const auto* finish = command.body_as_finish_key(); finish != nullptr && finish->request()) {
        m_keys.advance(to_time(finish->now_ms()));
        const std::unique_ptr<wire::key_finishT> request(finish->request()->UnPack());
        return pack(m_keys.finish(*request));
    }
    return apply_duty(command);
}

std::vector<std::uint8_t> state_machine::apply_duty(const log_entry::command& command)
{
    if (const auto* take = command.body_as_take_duty()) {
        return pack(m_duties.take(*take));
    }
    if (const auto* bar = command.body_as_bar_duty()) {
        return pack(m_duties.bar(*bar));
    }
    if (const auto* record = command.body_as_record_usage()) {
        return pack(m_usage.record(*record));
    }
    if (const auto* finish = command.body_as_finish_usage()) {
        return pack(m_usage.finish(*finish));
    }
    if (const auto* scale = command.body_as_record_scale()) {
        return pack(m_scales.record(*scale));
    }
    return {};
}

std::vector<std::uint8_t> state_machine::snapshot() const
{
    flatbuffers::FlatBufferBuilder builder(m_keys.bytes() + (std::size_t{64} << 10U));
    const configuration_offsets config = m_configuration.save(builder);
    const auto keys = m_keys.save(builder);
    const auto duties = m_duties.save(builder);
    const auto usage = m_usage.save(builder);
    const auto scales = m_scales.save(builder);
    builder.Finish(log_entry::Createsnapshot(builder, m_applied_index, to_ms(m_keys.now()), config.config,
                                             config.answers, config.revisions, keys, duties,
                                             m_duties.last_token(), usage, m_usage.last_finished(), scales));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

result<void> state_machine::restore(std::span<const std::uint8_t> bytes)
{
    const auto* saved = view<log_entry::snapshot>(bytes);
    if (saved == nullptr) {
        return make_error(error_kind::corrupt, "the snapshot is not a valid log_entry.snapshot table",
                          "remove the member and add it again under a new member id");
    }
    m_applied_index = saved->applied_index();
    m_configuration.restore(*saved);
    m_keys.restore(*saved);
    m_duties.restore(*saved);
    m_usage.restore(*saved);
    m_scales.restore(*saved);
    return success();
}

} // namespace verbena::control
