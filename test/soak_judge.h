#pragma once

#include "soak_plan.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace verbena::soak {

// Whether the runner gave no whole answer in the run. Faults in events leave plain answers whole.
inline bool breaks_off(const seen_run& run)
{
    switch (run.request.fault) {
    case runner_fault::cut_in_event:
    case runner_fault::drip:
    case runner_fault::endless_event:
    case runner_fault::unframed_cut:
        return run.runner.starts_with("model-");
    case runner_fault::reset:
    case runner_fault::wrong_request_id:
    case runner_fault::endless_head:
    case runner_fault::endless_chunk:
    case runner_fault::endless_trailer:
    case runner_fault::endless_body:
    case runner_fault::dripping_head:
    case runner_fault::dripping_chunk:
    case runner_fault::dripping_body:
    case runner_fault::unframed_reset:
        return true;
    default:
        return false;
    }
}

// The runs of each request, by its id, as the runners saw them.
inline std::map<std::string, std::vector<seen_run>> collect_runs(const process_deployment& system)
{
    std::map<std::string, std::vector<seen_run>> runs;
    for (std::size_t i = 0; i < system.runners().size(); ++i) {
        for (const standin::runner_request& request : system.runners()[i]->requests()) {
            runs[request.id].push_back({(i % 2 == 0 ? "model-" : "desk-") + std::to_string(i / 2), request});
        }
    }
    return runs;
}

// Judges the answers that callers got by the runs that runners saw.
class soak_judge {
public:
    explicit soak_judge(std::vector<seen_stop> stops) : m_stops(std::move(stops)) {}

    // Returns what is wrong with an answer, or nothing.
    std::string find_fault(const seen_request& seen, const std::vector<seen_run>& runs) const
    {
        const std::size_t max_attempts = terms_of(seen.kind).max_attempts;
        if (runs.size() > max_attempts) {
            return seen.kind == request_kind::unsafe ? "unsafe request ran twice" : "more runs than allowed";
        }
        if (!seen.complete) {
            return runs.empty() ? "" : find_loss(seen, runs);
        }
        const std::vector<unsigned> not_run{503, 429, 408, 421};
        if (std::find(not_run.begin(), not_run.end(), seen.status) != not_run.end() && !runs.empty()) {
            return "refused request ran";
        }
        if (seen.status != 200) {
            return "";
        }
        return seen.kind == request_kind::stream ? check_events(seen)
               : seen.body == "ok body of " + seen.id && seen.answer_id == seen.id
                   ? ""
                   : "answer of another request or incomplete";
    }

private:
    // Whether the connection ended with the process, in contrast to an answer that the entry gave up.
    bool ends_with_process(const seen_request& seen) const
    {
        return std::any_of(m_stops.begin(), m_stops.end(), [&seen](const seen_stop& stop) {
            return stop.entry == seen.entry && stop.left && seen.ended > stop.left->at - 50ms &&
                   seen.sent < stop.left->at;
        });
    }

    // Whether a runner was still at work on the request in the last sixth of the grace period of a stop.
    bool is_at_end_of_grace(const seen_request& seen, const std::vector<seen_run>& runs) const
    {
        for (const seen_stop& stop : m_stops) {
            if (stop.entry != seen.entry || seen.sent > stop.first_signal + 3s ||
                seen.ended < stop.first_signal) {
                continue;
            }
            for (const seen_run& run : runs) {
                if (run.request.received < stop.first_signal + grace &&
                    (!run.request.ended || *run.request.ended > stop.first_signal + grace * 5 / 6)) {
                    return true;
                }
            }
        }
        return false;
    }

    std::string find_loss(const seen_request& seen, const std::vector<seen_run>& runs) const
    {
        if (seen.ended >= seen.sent + request_deadline || is_at_end_of_grace(seen, runs)) {
            return "";
        }
        const auto broken = std::count_if(runs.begin(), runs.end(), breaks_off);
        if (broken == 0) {
            return ends_with_process(seen) ? "connection closed as the entry exited" : "connection closed";
        }
        if (runs.size() < terms_of(seen.kind).max_attempts) {
            return "connection closed after a runner broke off, attempts left";
        }
        return static_cast<std::size_t>(broken) == runs.size() || is_broken_by_last_runner(seen, runs)
                   ? ""
                   : "connection closed while the other of its runners worked on";
    }

    // Whether the runner whose events the caller received last broke its answer off.
    static bool is_broken_by_last_runner(const seen_request& seen, const std::vector<seen_run>& runs)
    {
        const std::size_t at = seen.body.rfind("data: ");
        return at != std::string::npos && std::any_of(runs.begin(), runs.end(), [&](const seen_run& run) {
                   return breaks_off(run) && seen.body.substr(at).starts_with("data: " + run.runner + "\n");
               });
    }

    // A stream consists of the events 1 to 4, each once, and nothing else.
    static std::string check_events(const seen_request& seen)
    {
        std::istringstream lines(seen.body);
        for (int number = 1; number <= 4; ++number) {
            std::string id;
            std::string data;
            std::string end;
            std::getline(lines, id);
            std::getline(lines, data);
            std::getline(lines, end);
            if (id != "id: " + std::to_string(number) || !data.starts_with("data: model-") || !end.empty()) {
                return "stream without event " + std::to_string(number) + " in its place";
            }
        }
        return lines.peek() == std::istringstream::traits_type::eof() ? "" : "stream with a further part";
    }

    const std::vector<seen_stop> m_stops;
};

} // namespace verbena::soak
