#include "control/operator_service.h"

#include "control/operator_json.h"
#include "control/packed.h"

#include <algorithm>

namespace verbena::control {

namespace {

int status_of(error_kind kind)
{
    switch (kind) {
    case error_kind::invalid_request:
        return 400;
    case error_kind::not_found:
        return 404;
    case error_kind::conflict:
        return 409;
    case error_kind::too_large:
        return 413;
    case error_kind::timeout:
    case error_kind::overloaded:
    case error_kind::not_leader:
    case error_kind::unavailable:
        return 503;
    default:
        return 500;
    }
}

int status_of(op::change_result value)
{
    switch (value) {
    case op::change_result::accepted:
    case op::change_result::dry_run_ok:
        return 200;
    case op::change_result::conflict:
        return 409;
    case op::change_result::invalid:
        return 400;
    case op::change_result::not_leader:
    case op::change_result::unavailable:
        return 503;
    }
    return 500;
}

operator_reply error_reply(const error& value)
{
    return {status_of(value.kind), {}, error_json(value)};
}

template <typename Native>
operator_reply json_reply(const char* table, const Native& value, int status = 200)
{
    return {status, {}, to_operator_json(table, pack(value))};
}

operator_reply change_reply(const op::change_replyT& reply)
{
    return json_reply("change_reply", reply, status_of(reply.result));
}

// The entry may still be committed later, so the only safe remedy is to resend it under the same id.
error unknown_outcome(const error& cause)
{
    return make_error(error_kind::unavailable,
                      "it is unknown whether the change was accepted: " + cause.message,
                      "send the same request with the same request_id again; it is applied at most once");
}

error too_large_command(std::size_t bytes)
{
    return make_error(error_kind::too_large, "the change has " + std::to_string(bytes) + " bytes when packed",
                      "send at most " + std::to_string(max_change_command) + " bytes; split the change");
}

template <typename Table>
typename Table::NativeTableType to_native(std::span<const std::uint8_t> bytes)
{
    typename Table::NativeTableType value;
    flatbuffers::GetRoot<Table>(bytes.data())->UnPackTo(&value);
    return value;
}

op::admin_state state_of(const op::configT& config, const std::string& name)
{
    for (const auto& endpoint : config.endpoints) {
        if (endpoint->name == name) {
            return endpoint->state;
        }
    }
    return op::admin_state::in;
}

std::unique_ptr<op::endpoint_statusT> to_status(const directory_item& item, const op::configT& config)
{
    auto status = std::make_unique<op::endpoint_statusT>();
    status->name = item.announcement->endpoint;
    status->address = item.announcement->address;
    status->domain = item.announcement->failure_domain;
    status->service_name = item.announcement->service;
    status->cold = item.announcement->cold;
    status->leaving = item.announcement->leaving;
    status->state = state_of(config, status->name);
    status->age_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(item.age.count(), 0));
    return status;
}

std::unique_ptr<op::duty_statusT> to_status(const std::string& duty, const duty_record& record,
                                            wall_time wall)
{
    auto status = std::make_unique<op::duty_statusT>();
    status->duty = duty;
    status->holder = record.holder;
    status->token = record.token;
    const milliseconds age = record.token == 0 ? milliseconds::zero() : wall - record.taken;
    status->age_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0));
    for (const auto& [machine, until] : record.barred_until) {
        if (wall < until) {
            status->barred.push_back(machine);
        }
    }
    return status;
}

// Longest time for which a machine may be barred from a duty.
constexpr milliseconds max_bar = std::chrono::days(366);

} // namespace

operator_service::operator_service(replicated_log& log, const state_machine& state,
                                   const directory& endpoints, const poll_service& polls)
    : m_log(log), m_state(state), m_endpoints(endpoints), m_polls(polls)
{
}

void operator_service::handle(std::string_view call, std::string_view json, wall_time wall, time_point now,
                              operator_handler handler)
{
    if (json.size() > max_operator_body) {
        handler(error_reply(make_error(error_kind::too_large, "the request body exceeds the size limit",
                                       "send at most " + std::to_string(max_operator_body) + " bytes")));
        return;
    }
    const auto request = parse_operator_json(call, json);
    if (!request) {
        handler(error_reply(request.error()));
        return;
    }
    dispatch(request.value(), {std::string(call), wall, now, std::move(handler)});
}

