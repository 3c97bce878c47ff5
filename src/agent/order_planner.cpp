#include "agent/order_planner.h"

#include <algorithm>

namespace verbena::agent {

namespace {

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

const char* to_string(order::action value)
{
    switch (value) {
    case order::action::load_model:
        return "load_model";
    case order::action::unload_model:
        return "unload_model";
    case order::action::set_role:
        return "set_role";
    }
    return "unknown";
}

order_planner::order_planner(std::vector<std::string> loaded, time_point started)
    : m_started(started), m_models(std::move(loaded))
{
}

std::optional<order> order_planner::plan(const op::endpointT& desired) const
{
    if (desired.order_epoch == 0 || desired.order_epoch <= m_superseded_epoch) {
        return std::nullopt;
    }
    // Unloads come first, because a load may need their memory.
    if (!desired.desired_models.empty()) {
        for (const std::string& name : m_models) {
            if (!contains(desired.desired_models, name)) {
                return order{desired.order_epoch, order::action::unload_model, name};
            }
        }
    }
    for (const std::string& name : desired.desired_models) {
        if (!contains(m_models, name)) {
            return order{desired.order_epoch, order::action::load_model, name};
        }
    }
    if (!desired.desired_role.empty() && desired.desired_role != m_role) {
        return order{desired.order_epoch, order::action::set_role, desired.desired_role};
    }
    return std::nullopt;
}

bool order_planner::wants_load(const op::endpointT* desired) const
{
    const std::optional<order> step = desired == nullptr ? std::nullopt : plan(*desired);
    return step && step->kind == order::action::load_model;
}

std::optional<order> order_planner::next(const op::endpointT* desired, bool fresh, bool load_permit,
                                         time_point now) const
{
    if (desired == nullptr || !fresh) {
        return std::nullopt;
    }
    if (!desired->checks_fencing && now - m_started < predecessor_wait) {
        return std::nullopt;
    }
    std::optional<order> step = plan(*desired);
    if (!step || step->kind != order::action::load_model) {
        return step;
    }
    const bool too_soon = m_last_load && now - *m_last_load < load_interval;
    return load_permit && !too_soon ? step : std::nullopt;
}

void order_planner::succeeded(const order& done, time_point now)
{
    switch (done.kind) {
    case order::action::load_model:
        m_models.push_back(done.name);
        m_last_load = now;
        break;
    case order::action::unload_model:
        std::erase(m_models, done.name);
        break;
    case order::action::set_role:
        m_role = done.name;
        break;
    }
}

void order_planner::superseded(const order& refused)
{
    m_superseded_epoch = std::max(m_superseded_epoch, refused.fencing);
}

void order_planner::reset(std::vector<std::string> loaded)
{
    m_models = std::move(loaded);
    m_role.clear();
}

} // namespace verbena::agent
