#define BOOST_TEST_MODULE verbenaproxy
#include <boost/test/unit_test.hpp>
