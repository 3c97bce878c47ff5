#define BOOST_TEST_MODULE verbenaproxy
#include "base/event_log.h"

#include <boost/test/results_collector.hpp>
#include <boost/test/tree/observer.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <iostream>
#include <mutex>
#include <string>

namespace {

// Prints the latest events of a test case that failed, so that a failure that occurs once can be traced.
class failure_log : public boost::unit_test::test_observer {
public:
    failure_log()
    {
        verbena::event_log::configure("tests", [this](const std::string& line) { add(line); });
        boost::unit_test::framework::register_observer(*this);
    }

    void test_unit_start(const boost::unit_test::test_unit&) override
    {
        const std::lock_guard lock(m_mutex);
        m_lines.clear();
    }

    void test_unit_finish(const boost::unit_test::test_unit& unit, unsigned long) override
    {
        const bool is_case = unit.p_type == boost::unit_test::TUT_CASE;
        if (!is_case || boost::unit_test::results_collector.results(unit.p_id).passed()) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        std::cout << "events of " << unit.full_name() << ":\n";
        for (const std::string& line : m_lines) {
            std::cout << line << '\n';
        }
        std::cout.flush();
    }

private:
    static constexpr std::size_t max_lines = 400;

    void add(const std::string& line)
    {
        const std::lock_guard lock(m_mutex);
        if (m_lines.size() == max_lines) {
            m_lines.pop_front();
        }
        m_lines.push_back(line);
    }

    std::mutex m_mutex;
    std::deque<std::string> m_lines;
};

// Processes of a test may write events until the program exits, so this is not destroyed.
struct start_failure_log {
    start_failure_log()
    {
        static auto* const log = new failure_log;
        (void)log;
    }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(start_failure_log);
