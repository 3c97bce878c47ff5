#include "control/scaling_duty.h"

#include "base/log.h"
#include "control/packed.h"
#include "node/publication.h"
#include "route/table.h"

#include <set>

namespace verbena::control {

namespace {

// Schedulers report two to three times a second.
constexpr milliseconds decision_interval{1'000};
constexpr milliseconds retry_delay{1'000};
// A call without an answer may be carried out seconds later, after newer ones.
constexpr milliseconds late_call_time{15'000};

// Empty when there is none or it cannot be read. Control members check documents before they publish them, so
// that only a member of another version can have published one that cannot be read.
result<route::document> decode(const op::configT& config, const route::document_codec& documents)
{
    if (!config.published) {
        return route::document{};
    }
    BOOST_OUTCOME_TRY(const std::string content, node::unpack_publication(*config.published));
    return documents.decode(content);
}

} // namespace

void scaling_duty::on_hold(bool held, time_point now)
{
    static_cast<void>(held);
    m_services.clear();
    m_present.clear();
    m_desired.clear();
    m_orders.clear();
    m_decided = now - decision_interval;
}

void scaling_duty::update_rules(const op::configT& config)
{
    const std::uint64_t version = config.published ? config.published->version : 0;
    if (version == m_rules_version) {
        return;
    }
    m_rules_version = version;
    const result<route::document> document = decode(config, *m_documents);
    if (!document) {
        log::failure("cannot read the scaling of services: " + describe(document.error()));
        return;
    }
    m_limits.clear();
    for (const route::service_rule& service : document.value().services) {
        if (service.scaling) {
            m_limits[service.name] = {service.scaling->min, service.scaling->max, service.scaling->boot_time,
                                      service.cold_time};
        }
    }
}

void scaling_duty::update_services(const scale_table& recorded, time_point now)
{
    std::erase_if(m_services, [this](const auto& item) { return !is_scaled(item.first); });
    std::erase_if(m_desired, [this](const auto& item) { return !is_scaled(item.first.first); });
    for (const auto& [name, limits] : m_limits) {
        const auto [position, added] = m_services.try_emplace(name, limits);
        position->second.set_limits(limits);
        if (!added) {
            continue;
        }
        for (const auto& [key, desired] : recorded.records()) {
            if (key.first == name) {
                position->second.restore(key.second, desired, now);
            }
        }
    }
}

void scaling_duty::decide(const duty_context& context)
{
    if (context.now - m_decided < decision_interval) {
        return;
    }
    m_decided = context.now;
    const op::configT& config = *context.state.config().current();
    update_rules(config);
    update_services(context.state.scales(), context.now);
    std::set<std::string> out;
    for (const auto& domain : config.failure_domains) {
        if (domain->state != op::admin_state::in) {
            out.insert(domain->name);
        }
    }
    for (auto& [key, sample] : m_demand.take_samples(context.now)) {
        const auto service = m_services.find(key.first);
        if (service != m_services.end()) {
            sample.in_service = !out.contains(key.second);
            m_present[key] = sample.ready + sample.starting;
            service->second.record(key.second, sample, context.now);
        }
    }
    for (auto& [name, scaling] : m_services) {
        for (const auto& [domain, desired] : scaling.desired(context.now)) {
            m_desired[{name, domain}] = desired;
        }
    }
}

std::vector<std::uint8_t> scaling_duty::next_command(const duty_context& context)
{
    decide(context);
    for (const auto& [key, desired] : m_desired) {
        const std::optional<std::uint32_t> recorded = context.state.scales().find(key);
        // Without an order the infrastructure keeps the endpoints that are there.
        if (recorded ? *recorded == desired : m_present[key] == desired) {
            continue;
        }
        log_entry::record_scaleT record;
        record.now_ms = static_cast<std::uint64_t>(context.wall.time_since_epoch().count());
        record.service = key.first;
        record.failure_domain = key.second;
        record.desired = desired;
        log_entry::commandT command;
        command.body.Set(std::move(record));
        return pack(command);
    }
    return {};
}

std::optional<duty_call> scaling_duty::next_call(const duty_context& context)
{
    decide(context);
    for (const auto& [key, recorded] : context.state.scales().records()) {
        if (!is_scaled(key.first)) {
            continue;
        }
        const order_state& state = m_orders[key];
        const bool due = state.accepted != recorded || context.now >= state.repeat_at;
        if (due && context.now >= state.retry_at) {
            return scale_order{key.first, key.second, recorded};
        }
    }
    return std::nullopt;
}

void scaling_duty::on_outcome(const duty_call& call, duty_outcome outcome, const duty_context& context)
{
    const auto* order = std::get_if<scale_order>(&call);
    if (order == nullptr) {
        return;
    }
    order_state& state = m_orders[{order->service, order->failure_domain}];
    switch (outcome) {
    case duty_outcome::accepted:
        // Another number may be on its way since a call that got no answer.
        if (context.now >= state.repeat_at) {
            state.repeat_at = time_point::max();
        }
        state.accepted = order->desired;
        break;
    case duty_outcome::unknown:
        state.accepted = std::nullopt;
        state.repeat_at = context.now + late_call_time;
        state.retry_at = context.now + retry_delay;
        break;
    case duty_outcome::refused:
        state.retry_at = context.now + retry_delay;
        break;
    }
}

} // namespace verbena::control
