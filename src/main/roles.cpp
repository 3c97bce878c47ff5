#include "main/roles.h"

#include "agent/agent_service.h"
#include "base/event_log.h"
#include "base/log.h"
#include "base/version.h"
#include "control/control_service.h"
#include "entry/entry_service.h"
#include "forward/forward_service.h"
#include "node/process.h"
#include "platform/configuration.h"
#include "platform/http_protocol_adapter.h"
#include "platform/platform_call_handler.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace verbena {

namespace {

constexpr int exit_failure = 1;
constexpr int exit_settings = 2;

int fail(const error& cause, int code)
{
    std::cerr << "verbenaproxy: " << describe(cause) << '\n';
    return code;
}

error missing_section(const std::string& file, const std::string& role)
{
    return make_error(error_kind::invalid_settings, file + ": section [" + role + "] is missing", "add it");
}

result<void> check_common(const settings_root& root)
{
    BOOST_OUTCOME_TRY(const auto members, node::control_members(*root.node));
    if (members.empty() && !root.control) {
        return make_error(error_kind::invalid_settings, "[node] control is empty",
                          "list the frame addresses of the control members");
    }
    return success();
}

// Reads the settings again and hands them to a service that can take them over while it runs.
template <typename Service>
void reload(Service& service, const std::string& role, const std::string& file)
{
    const auto loaded = load_settings(file);
    if (!loaded) {
        log::warn("the settings are not taken over: " + describe(loaded.error()));
        return;
    }
    if constexpr (requires { service.reload(*loaded.value()); }) {
        service.reload(*loaded.value());
    }
    event_log::write(
        event::process_stateT{{}, role, loaded.value()->node->name, "reloaded", version(), file});
}

template <typename Service>
int run_service(node::process& process, const std::string& role, const std::string& file,
                result<std::shared_ptr<Service>> made)
{
    if (!made) {
        return fail(made.error(),
                    made.error().kind == error_kind::invalid_settings ? exit_settings : exit_failure);
    }
    const std::shared_ptr<Service> service = made.value();
    service->start();
    process.on_reload([service, role, file] { reload(*service, role, file); });
    event_log::write(event::process_stateT{{}, role, process.settings().name, "started", version(), file});
    const int code = process.run([service] { service->stop(); });
    // Suspended coroutines still refer to each other and to the io_context. Nothing durable is pending, so
    // the process ends without running their destructors.
    std::cout.flush();
    std::quick_exit(code);
}

// Checks what the schema cannot: addresses, and sections that the role needs.
result<void> check_role(const settings_root& root, const std::string& role, const std::string& file)
{
    BOOST_OUTCOME_TRY(check_common(root));
    if (role == "entry") {
        if (!root.entry) {
            return missing_section(file, role);
        }
        BOOST_OUTCOME_TRY(parse_host_port(root.entry->listen));
    } else if (role == "agent") {
        if (!root.agent) {
            return missing_section(file, role);
        }
        BOOST_OUTCOME_TRY(parse_host_port(root.agent->listen));
        BOOST_OUTCOME_TRY(parse_host_port(root.agent->engine));
    } else {
        if (!root.control) {
            return missing_section(file, role);
        }
        BOOST_OUTCOME_TRY(parse_host_port(root.control->listen));
        BOOST_OUTCOME_TRY(parse_host_port(root.control->operator_listen));
    }
    return success();
}

} // namespace

int run_role(const std::string& role, const std::string& settings_file, bool check_only, bool initialise)
{
    const auto loaded = load_settings(settings_file);
    if (!loaded) {
        return fail(loaded.error(), exit_settings);
    }
    const settings_root& root = *loaded.value();
    const result<void> valid = check_role(root, role, settings_file);
    if (!valid) {
        return fail(valid.error(), exit_settings);
    }
    if (check_only) {
        std::cout << settings_file << ": valid for " << role << '\n';
        return 0;
    }
    const result<void> logging =
        log::configure(root.log ? root.log->level : std::string(), root.log ? root.log->file : std::string());
    if (!logging) {
        return fail(logging.error(), exit_settings);
    }
    // A peer that closes its connection is an error of that connection, not of the process.
    std::signal(SIGPIPE, SIG_IGN);
    auto process = node::process::create(*root.node);
    if (!process) {
        return fail(process.error(), exit_failure);
    }
    node::process& running = *process.value();
    event_log::configure(root.node->name);
    const auto codec = std::make_shared<const platform::configuration_codec>();
    if (role == "entry" && root.entry->front == "routed") {
        const forward::platform_adapter words{codec,
                                              std::make_shared<const platform::http_protocol_adapter>()};
        return run_service(running, role, settings_file,
                           forward::forward_service::create(running, *root.entry, words));
    }
    if (role == "entry") {
        return run_service(running, role, settings_file, entry::entry_service::create(running, *root.entry));
    }
    if (role == "agent") {
        return run_service(running, role, settings_file, agent::agent_service::create(running, *root.agent));
    }
    return run_service(
        running, role, settings_file,
        control::control_service::create(running, *root.control, initialise,
                                         std::make_shared<platform::platform_call_handler>(codec)));
}

} // namespace verbena
