// The loads of serving tasks a moment ahead.
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <string>

#include "base_random_p.h"
#include "flow_load_p.h"

using namespace skylarkhub;

namespace {

constexpr double pi = 3.14159265358979323846;
constexpr double ahead = 0.7;

struct errors {
    double worst_forecast = 0; // by how much the load turned out higher
    double worst_newest = 0;   // the same if the newest look were taken for the forecast
};

// Looks at the loads of six jobs, each at its own moment of the swing, ten a second, 0.05 off.
errors watch(double swing, double period, double from, double to)
{
    random_source random = make_random(11);
    load_forecast forecast;
    errors out;
    const auto load_at = [&](int job, double t) { return 0.42 + swing * std::sin(2 * pi * t / period + job); };
    for (double t = 0; t < to; t += 0.1) {
        for (int job = 0; job < 6; ++job) {
            const job_id id(std::to_string(job));
            const double seen = load_at(job, t) + absl::Uniform(random, -0.05, 0.05);
            forecast.add(id, t, seen, 1);
            if (t >= from) {
                const double later = load_at(job, t + ahead);
                out.worst_forecast = std::max(out.worst_forecast, later - forecast.at(id, t + ahead));
                out.worst_newest = std::max(out.worst_newest, later - seen);
            }
        }
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_load_of_a_swing_is_known_before_it_comes)
{
    // Paces chosen for the load as it was come into force a moment later, at the steep side of a swing: the users of a
    // serving task see its tail over the target until the next look, once every swing.
    for (const double period : {10.0, 14.0}) {
        const errors off = watch(0.21, period, 12, 60);
        BOOST_TEST(off.worst_forecast < 0.06);
        BOOST_TEST(off.worst_newest > 0.1);
    }
}

BOOST_AUTO_TEST_CASE(the_first_swing_is_followed_as_it_comes)
{
    const errors off = watch(0.21, 10, 2, 6);
    BOOST_TEST(off.worst_forecast < 0.2);
}

BOOST_AUTO_TEST_CASE(a_load_that_does_not_swing_is_foretold_level)
{
    const errors off = watch(0, 10, 5, 30);
    BOOST_TEST(off.worst_forecast < 0.06);
}

BOOST_AUTO_TEST_CASE(a_step_up_is_followed_within_seconds)
{
    // A service's users all come back at once; what was learned of swings must not hide it for long.
    load_forecast forecast;
    const job_id id("j");
    for (double t = 0; t < 20; t += 0.1) {
        forecast.add(id, t, t < 15 ? 0.3 : 0.6, 1);
    }
    BOOST_TEST(forecast.at(id, 20.5) > 0.5);
}

BOOST_AUTO_TEST_CASE(a_load_nobody_has_seen_is_taken_for_a_high_one)
{
    const load_forecast unseen;
    BOOST_TEST(unseen.at(job_id("j"), 5) >= 0.5);
    BOOST_TEST(unseen.period() == 0);
}

BOOST_AUTO_TEST_CASE(a_job_that_ended_is_forgotten)
{
    load_forecast forecast;
    for (double t = 0; t < 5; t += 0.1) {
        forecast.add(job_id("j"), t, 0.2, 1);
    }
    BOOST_TEST(forecast.at(job_id("j"), 5) < 0.3);
    forecast.forget(job_id("j"));
    BOOST_TEST(forecast.at(job_id("j"), 5) >= 0.5);
}
