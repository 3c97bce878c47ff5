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

std::string string_member(const boost::json::object& object, const char* name)
{
    const boost::json::value* found = object.if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->get_string()) : std::string();
}

// Appends the events of one request. A process logs all of its events of a request in order, so the lines of
// one file keep their order; the clocks of different processes may differ.
void read_lines(std::istream& input, const std::string& id, std::vector<trace_line>& lines)
{
    std::string text;
    while (std::getline(input, text)) {
        const auto start = text.find("{\"time\"");
        if (start == std::string::npos || text.find(id, start) == std::string::npos) {
            continue;
        }
        boost::system::error_code parse_error;
        const boost::json::value parsed = boost::json::parse(text.substr(start), parse_error);
        if (parse_error || !parsed.is_object() || string_member(parsed.get_object(), "request") != id) {
            continue;
        }
        const boost::json::object& object = parsed.get_object();
        trace_line line;
        line.time = string_member(object, "time");
        line.process = string_member(object, "process");
        line.text = string_member(object, "event");
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
            std::cerr << "verbenaproxy: cannot read " << name << "; check the file name\n";
            return 1;
        }
        read_lines(input, id, lines);
    }
    if (lines.empty()) {
        std::cerr << "verbenaproxy: no log line contains request " << id
                  << "; check the id and pass the logs of all entries\n";
        return 1;
    }
    // Sorts by process, in the order of their first lines, so that a clock jump does not separate or reorder
    // the events of one process.
    std::map<std::string, std::string> first_times;
    for (const trace_line& line : lines) {
        first_times.emplace(line.process, line.time);
    }
    std::stable_sort(lines.begin(), lines.end(), [&first_times](const trace_line& a, const trace_line& b) {
        return std::tie(first_times[a.process], a.process) < std::tie(first_times[b.process], b.process);
    });
    for (const trace_line& line : lines) {
        std::cout << line.time << ' ' << line.process << ' ' << line.text << '\n';
    }
    return 0;
}

} // namespace verbena
