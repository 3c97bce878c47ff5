#include "base/held_signals.h"
#include "base/version.h"
#include "main/help.h"
#include "main/roles.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(config, "", "settings file of a server role");
DEFINE_bool(check, false, "check the settings file and exit");
DEFINE_bool(init, false, "control: create a new group from [control] peers in an empty data folder");
DEFINE_string(members, "127.0.0.1:7201,127.0.0.1:7202,127.0.0.1:7203",
              "ctl: operator addresses of the control members");
DEFINE_string(folder, "demo", "demo: folder for the files of the deployment");
DEFINE_string(binaries, "build", "demo: folder with verbenaproxy and verbenaproxy-standin");

namespace {

bool is_server_role(const std::string& role)
{
    return role == "entry" || role == "agent" || role == "control";
}

constexpr const char* usage =
    "proxies language-model requests from callers to engines\n"
    "  verbenaproxy entry   --config FILE [--check]\n"
    "  verbenaproxy agent   --config FILE [--check]\n"
    "  verbenaproxy control --config FILE [--check] [--init]\n"
    "  verbenaproxy ROLE --help   shows a role's settings and an example\n"
    "  verbenaproxy ctl [--members HOST:PORT,...] <call> [field=value ... | JSON | @file]\n"
    "  verbenaproxy ctl help [call]\n"
    "  verbenaproxy trace REQUEST-ID [LOG...]   prints the log events of one request, for example: "
    "trace 9c41d07b entry-*.log\n"
    "  verbenaproxy demo [--folder DIR] [--binaries DIR]   prints a start script, starts nothing";

int report_usage()
{
    std::cerr << "verbenaproxy: " << usage << '\n';
    return 2;
}

int run(const std::vector<std::string>& arguments)
{
    if (arguments.empty()) {
        return report_usage();
    }
    const std::string& role = arguments.front();
    if (role == "ctl") {
        return verbena::run_ctl({arguments.begin() + 1, arguments.end()}, FLAGS_members);
    }
    if (role == "trace") {
        if (arguments.size() < 2) {
            return report_usage();
        }
        return verbena::print_trace(arguments[1], {arguments.begin() + 2, arguments.end()});
    }
    if (role == "demo") {
        return verbena::print_demo(FLAGS_folder, FLAGS_binaries);
    }
    if (!is_server_role(role)) {
        return report_usage();
    }
    if (FLAGS_config.empty()) {
        std::cerr << "verbenaproxy: " << role << " needs --config FILE\n";
        return 2;
    }
    return verbena::run_role(role, FLAGS_config, FLAGS_check, FLAGS_init);
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && is_server_role(arguments.front())) {
        verbena::hold_signals();
    }
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString(verbena::version());
    const bool wants_role_help =
        arguments.size() == 2 && (arguments[1] == "--help" || arguments[0] == "help");
    const std::string help = wants_role_help
                                 ? verbena::role_help(arguments[0] == "help" ? arguments[1] : arguments[0])
                                 : std::string();
    if (!help.empty()) {
        std::cout << help;
        return 0;
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run({argv + 1, argv + argc});
}
