#include "main/roles.h"

#include "agent/agent_service.h"
#include "base/event_log.h"
#include "base/held_signals.h"
#include "base/log.h"
#include "base/version.h"
#include "control/control_service.h"
#include "control/duty_settings.h"
#include "entry/entry_service.h"
#include "forward/forward_service.h"
#include "node/process.h"
#include "platform/configuration.h"
#include "platform/http_protocol_adapter.h"
#include "platform/infrastructure_client.h"
#include "platform/platform_call_handler.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace verbena {

namespace {

constexpr int exit_failure = 1;
constexpr int exit_invalid_settings = 2;

// A process that is asked to stop while it starts ends like one that is asked later.
int report_error(const error& cause, int code)
{
    if (stop_requested()) {
        log::info("asked to stop while starting: " + describe(cause));
        return 0;
    }
    std::cerr << "verbenaproxy: " << describe(cause) << '\n';
    return code;
}

error missing_section(const std::string& file, const std::string& role)
{
    return make_error(error_kind::invalid_settings, file + ": section [" + role + "] is missing",
                      "add the section");
}

result<void> check_control_addresses(const settings_root& root)
{
    BOOST_OUTCOME_TRY(const auto members, node::control_members(*root.node));
    if (members.empty() && !root.control) {
        return make_error(error_kind::invalid_settings, "[node] control is empty",
                          "list the frame addresses of the control members");
    }
    return success();
}

// Reads the settings file again and applies it if the service can change settings while it runs.
template <typename Service>
void reload(Service& service, const std::string& role, const std::string& file)
{
    const auto loaded = load_settings(file);
    if (!loaded) {
        log::warn("settings were not reloaded: " + describe(loaded.error()));
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
                result<std::shared_ptr<Service>> created)
{
    if (!created) {
        return report_error(created.error(), created.error().kind == error_kind::invalid_settings
                                                 ? exit_invalid_settings
                                                 : exit_failure);
    }
    const std::shared_ptr<Service> service = created.value();
    service->start();
    process.on_reload([service, role, file] { reload(*service, role, file); });
    event_log::write(event::process_stateT{{}, role, process.settings().name, "started", version(), file});
    const int code = process.run([service] { service->stop(); });
    // Suspended coroutines still refer to each other and to the io_context. No durable write is pending, so
    // the process exits without running their destructors.
    std::cout.flush();
    std::quick_exit(code);
}

// Checks what the schema cannot express: addresses and the sections that the role requires.
result<void> check_settings(const settings_root& root, const std::string& role, const std::string& file)
{
    BOOST_OUTCOME_TRY(check_control_addresses(root));
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
        BOOST_OUTCOME_TRY(control::check_duty_settings(*root.control, file));
    }
    return success();
}

} // namespace

int run_role(const std::string& role, const std::string& settings_file, bool check_only, bool initialise)
{
    const auto loaded = load_settings(settings_file);
    if (!loaded) {
        return report_error(loaded.error(), exit_invalid_settings);
    }
    const settings_root& root = *loaded.value();
    const result<void> valid = check_settings(root, role, settings_file);
    if (!valid) {
        return report_error(valid.error(), exit_invalid_settings);
    }
    if (check_only) {
        std::cout << settings_file << ": valid for " << role << '\n';
        return 0;
    }
    const result<void> logging =
        log::configure(root.log ? root.log->level : std::string(), root.log ? root.log->file : std::string());
    if (!logging) {
        return report_error(logging.error(), exit_invalid_settings);
    }
    // A write to a connection that the peer has closed must fail only that connection, not end the
    // process.
    std::signal(SIGPIPE, SIG_IGN);
    auto process = node::process::create(*root.node);
    if (!process) {
        return report_error(process.error(), exit_failure);
    }
    node::process& role_process = *process.value();
    event_log::configure(root.node->name);
    const auto codec = std::make_shared<const platform::configuration_codec>();
    if (role == "entry" && root.entry->front == "routed") {
        const forward::platform_adapter adapter{codec,
                                                std::make_shared<const platform::http_protocol_adapter>()};
        return run_service(role_process, role, settings_file,
                           forward::forward_service::create(role_process, *root.entry, adapter));
    }
    if (role == "entry") {
        return run_service(role_process, role, settings_file,
                           entry::entry_service::create(role_process, *root.entry));
    }
    if (role == "agent") {
        return run_service(role_process, role, settings_file,
                           agent::agent_service::create(role_process, *root.agent));
    }
    std::shared_ptr<control::infrastructure> infrastructure;
    if (!root.control->infrastructure.empty()) {
        infrastructure = std::make_shared<platform::infrastructure_client>(
            parse_host_port(root.control->infrastructure).value());
    }
    return run_service(
        role_process, role, settings_file,
        control::control_service::create(role_process, *root.control, initialise,
                                         std::make_shared<platform::platform_call_handler>(codec),
                                         {std::move(infrastructure), codec}));
}

} // namespace verbena
