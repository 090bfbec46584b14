// Entry point that every test program shares.
#define BOOST_TEST_MODULE jackdaw
#include <boost/test/unit_test.hpp>
