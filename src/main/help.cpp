#include "main/help.h"

#include "base/settings.h"

#include <map>

namespace verbena {

namespace {

struct role_description {
    const char* purpose;
    const char* example;
};

const std::map<std::string, role_description>& role_descriptions()
{
    static const std::map<std::string, role_description> descriptions{
        {"entry",
         {"Accepts callers' requests and dispatches each to an endpoint until it is answered or refused.",
          "[node]\nname = entry-1\ncluster = main\nfailure_domain = a\ncontrol = 10.0.0.1:7101\n"
          "metrics_listen = 127.0.0.1:7300\n\n[entry]\nlisten = 10.0.0.2:8080\n"}},
        {"agent",
         {"Runs next to an engine, enforces its limits and announces it to the control members.",
          "[node]\nname = agent-1\ncluster = main\nfailure_domain = a\ncontrol = 10.0.0.1:7101\n\n"
          "[agent]\nlisten = 10.0.0.3:7200\nengine = 127.0.0.1:8000\n"}},
        {"control",
         {"Stores the configuration and idempotency keys in a replicated log and keeps the directory of "
          "endpoints.",
          "[node]\nname = control-1\ncluster = main\n\n[control]\nmember_id = 1\nlisten = 10.0.0.1:7101\n"
          "operator_listen = 10.0.0.1:7201\ndata = /var/lib/verbenaproxy\npeers = 1=10.0.0.1:7101\n"}}};
    return descriptions;
}

} // namespace

std::string role_help(const std::string& role)
{
    const auto found = role_descriptions().find(role);
    if (found == role_descriptions().end()) {
        return {};
    }
    std::string text = "verbenaproxy " + role + " --config FILE [--check]\n";
    text += found->second.purpose;
    text += "\n\nExample of a settings file:\n\n";
    text += found->second.example;
    for (const char* section : {"node", role.c_str(), "log"}) {
        text += "\n[" + std::string(section) + "]\n" + describe_settings(section);
    }
    return text;
}

} // namespace verbena
