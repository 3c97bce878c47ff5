#include "node/process.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace verbena;
using node::respond_to_signal;
using node::signal_response;

BOOST_AUTO_TEST_SUITE(node_signal)

// Guards against requests that are cut because a supervisor repeats SIGTERM.
BOOST_AUTO_TEST_CASE(repeated_sigterm_does_not_end_the_process)
{
    BOOST_TEST((respond_to_signal(SIGTERM, 1, false) == signal_response::stop));
    BOOST_TEST((respond_to_signal(SIGTERM, 2, true) == signal_response::ignore));
    BOOST_TEST((respond_to_signal(SIGTERM, 9, true) == signal_response::ignore));
    BOOST_TEST((respond_to_signal(SIGTERM, 1, true) == signal_response::ignore));
}

// Guards against a process that nobody can end from a terminal.
BOOST_AUTO_TEST_CASE(second_sigint_ends_the_process)
{
    BOOST_TEST((respond_to_signal(SIGINT, 1, false) == signal_response::stop));
    BOOST_TEST((respond_to_signal(SIGINT, 1, true) == signal_response::ignore));
    BOOST_TEST((respond_to_signal(SIGINT, 2, true) == signal_response::exit));
}

// Guards against a reload that changes a process that is stopping.
BOOST_AUTO_TEST_CASE(sighup_reloads_only_before_a_stop)
{
    BOOST_TEST((respond_to_signal(SIGHUP, 1, false) == signal_response::reload));
    BOOST_TEST((respond_to_signal(SIGHUP, 7, false) == signal_response::reload));
    BOOST_TEST((respond_to_signal(SIGHUP, 8, true) == signal_response::ignore));
}

BOOST_AUTO_TEST_SUITE_END()
