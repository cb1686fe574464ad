// Detection of runs that fall behind.
#include <boost/test/unit_test.hpp>

#include "flow_straggle_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

constexpr instant begin{100s};

// Samples a run that progresses by `percent_per_s`, every 100 ms for `length`.
run_progress sample_run(double percent_per_s, duration length, bool held_back = false)
{
    run_progress progress;
    for (duration t{0}; t <= length; t += 100ms) {
        const double seconds = std::chrono::duration<double>(t).count();
        progress.note(begin + t, static_cast<std::int32_t>(seconds * percent_per_s), held_back);
    }
    return progress;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_run_without_progress_is_detected_within_1500_ms)
{
    BOOST_TEST(sample_run(0, 1500ms).stalled(begin + 1500ms));
    BOOST_TEST(!sample_run(0, 1s).stalled(begin + 1s));
    BOOST_TEST(!sample_run(3, 3s).stalled(begin + 3s));
}

BOOST_AUTO_TEST_CASE(a_run_that_is_slowed_on_purpose_is_not_behind)
{
    const run_progress held = sample_run(0, 5s, true);
    BOOST_TEST(!held.stalled(begin + 5s));
    BOOST_TEST(!held.slower_than_restart(begin + 5s, 1s));
}

BOOST_AUTO_TEST_CASE(a_run_is_restarted_only_if_a_restart_is_faster)
{
    BOOST_TEST(sample_run(10, 800ms).slower_than_restart(begin + 800ms, 1s));  // 9 s left, a restart takes 1 s
    BOOST_TEST(!sample_run(60, 800ms).slower_than_restart(begin + 800ms, 1s)); // a third slower than estimated
    BOOST_TEST(!sample_run(10, 9s).slower_than_restart(begin + 9s, 1s));       // slow, but nearly done
    BOOST_TEST(!sample_run(10, 300ms).slower_than_restart(begin + 300ms, 1s)); // measured for too short a time
    BOOST_TEST(!sample_run(10, 800ms).slower_than_restart(begin + 800ms, duration(0)));
}

BOOST_AUTO_TEST_CASE(a_lower_percentage_starts_a_new_measurement)
{
    run_progress progress = sample_run(50, 1s);
    progress.note(begin + 3s, 5, false);
    BOOST_TEST(!progress.stalled(begin + 3s));
    BOOST_TEST(!progress.slower_than_restart(begin + 3s, 1s));
}
