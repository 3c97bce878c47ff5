#pragma once

#include "base/types.h"
#include "operator_generated.h"

#include <optional>
#include <string>
#include <vector>

namespace verbena::agent {

// Wait of a new agent incarnation before its first order to an engine that ignores fencing numbers. A
// previous agent of the same endpoint treats its configuration as fresh for at most 2.5 s and sends no orders
// after that.
inline constexpr milliseconds predecessor_wait{3'000};

// Minimum time between two loads. The permit of a load ends with a poll that requests none; all control
// members receive such a poll within this time.
inline constexpr milliseconds load_interval{1'200};

// Command to the agent's engine.
struct order {
    enum class action : std::uint8_t { load_model, unload_model, set_role };

    std::uint64_t fencing = 0;
    action kind = action::load_model;
    std::string name;

    bool operator==(const order&) const = default;
};

const char* to_string(order::action value);

// Selects the next order that leads the engine to the desired state of the configuration. The fencing number
// of an order is the revision that set the desired state, so that the engine can reject orders of outdated
// senders. Performs no I/O: the caller sends the orders and reports their results.
class order_planner {
public:
    order_planner(std::vector<std::string> loaded, time_point started);

    // True when the next order is a load, which needs a permit to read from the weight store.
    bool wants_load(const op::endpointT* desired) const;

    // The next order; empty when the engine has the desired state or no order may be sent yet.
    std::optional<order> next(const op::endpointT* desired, bool fresh, bool load_permit,
                              time_point now) const;

    void succeeded(const order& done, time_point now);

    // The engine has seen a newer order: no order is sent until the configuration has a higher epoch.
    void superseded(const order& refused);

    // The engine restarted; `loaded` are the models that it loads at start.
    void reset(std::vector<std::string> loaded);

    const std::vector<std::string>& models() const { return m_models; }

private:
    std::optional<order> plan(const op::endpointT& desired) const;

    time_point m_started;
    std::vector<std::string> m_models;
    std::string m_role;
    std::uint64_t m_superseded_epoch = 0;
    std::optional<time_point> m_last_load;
};

} // namespace verbena::agent