void operator_service::dispatch(std::span<const std::uint8_t> request, call_context context)
{
    if (context.call == "change") {
        change(to_native<op::change_request>(request), std::move(context));
    } else if (context.call == "add_member" || context.call == "remove_member") {
        change_member(request, std::move(context));
    } else if (context.call == "move_duty") {
        move_duty(to_native<op::move_duty_request>(request), std::move(context));
    } else if (context.call == "get_config") {
        get_config(to_native<op::get_config_request>(request), context);
    } else if (context.call == "history") {
        history(to_native<op::history_request>(request), context);
    } else if (context.call == "diff") {
        diff(to_native<op::diff_request>(request), context);
    } else if (context.call == "status") {
        status(context);
    } else if (context.call == "endpoints") {
        endpoints(context);
    } else {
        context.handler(error_reply(make_error(error_kind::internal, "the call is not implemented",
                                               "report this with the version of the process")));
    }
}

void operator_service::change(const op::change_requestT& request, call_context context)
{
    if (!m_log.is_leader()) {
        context.handler(redirect(context.call));
        return;
    }
    const op::change_replyT dry_run_reply = m_state.config().check(request);
    // A resent request gets its first answer, so only a change that would be accepted now is checked against
    // the directory.
    const bool acceptable = dry_run_reply.result == op::change_result::dry_run_ok;
    const auto usage_check = acceptable ? check_unused(request, context.now) : result<void>(success());
    if (!usage_check) {
        context.handler(error_reply(usage_check.error()));
        return;
    }
    if (request.dry_run) {
        context.handler(change_reply(dry_run_reply));
        return;
    }
    std::vector<std::uint8_t> command = make_command(request, context.wall);
    propose(std::move(command), std::move(context));
}

void operator_service::propose(std::vector<std::uint8_t> command, call_context context)
{
    if (command.size() > max_change_command) {
        context.handler(error_reply(too_large_command(command.size())));
        return;
    }
    auto on_committed = [this, call = context.call, handler = std::move(context.handler)](
                            const result<std::vector<std::uint8_t>>& outcome) {
        if (!outcome && outcome.error().kind == error_kind::not_leader) {
            handler(redirect(call));
            return;
        }
        if (!outcome) {
            handler(error_reply(unknown_outcome(outcome.error())));
            return;
        }
        const auto reply = parse_change_reply(outcome.value());
        handler(reply ? change_reply(reply.value()) : error_reply(unknown_outcome(reply.error())));
    };
    m_log.propose(std::move(command), std::move(on_committed));
}

void operator_service::change_member(std::span<const std::uint8_t> request, call_context context)
{
    if (!m_log.is_leader()) {
        context.handler(redirect(context.call));
        return;
    }
    auto on_committed = [this, call = context.call,
                         handler = std::move(context.handler)](const result<void>& outcome) {
        if (!outcome) {
            handler(outcome.error().kind == error_kind::not_leader ? redirect(call)
                                                                   : error_reply(outcome.error()));
            return;
        }
        op::change_replyT reply;
        reply.revision = m_state.config().current_revision();
        handler(change_reply(reply));
    };
    if (context.call == "add_member") {
        const auto member = to_native<op::add_member_request>(request);
        m_log.add_member(member.id, member.address, std::move(on_committed));
    } else {
        m_log.remove_member(to_native<op::remove_member_request>(request).id, std::move(on_committed));
    }
}

