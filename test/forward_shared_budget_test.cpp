#include "forward/shared_retry_budget.h"

#include <boost/test/unit_test.hpp>

using namespace verbena;

BOOST_AUTO_TEST_SUITE(forward_shared_budget)

// The retries of all entries together must stay within the settings: the fixed part is divided by the number
// of entries, and a configured window longer than the counted one must not allow the fixed part several
// times.
BOOST_AUTO_TEST_CASE(divides_the_fixed_part_by_entries_and_windows)
{
    settings::entry_settingsT settings;
    settings.retry_ratio = 200;
    settings.retry_slack = 100;
    settings.retry_window = 10'000;
    BOOST_TEST(forward::entry_retry_options(settings, 8).min_retries == 10U);
    BOOST_TEST(forward::entry_retry_options(settings, 8).share == 0.16, boost::test_tools::tolerance(0.001));
    BOOST_TEST(forward::entry_retry_options(settings, 0).min_retries == 80U);
    settings.retry_window = 20'000;
    BOOST_TEST(forward::entry_retry_options(settings, 8).min_retries == 5U);
    settings.retry_window = 5'000;
    BOOST_TEST(forward::entry_retry_options(settings, 8).min_retries == 10U);
}

BOOST_AUTO_TEST_SUITE_END()
