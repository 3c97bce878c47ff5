#include "main/roles.h"

#include <iostream>
#include <sstream>

namespace verbena {

namespace {

constexpr int control_member_count = 3;
constexpr int entry_count = 2;
constexpr int model_endpoint_count = 4;
constexpr const char* failure_domains[] = {"domain-a", "domain-b", "domain-c"};

std::string address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string control_addresses()
{
    return address(7101) + ", " + address(7102) + ", " + address(7103);
}

std::string node_section(const std::string& name, const std::string& domain, int metrics_port)
{
    std::string text = "[node]\nname = " + name +
                       "\ncluster = demo\nworkers = 2\nmetrics_listen = " + address(metrics_port) +
                       "\ncontrol = " + control_addresses() + "\n";
    if (!domain.empty()) {
        text += "failure_domain = " + domain + "\n";
    }
    return text;
}

void print_file(std::ostream& out, const std::string& name, const std::string& text)
{
    out << "cat > \"$folder/" << name << "\" <<'END'\n" << text << "END\n";
}

void print_start_command(std::ostream& out, const std::string& name, const std::string& command)
{
    out << command << " >\"$folder/" << name << ".log\" 2>&1 &\necho \"$! " << name
        << "\" >> \"$folder/pids\"\n";
}

void print_control_members(std::ostream& out)
{
    for (int i = 1; i <= control_member_count; ++i) {
        const std::string name = "control-" + std::to_string(i);
        std::ostringstream text;
        text << node_section(name, "", 7300 + i) << "[control]\nlisten = " << address(7100 + i)
             << "\noperator_listen = " << address(7200 + i) << "\ndata = FOLDER/" << name
             << "-data\nmember_id = " << i << "\npeers = 1=" << address(7101) << ", 2=" << address(7102)
             << ", 3=" << address(7103) << "\n";
        print_file(out, name + ".ini", text.str());
        out << "sed -i \"s|FOLDER|$folder|\" \"$folder/" << name << ".ini\"\n";
        print_start_command(out, name,
                            "\"$bin/verbenaproxy\" control --config \"$folder/" + name + ".ini\" --init");
    }
}

void print_agent(std::ostream& out, const std::string& name, const std::string& domain, int port,
                 const std::string& settings)
{
    print_file(out, name + ".ini",
               node_section(name, domain, port + 200) + "[agent]\nlisten = " + address(port) +
                   "\nendpoint = " + name + "\n" + settings);
    print_start_command(out, name, "\"$bin/verbenaproxy\" agent --config \"$folder/" + name + ".ini\"");
}

void print_endpoints(std::ostream& out)
{
    for (int i = 1; i <= model_endpoint_count; ++i) {
        const std::string number = std::to_string(i);
        const std::string engine_address = address(7500 + i);
        print_start_command(
            out, "engine-" + number,
            "\"$bin/verbenaproxy-standin\" engine --listen " + engine_address +
                " --capacity_tokens 1600000 --prefill_rate 400000 --chunk_tokens 8192 --decode_ms 10"
                " --cold_requests 1 --cold_ms 1000 --record \"$folder/engine-" +
                number + ".record\"");
        print_agent(out, "model-" + number, failure_domains[(i - 1) % 3], 7600 + i,
                    "engine = " + engine_address +
                        "\nservice = chat\nmodels = standin\nmemory_tokens = 1600000\nprefill_tokens_per_s = "
                        "400000\n");
    }
    const std::string desk_address = address(7510);
    print_start_command(out, "desk",
                        "\"$bin/verbenaproxy-standin\" desk --listen " + desk_address +
                            " --record \"$folder/desk.record\"");
    print_agent(out, "desk-1", failure_domains[0], 7610,
                "engine = " + desk_address + "\nservice = desk\nkind = plain\n");
}

void print_entries(std::ostream& out)
{
    for (int i = 1; i <= entry_count; ++i) {
        const std::string name = "entry-" + std::to_string(i);
        print_file(out, name + ".ini",
                   node_section(name, failure_domains[i - 1], 7310 + i) +
                       "[entry]\nlisten = " + address(8080 + i) + "\n");
        print_start_command(out, name, "\"$bin/verbenaproxy\" entry --config \"$folder/" + name + ".ini\"");
    }
}

void print_configuration(std::ostream& out)
{
    print_file(out, "config.json",
               R"({"request_id":"demo-1","expected_revision":0,"replace_all":{
 "teams":[{"name":"clerks","keys":["demo-key"],"weight":100}],
 "services":[{"name":"chat","kind":"model","models":["standin"]},
             {"name":"desk","kind":"plain","paths":[{"prefix":"/orders","repeatable":false},
                                                     {"prefix":"/stock","repeatable":true}]}],
 "failure_domains":[{"name":"domain-a"},{"name":"domain-b"},{"name":"domain-c"}],
 "endpoints":[]}}
)");
    out << "for i in $(seq 100); do\n"
           "  \"$bin/verbenaproxy\" ctl change \"@$folder/config.json\" >\"$folder/ctl.log\" 2>&1 && break\n"
           "  sleep 0.1\n"
           "done\n"
           "for i in $(seq 100); do\n"
           "  curl -sf http://127.0.0.1:8081/ready >/dev/null && curl -sf http://127.0.0.1:8082/ready "
           ">/dev/null && break\n"
           "  sleep 0.1\n"
           "done\n"
           "cat \"$folder/ctl.log\"\n";
}

} // namespace

int print_demo(const std::string& folder, const std::string& binaries)
{
    std::ostringstream out;
    out << "#!/usr/bin/env bash\n"
           "# Starts three control members, two entries, four model endpoints and one plain service (order "
           "desk) on loopback.\n"
           "# Stop it with: cut -d' ' -f1 "
        << folder << "/pids | xargs kill\nset -eu\nmkdir -p \"" << folder << "\"\nfolder=$(cd \"" << folder
        << "\" && pwd)\nbin=$(cd \"" << binaries << "\" && pwd)\n: > \"$folder/pids\"\n";
    print_control_members(out);
    print_endpoints(out);
    print_entries(out);
    print_configuration(out);
    std::cout << out.str();
    return 0;
}

} // namespace verbena
