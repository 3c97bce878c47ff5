#pragma once

#include "base/types.h"
#include "operator_generated.h"

#include <optional>
#include <string>
#include <vector>

namespace verbena::agent {

// A new incarnation waits this long before its first order to an engine that ignores fencing numbers: its
// predecessor beside the same endpoint can believe its configuration fresh for at most 2.5 s and sends
// nothing after that.
inline constexpr milliseconds predecessor_wait{3'000};

// Pause between two loads. The permit of a load ends with a poll that asks for nothing, which all members see
// in this time.
inline constexpr milliseconds load_pause{1'200};

// A command to the engine beside this agent.
struct order {
    enum class action : std::uint8_t { load_model, unload_model, set_role };

    std::uint64_t fencing = 0;
    action what = action::load_model;
    std::string name;

    bool operator==(const order&) const = default;
};

const char* to_string(order::action value);

// Decides which order brings the engine closer to the desired state of the configuration. Orders carry the
// revision that set the state as their fencing number, so that an older sender can be told from a newer one.
// Pure: the caller sends the orders and reports how they ended.
class order_planner {
public:
    order_planner(std::vector<std::string> loaded, time_point started);

    // True when the next step is a load, which needs a permit for the weight store.
    bool wants_load(const op::endpointT* desired) const;

    // The next order; empty when nothing is to be done or nothing may be sent yet.
    std::optional<order> next(const op::endpointT* desired, bool fresh, bool load_permit,
                              time_point now) const;

    void succeeded(const order& done, time_point now);

    // The engine has seen a newer order: nothing is sent until the configuration has a newer one too.
    void superseded(const order& refused);

    // The engine restarted with the models of its own start.
    void reset(std::vector<std::string> loaded);

    const std::vector<std::string>& models() const { return m_models; }

private:
    std::optional<order> plan(const op::endpointT& desired) const;

    time_point m_started;
    std::vector<std::string> m_models;
    std::string m_role;
    std::uint64_t m_superseded = 0;
    std::optional<time_point> m_last_load;
};

} // namespace verbena::agent
