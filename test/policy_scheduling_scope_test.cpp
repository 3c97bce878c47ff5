#include "policy/scheduling_scope.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;

namespace {

// Twelve slots, each of which a usual request holds for some seconds.
route::service_rule scarce_service()
{
    route::service_rule service;
    service.name = "model";
    service.engine = route::engine_rule{12, 405'000, 38, 1.31, 0.000917, 0.00213, 154, 0.162, 2048, 0.1};
    service.engine->usual_prompt_tokens = 11'702;
    service.engine->usual_answer_tokens = 1'310;
    return service;
}

policy::scheduling_scope scope_of(std::size_t endpoints, std::uint32_t share,
                                  policy::scheduling_scope current = policy::scheduling_scope::domain)
{
    policy::scheduling_load load;
    load.add(scarce_service(), endpoints);
    return policy::choose_scope(load, share, current);
}

} // namespace

BOOST_AUTO_TEST_SUITE(policy_scheduling_scope)

// Guards against one scheduler that gets more choices than its processor can make.
BOOST_AUTO_TEST_CASE(one_scheduler_chooses_while_its_processor_suffices)
{
    using policy::scheduling_scope;
    BOOST_TEST((scope_of(60, 320) == scheduling_scope::deployment));
    BOOST_TEST((scope_of(60, 0) == scheduling_scope::deployment));
    BOOST_TEST((scope_of(1'400, 320) == scheduling_scope::domain));
    BOOST_TEST((scope_of(60, 1) == scheduling_scope::domain));
}

// Guards against a scope that changes with each endpoint that starts or ends.
BOOST_AUTO_TEST_CASE(keeps_its_scope_near_the_bound)
{
    using policy::scheduling_scope;
    std::size_t bound = 60;
    while (scope_of(bound + 1, 320) == scheduling_scope::deployment) {
        ++bound;
    }
    BOOST_TEST((scope_of(bound + 3, 320, scheduling_scope::deployment) == scheduling_scope::deployment));
    BOOST_TEST((scope_of(bound * 6 / 5, 320, scheduling_scope::deployment) == scheduling_scope::domain));
}

// Services whose slots are not scarce, and those without endpoints, are scheduled by domain.
BOOST_AUTO_TEST_CASE(needs_a_service_whose_slots_are_scarce)
{
    using policy::scheduling_scope;
    route::service_rule spacious = scarce_service();
    spacious.engine->usual_answer_tokens = 0;
    spacious.engine->usual_prompt_tokens = 0;
    policy::scheduling_load load;
    load.add(spacious, 60);
    load.add(scarce_service(), 0);
    BOOST_TEST((policy::choose_scope(load, 320, scheduling_scope::deployment) == scheduling_scope::domain));
}

BOOST_AUTO_TEST_SUITE_END()