void operator_service::move_duty(const op::move_duty_requestT& request, call_context context)
{
    if (!m_log.is_leader()) {
        context.handler(redirect(context.call));
        return;
    }
    if (request.duty.empty() || request.machine.empty() || request.for_ms > max_bar.count()) {
        context.handler(error_reply(make_error(error_kind::invalid_request,
                                               "duty or machine is missing, or for_ms is longer than a year",
                                               "name a duty and its holder as 'status' shows them")));
        return;
    }
    log_entry::bar_dutyT command;
    command.now_ms = static_cast<std::uint64_t>(context.wall.time_since_epoch().count());
    command.duty = request.duty;
    command.machine = request.machine;
    command.until_ms = request.for_ms == 0 ? 0 : command.now_ms + request.for_ms;
    auto on_committed = [this, call = context.call, handler = std::move(context.handler)](
                            const result<std::vector<std::uint8_t>>& outcome) {
        const auto reply =
            outcome ? parse_duty_reply(outcome.value()) : result<log_entry::duty_replyT>(outcome.error());
        if (!reply) {
            handler(reply.error().kind == error_kind::not_leader
                        ? redirect(call)
                        : error_reply(unknown_outcome(reply.error())));
            return;
        }
        op::move_duty_replyT answer;
        answer.accepted = reply.value().accepted;
        answer.holder = reply.value().holder;
        handler(json_reply("move_duty_reply", answer));
    };
    m_log.propose(make_duty_command(std::move(command)), std::move(on_committed));
}

void operator_service::get_config(const op::get_config_requestT& request, const call_context& context) const
{
    const revision number = request.revision == 0 ? m_state.config().current_revision() : request.revision;
    auto config = m_state.config().at(number);
    if (!config) {
        context.handler(error_reply(config.error()));
        return;
    }
    op::get_config_replyT reply;
    reply.value = std::move(config).value();
    context.handler(json_reply("get_config_reply", reply));
}

void operator_service::history(const op::history_requestT& request, const call_context& context) const
{
    context.handler(
        json_reply("history_reply", m_state.config().history(request.from_revision, request.limit)));
}

void operator_service::diff(const op::diff_requestT& request, const call_context& context) const
{
    const revision to = request.to_revision == 0 ? m_state.config().current_revision() : request.to_revision;
    auto lines = m_state.config().diff(request.from_revision, to);
    if (!lines) {
        context.handler(error_reply(lines.error()));
        return;
    }
    op::diff_replyT reply;
    reply.lines = std::move(lines).value();
    context.handler(json_reply("diff_reply", reply));
}

void operator_service::status(const call_context& context) const
{
    op::status_replyT reply = m_log.status();
    reply.revision = m_state.config().current_revision();
    reply.processes = m_polls.processes(context.now);
    for (const auto& [duty, record] : m_state.duties().records()) {
        reply.duties.push_back(to_status(duty, record, context.wall));
    }
    context.handler(json_reply("status_reply", reply));
}

void operator_service::endpoints(const call_context& context) const
{
    op::endpoints_replyT reply;
    for (const directory_item& item : m_endpoints.list(context.now)) {
        reply.items.push_back(to_status(item, *m_state.config().current()));
    }
    context.handler(json_reply("endpoints_reply", reply));
}

// The directory is not replicated, so this check runs before the proposal and covers only announcements that
// this member has received.
result<void> operator_service::check_unused(const op::change_requestT& request, time_point now) const
{
    for (const directory_item& item : m_endpoints.list(now)) {
        const bool uses_service =
            !request.remove_service.empty() && item.announcement->service == request.remove_service;
        const bool uses_domain = !request.remove_failure_domain.empty() &&
                                 item.announcement->failure_domain == request.remove_failure_domain;
        if (uses_service || uses_domain) {
            return make_error(error_kind::conflict,
                              "endpoint '" + item.announcement->endpoint +
                                  "' still announces the service or failure domain to be removed",
                              "stop the endpoints that operator call 'endpoints' lists for it, then send "
                              "the change again");
        }
    }
    return success();
}

operator_reply operator_service::redirect(const std::string& call) const
{
    const std::string leader = m_log.leader_operator_address();
    if (leader.empty()) {
        return error_reply(
            make_error(error_kind::unavailable, "no leader is known",
                       "wait for an election (about 1 s) and send the same request again; if it "
                       "persists, check that a majority of the members runs"));
    }
    const error cause = make_error(error_kind::not_leader, "this member is not the leader",
                                   "send the same request to " + leader);
    return {307, "http://" + leader + "/operator/v1/" + call, error_json(cause, leader)};
}

} // namespace verbena::control
