// Runs that fall behind.
#include <boost/test/unit_test.hpp>

#include "flow_straggle_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

constexpr instant begin{100s};

// Looks every 100 ms for `length` at a run that gets on by `percent_per_s`.
run_progress watch(double percent_per_s, duration length, bool held_back = false)
{
    run_progress progress;
    for (duration t{0}; t <= length; t += 100ms) {
        const double seconds = std::chrono::duration<double>(t).count();
        progress.note(begin + t, static_cast<std::int32_t>(seconds * percent_per_s), held_back);
    }
    return progress;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_run_that_stands_still_is_found_within_two_looks)
{
    BOOST_TEST(watch(0, 1500ms).stalled(begin + 1500ms));
    BOOST_TEST(!watch(0, 1s).stalled(begin + 1s));
    BOOST_TEST(!watch(3, 3s).stalled(begin + 3s));
}

BOOST_AUTO_TEST_CASE(a_run_that_is_held_back_is_not_behind)
{
    const run_progress held = watch(0, 5s, true);
    BOOST_TEST(!held.stalled(begin + 5s));
    BOOST_TEST(!held.slower_than_restart(begin + 5s, 1s));
}

BOOST_AUTO_TEST_CASE(a_run_is_given_up_only_where_running_it_anew_is_faster)
{
    BOOST_TEST(watch(10, 800ms).slower_than_restart(begin + 800ms, 1s));  // 9 s to go against 1 s
    BOOST_TEST(!watch(60, 800ms).slower_than_restart(begin + 800ms, 1s)); // a third slower than estimated
    BOOST_TEST(!watch(10, 9s).slower_than_restart(begin + 9s, 1s));       // slow, but nearly done
    BOOST_TEST(!watch(10, 300ms).slower_than_restart(begin + 300ms, 1s)); // too early to tell
    BOOST_TEST(!watch(10, 800ms).slower_than_restart(begin + 800ms, duration(0)));
}

BOOST_AUTO_TEST_CASE(a_new_run_of_the_task_begins_anew)
{
    run_progress progress = watch(50, 1s);
    progress.note(begin + 3s, 5, false);
    BOOST_TEST(!progress.stalled(begin + 3s));
    BOOST_TEST(!progress.slower_than_restart(begin + 3s, 1s));
}
