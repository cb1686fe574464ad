// Forecast of the load of serving tasks.
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <string>

#include "base_random_p.h"
#include "flow_load_p.h"

using namespace skylarkhub;

namespace {

constexpr double pi = 3.14159265358979323846;
constexpr double ahead_s = 0.7; // how far ahead the load is predicted

struct errors {
    double worst_forecast = 0; // largest amount by which the load exceeded the forecast
    double worst_newest = 0;   // the same with the newest sample as the forecast
};

// Samples the periodic loads of six jobs with different phases, ten times a second with an error of up to 0.05, and
// returns the errors from time `from` on.
errors measure_errors(double amplitude, double period, double from, double to)
{
    random_source random = make_random(11);
    load_forecast forecast;
    errors out;
    const auto load_at = [&](int job, double t) { return 0.42 + amplitude * std::sin(2 * pi * t / period + job); };
    for (double t = 0; t < to; t += 0.1) {
        for (int job = 0; job < 6; ++job) {
            const job_id id(std::to_string(job));
            const double sample = load_at(job, t) + absl::Uniform(random, -0.05, 0.05);
            forecast.add(id, t, sample, 1);
            if (t >= from) {
                const double later = load_at(job, t + ahead_s);
                out.worst_forecast = std::max(out.worst_forecast, later - forecast.at(id, t + ahead_s));
                out.worst_newest = std::max(out.worst_newest, later - sample);
            }
        }
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_periodic_load_is_predicted)
{
    // A pace chosen for the newest sample takes effect later. Without a forecast, the tail latency of a serving task
    // exceeds its target once in each period, while the load rises steeply.
    for (const double period : {10.0, 14.0}) {
        const errors found = measure_errors(0.21, period, 12, 60);
        BOOST_TEST(found.worst_forecast < 0.06);
        BOOST_TEST(found.worst_newest > 0.1);
    }
}

BOOST_AUTO_TEST_CASE(the_first_period_is_followed)
{
    const errors found = measure_errors(0.21, 10, 2, 6);
    BOOST_TEST(found.worst_forecast < 0.2);
}

BOOST_AUTO_TEST_CASE(a_constant_load_is_predicted_as_constant)
{
    const errors found = measure_errors(0, 10, 5, 30);
    BOOST_TEST(found.worst_forecast < 0.06);
}

BOOST_AUTO_TEST_CASE(a_step_up_of_the_load_is_followed_within_seconds)
{
    // All users of a service return at once: the fitted period must not hide the new load for long.
    load_forecast forecast;
    const job_id id("j");
    for (double t = 0; t < 20; t += 0.1) {
        forecast.add(id, t, t < 15 ? 0.3 : 0.6, 1);
    }
    BOOST_TEST(forecast.at(id, 20.5) > 0.5);
}

BOOST_AUTO_TEST_CASE(a_job_without_samples_is_assumed_to_have_a_high_load)
{
    const load_forecast unseen;
    BOOST_TEST(unseen.at(job_id("j"), 5) >= 0.5);
    BOOST_TEST(unseen.period() == 0);
}

BOOST_AUTO_TEST_CASE(a_forgotten_job_has_the_default_load_again)
{
    load_forecast forecast;
    for (double t = 0; t < 5; t += 0.1) {
        forecast.add(job_id("j"), t, 0.2, 1);
    }
    BOOST_TEST(forecast.at(job_id("j"), 5) < 0.3);
    forecast.forget(job_id("j"));
    BOOST_TEST(forecast.at(job_id("j"), 5) >= 0.5);
}
