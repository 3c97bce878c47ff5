#include "main/roles.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <string_view>
#include <tuple>

namespace verbena {

namespace {

struct trace_line {
    std::string time;
    std::string process;
    std::string text;
};

std::string member_text(const boost::json::object& object, const char* name)
{
    const boost::json::value* found = object.if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->get_string()) : std::string();
}

// One process tells a request's whole story, so its lines keep their order; clocks of other processes may
// differ.
void read_lines(std::istream& input, const std::string& id, std::vector<trace_line>& lines)
{
    std::string text;
    while (std::getline(input, text)) {
        const auto start = text.find("{\"time\"");
        if (start == std::string::npos || text.find(id, start) == std::string::npos) {
            continue;
        }
        boost::system::error_code failure;
        const boost::json::value parsed = boost::json::parse(text.substr(start), failure);
        if (failure || !parsed.is_object() || member_text(parsed.get_object(), "request") != id) {
            continue;
        }
        const boost::json::object& object = parsed.get_object();
        trace_line line;
        line.time = member_text(object, "time");
        line.process = member_text(object, "process");
        line.text = member_text(object, "event");
        for (const auto& item : object) {
            const std::string name(item.key());
            if (name != "time" && name != "process" && name != "event" && name != "request") {
                line.text += " " + name + "=" + boost::json::serialize(item.value());
            }
        }
        lines.push_back(std::move(line));
    }
}

} // namespace

int print_trace(const std::string& id, const std::vector<std::string>& files)
{
    std::vector<trace_line> lines;
    if (files.empty()) {
        read_lines(std::cin, id, lines);
    }
    for (const std::string& name : files) {
        std::ifstream input(name);
        if (!input) {
            std::cerr << "verbenaproxy: cannot read " << name << "; check the name of the log\n";
            return 1;
        }
        read_lines(input, id, lines);
    }
    if (lines.empty()) {
        std::cerr << "verbenaproxy: no line names request " << id
                  << "; check the id and give the logs of all entries\n";
        return 1;
    }
    // Processes by their first line, so that a clock that jumps does not tear a story apart.
    std::map<std::string, std::string> begins;
    for (const trace_line& line : lines) {
        begins.emplace(line.process, line.time);
    }
    std::stable_sort(lines.begin(), lines.end(), [&begins](const trace_line& a, const trace_line& b) {
        return std::tie(begins[a.process], a.process) < std::tie(begins[b.process], b.process);
    });
    for (const trace_line& line : lines) {
        std::cout << line.time << ' ' << line.process << ' ' << line.text << '\n';
    }
    return 0;
}

} // namespace verbena
