#include "node/config_view.h"
#include "suspended_clock.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;

BOOST_AUTO_TEST_SUITE(suspension)

// Guards against serving an old configuration, for example a revoked key, after the machine was suspended.
BOOST_AUTO_TEST_CASE(confirmations_expire_while_the_machine_is_suspended)
{
    op::configT config;
    config.revision = 1;
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(op::config::Pack(builder, &config));
    node::config_view view;
    BOOST_TEST_REQUIRE(view.update({builder.GetBufferPointer(), builder.GetSize()}));
    view.confirm(1, clock::now());
    BOOST_TEST(view.is_fresh(clock::now()));
    simulate_suspension(node::freshness_bound);
    BOOST_TEST(!view.is_fresh(clock::now()));
}

BOOST_AUTO_TEST_SUITE_END()
