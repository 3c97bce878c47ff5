#pragma once

#include "forward/fleet.h"

#include <chrono>
#include <set>
#include <string>
#include <vector>

inline verbena::wire::announcementT make_endpoint(const std::string& name, const std::string& domain,
                                                  std::uint64_t born = 1)
{
    verbena::wire::announcementT value;
    value.endpoint = name;
    value.address = "127.0.0.1:" + std::to_string(9'000 + name.back());
    value.failure_domain = domain;
    value.service = "desk";
    value.born_ms = born;
    value.incarnation = born;
    value.slots = 6;
    return value;
}

// An entry with the number 7 in the failure domain "a", and the endpoints "e1" and "e2" in "a" and "b".
struct fleet_fixture {
    std::vector<verbena::wire::dispatch_noteT> sent_notes;
    verbena::forward::fleet fleet{
        7, "a", 1.0, [this](verbena::wire::dispatch_noteT note) { sent_notes.push_back(std::move(note)); }};
    verbena::route::service_rule desk;

    fleet_fixture()
    {
        desk.name = "desk";
        add("e1", "a");
        add("e2", "b");
    }

    void add(const std::string& name, const std::string& domain, std::uint64_t born = 1)
    {
        const verbena::wire::announcementT value = make_endpoint(name, domain, born);
        fleet.on_endpoint(name, &value);
    }

    verbena::forward::dispatch_request request() const
    {
        verbena::forward::dispatch_request value;
        value.service = &desk;
        value.time_left = std::chrono::seconds(1);
        value.model.objective = std::chrono::milliseconds(300);
        return value;
    }

    std::string choose(const std::set<std::string>& excluded = {})
    {
        verbena::forward::dispatch_request value = request();
        value.excluded = excluded;
        const auto found = fleet.dispatch(value, verbena::clock::now());
        if (!found.choice) {
            return "none";
        }
        fleet.record_end(found.choice->number, verbena::clock::now());
        return found.choice->endpoints.front().name;
    }
};
