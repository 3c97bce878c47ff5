#pragma once

#include "raft_cluster.h"

#include <boost/test/unit_test.hpp>

namespace verbena::test {

// Fails the running test for each violation that the checker has found.
inline void require_no_violations(raft_cluster& cluster)
{
    for (const std::string& line : cluster.checker().violations()) {
        BOOST_ERROR(line);
    }
}

// Waits until a leader has committed an entry of its own; returns its id.
inline raft::member_id wait_for_leader(raft_cluster& cluster)
{
    const auto has_leader = [&] {
        return cluster.leader() != 0 && cluster.at(cluster.leader())->consensus().commit_index() > 1;
    };
    BOOST_TEST_REQUIRE(cluster.run_until(has_leader, milliseconds(5000)));
    return cluster.leader();
}

} // namespace verbena::test
