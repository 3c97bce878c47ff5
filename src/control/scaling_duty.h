#pragma once

#include "control/demand_collector.h"
#include "control/duty_task.h"
#include "route/document_codec.h"

#include <memory>

namespace verbena::control {

// The duty `autoscale`: for each service whose configuration names `scaling`, and each failure domain in
// which it runs, records the number of endpoints in the replicated log and then orders it.
//
// An order is a number of endpoints, so it may be repeated. It is repeated when it got no answer, when the
// duty is taken by another member, and when an earlier order without an answer may have been carried out
// after it.
class scaling_duty : public duty_task {
public:
    // The collector outlives the duty. The codec decodes published configurations.
    scaling_duty(demand_collector& demand, std::shared_ptr<const route::document_codec> documents)
        : m_demand(demand), m_documents(std::move(documents))
    {
    }

    std::string_view duty() const override { return "autoscale"; }
    void on_hold(bool held, time_point now) override;
    std::vector<std::uint8_t> next_command(const duty_context& context) override;
    std::optional<duty_call> next_call(const duty_context& context) override;
    void on_outcome(const duty_call& call, duty_outcome outcome, const duty_context& context) override;

private:
    using subject = demand_collector::subject;

    // Orders of one subject since the duty is held.
    struct order_state {
        std::optional<std::uint32_t> accepted;    // the last accepted number
        time_point retry_at{};                    // no call before
        time_point repeat_at = time_point::max(); // the accepted number is ordered once more
    };

    void decide(const duty_context& context);
    void update_rules(const op::configT& config);
    void update_services(const scale_table& recorded, time_point now);
    bool is_scaled(const std::string& service) const { return m_limits.contains(service); }

    demand_collector& m_demand;
    std::shared_ptr<const route::document_codec> m_documents;
    std::uint64_t m_rules_version = 0;
    std::map<std::string, policy::scaling_limits> m_limits; // by service
    std::map<std::string, policy::service_scaling> m_services;
    std::map<subject, std::uint32_t> m_present; // endpoints, as of the last samples
    std::map<subject, std::uint32_t> m_desired;
    std::map<subject, order_state> m_orders;
    time_point m_decided{};
};

} // namespace verbena::control
