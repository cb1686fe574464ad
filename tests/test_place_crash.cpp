#include <boost/test/unit_test.hpp>

#include "place_crash_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t workers = 22;

std::vector<charged_crash> crashes_of(std::size_t count, duration age, double rate)
{
    return std::vector<charged_crash>(count, {age, rate});
}

} // namespace

// Everything on a worker is charged with its crash, again and again, though one task there is known to crash workers.
BOOST_AUTO_TEST_CASE(the_crash_is_charged_to_those_charged_most)
{
    const std::vector<bool> charged = charge_crash(
        {{.age = 2s}, {.age = 10ms, .crashes = 1}, {.age = 3s, .crashes = 1}, {.age = 1min, .crashes = 1}});
    BOOST_TEST((charged == std::vector<bool>{false, true, true, false}));
}

// A rack loses power, and all its tasks are charged.
BOOST_AUTO_TEST_CASE(a_crash_among_many_is_charged_to_nobody)
{
    BOOST_TEST(!charge_crash({{.age = 10ms, .in_a_wave = true}}).front());
    BOOST_TEST(!charge_crash({{.age = 5s, .crashes = 2, .alone = true, .in_a_wave = true}}).front());
    BOOST_TEST(charge_crash({{.age = 10ms, .crashes = 2, .alone = true, .in_a_wave = true}}).front());
}

// A task under suspicion is charged with what was started beside it.
BOOST_AUTO_TEST_CASE(what_was_not_alone_is_not_charged_further)
{
    BOOST_TEST(!charge_crash({{.age = 10ms, .crashes = 2}}).front());
    BOOST_TEST(!charge_crash({{.crashes = 2, .alone = true}}).front()); // its age is not known
    BOOST_TEST(charge_crash({{.age = 10ms, .crashes = 2, .alone = true}}).front());
}

BOOST_AUTO_TEST_CASE(three_crashes_at_the_start_are_beyond_doubt_where_few_crash)
{
    const double calm = crash_rate(0, workers, 20s);
    BOOST_TEST(!is_given_up(crashes_of(2, 10ms, calm)));
    BOOST_TEST(is_given_up(crashes_of(3, 10ms, calm)));
    BOOST_TEST(is_given_up(crashes_of(5, 5s, calm)));
}

// An innocent task has many crashes behind it where every worker crashes each few seconds.
BOOST_AUTO_TEST_CASE(crashes_that_chance_explains_add_up_to_nothing)
{
    const double restless = crash_rate(workers, workers, 10s);
    BOOST_TEST(!is_given_up(crashes_of(3, 3s, restless)));
    BOOST_TEST(!is_given_up(crashes_of(40, 3s, restless)));
    BOOST_TEST(!is_given_up(crashes_of(5, 20s, crash_rate(4, workers, 30s))));
}
