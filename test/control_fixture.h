#pragma once

#include "control/state_machine.h"

#include <memory>
#include <string>
#include <utility>

namespace verbena::test {

// An arbitrary fixed wall clock: 2026-01-01 00:00:00 UTC.
inline constexpr control::wall_time start_time{std::chrono::seconds(1'767'225'600)};

inline op::change_requestT make_change(const std::string& id, revision expected)
{
    op::change_requestT request;
    request.request_id = id;
    request.expected_revision = expected;
    return request;
}

inline op::change_requestT put_team(const std::string& id, revision expected, const std::string& name,
                                    std::uint32_t weight = 100)
{
    op::change_requestT request = make_change(id, expected);
    request.put_team = std::make_unique<op::teamT>();
    request.put_team->name = name;
    request.put_team->keys = {"secret-of-" + name};
    request.put_team->weight = weight;
    return request;
}

inline op::change_requestT put_service(const std::string& id, revision expected, const std::string& name,
                                       std::vector<std::string> models)
{
    op::change_requestT request = make_change(id, expected);
    request.put_service = std::make_unique<op::serviceT>();
    request.put_service->name = name;
    request.put_service->models = std::move(models);
    return request;
}

inline op::change_requestT put_domain(const std::string& id, revision expected, const std::string& name,
                                      op::admin_state state)
{
    op::change_requestT request = make_change(id, expected);
    request.put_failure_domain = std::make_unique<op::failure_domainT>();
    request.put_failure_domain->name = name;
    request.put_failure_domain->state = state;
    return request;
}

inline op::change_requestT put_endpoint(const std::string& id, revision expected, const std::string& name,
                                        std::vector<std::string> models)
{
    op::change_requestT request = make_change(id, expected);
    request.put_endpoint = std::make_unique<op::endpointT>();
    request.put_endpoint->name = name;
    request.put_endpoint->desired_models = std::move(models);
    return request;
}

// A key issued `offset` after start_time.
inline std::string make_key(std::chrono::seconds offset, const std::string& random = "0123456789")
{
    return std::to_string((start_time.time_since_epoch() + offset) / std::chrono::seconds(1)) + "-" + random;
}

inline wire::key_bindT make_bind(const std::string& key, std::uint64_t id, std::uint32_t attempt,
                                 const std::string& endpoint = "desk-1")
{
    wire::key_bindT request;
    request.team = "buyers";
    request.key = key;
    request.fingerprint = 77;
    request.id = std::make_unique<wire::request_id>(id, id);
    request.attempt = attempt;
    request.endpoint = endpoint;
    request.agent_incarnation = 5;
    return request;
}

inline wire::key_bindT make_rebind(const std::string& key, std::uint64_t id, std::uint32_t attempt,
                                   std::uint64_t old_id, std::uint32_t old_attempt)
{
    wire::key_bindT request = make_bind(key, id, attempt, "desk-2");
    request.agent_incarnation = 6;
    request.replaces = true;
    request.replaces_id = std::make_unique<wire::request_id>(old_id, old_id);
    request.replaces_attempt = old_attempt;
    return request;
}

inline wire::key_finishT make_finish(const std::string& key, std::uint64_t id, std::uint32_t attempt,
                                     const std::string& answer = "order 17")
{
    wire::key_finishT request;
    request.team = "buyers";
    request.key = key;
    request.id = std::make_unique<wire::request_id>(id, id);
    request.attempt = attempt;
    request.status = 201;
    request.content_type = "text/plain";
    request.answer.assign(answer.begin(), answer.end());
    return request;
}

inline std::string text_of(const std::vector<std::uint8_t>& bytes)
{
    return {bytes.begin(), bytes.end()};
}

} // namespace verbena::test
