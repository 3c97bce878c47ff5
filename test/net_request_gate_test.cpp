#include "net/request_gate.h"

#include <boost/test/unit_test.hpp>

#include <thread>
#include <vector>

using verbena::net::request_gate;

BOOST_AUTO_TEST_SUITE(net_request_gate)

// Guards against a drain that ends while a request is in work.
BOOST_AUTO_TEST_CASE(gate_closes_only_without_a_request)
{
    request_gate gate;
    {
        const request_gate::pass first = gate.enter();
        BOOST_TEST(gate.active() == 1U);
        BOOST_TEST(!gate.close_if_idle());
        BOOST_TEST(gate.admits());
    }
    BOOST_TEST(gate.close_if_idle());
    BOOST_TEST(!gate.admits());
    const request_gate::pass late = gate.enter();
    BOOST_TEST(gate.active() == 1U);
    BOOST_TEST(!gate.admits());
    BOOST_TEST(gate.close_if_idle());
}

// Guards against a pass that is counted twice or never released after it was moved.
BOOST_AUTO_TEST_CASE(moved_passes_count_once)
{
    request_gate gate;
    request_gate::pass first = gate.enter();
    request_gate::pass second = std::move(first);
    BOOST_TEST(gate.active() == 1U);
    second = gate.enter();
    {
        const request_gate::pass third = std::move(second);
        gate.close();
    }
    BOOST_TEST(!gate.admits());
}

// Guards against a request that is admitted by one thread while another one closes the gate.
BOOST_AUTO_TEST_CASE(no_request_is_in_work_when_the_gate_closes)
{
    for (int round = 0; round < 200; ++round) {
        request_gate gate;
        std::atomic<int> running{0};
        std::atomic<bool> ended{false};
        std::atomic<int> admitted_late{0};
        std::vector<std::jthread> threads;
        threads.reserve(3);
        for (int i = 0; i < 3; ++i) {
            threads.emplace_back([&] {
                for (int request = 0; request < 200; ++request) {
                    const request_gate::pass entered = gate.enter();
                    if (!gate.admits()) {
                        return;
                    }
                    ++running;
                    admitted_late += ended ? 1 : 0;
                    --running;
                }
            });
        }
        while (!gate.close_if_idle()) {
            std::this_thread::yield();
        }
        const int in_work = running;
        ended = true;
        threads.clear();
        BOOST_TEST(in_work == 0);
        BOOST_TEST(admitted_late == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
