// A short soak with a fixed seed, and what its checks make of workers that start again; scripts/soak plays more and
// longer ones by hand.
#include <boost/test/unit_test.hpp>

#include <csignal>

#include "platform_timer_p.h"
#include "support_soak.h"

using namespace skylarkhub;
using namespace skylarkhub::tests;
using namespace skylarkhub::standin;
using namespace std::chrono_literals;

namespace {

const worker_life first{"w0-1", wall_time(1'000ms)};
const worker_life second{"w0-1", wall_time(1'700ms)};
const std::string task = "a.0.0.0";

// A job with one task that has been accepted, and a worker in its first life.
struct checked_site {
    instant now = read_clock();
    soak_checks checks{now};

    explicit checked_site(bool fails = false)
    {
        checks.note_job({.id = "a", .payload = "run 100", .steps = {{1, {1000, 1000, 0}}}, .fails = fails});
        checks.note_hand_in("a", hand_in::accepted);
        see(life_began{first});
    }
    void see(const worker_sight& sight) { checks.note_sight(now += 100ms, sight); }
    void start_on(const worker_life& worker, std::int64_t run) { see(run_began{worker, task, run, "run 100", ""}); }
    void end_on(const worker_life& worker, std::int64_t number, std::int64_t run, const std::string& how)
    {
        see(run_over{worker, number, task, run, how, ""});
    }
    void start_again()
    {
        see(life_over{first});
        see(life_began{second});
    }
};

} // namespace

// --- the checks object to what breaks a promise where a worker starts again under its id, and to nothing else ---

// An end that a cursor of the first life forgets counts as taken note of, though no list ever told it.
BOOST_AUTO_TEST_CASE(a_start_after_an_end_that_a_cursor_forgot_unseen_is_told)
{
    checked_site site;
    site.start_again();
    site.start_on(second, 1);
    site.end_on(second, 1, 1, "done");
    site.see(ends_confirmed{second, 57});
    BOOST_TEST(site.checks.broken().empty());
    site.start_on(second, 2);
    BOOST_TEST(site.checks.broken().size() == 1U);
}

// The same for runs that fail: they count as attempts.
BOOST_AUTO_TEST_CASE(a_start_after_failures_that_a_cursor_forgot_unseen_is_told)
{
    checked_site site(true);
    site.start_again();
    for (int run = 1; run <= soak_attempts_most; ++run) {
        site.start_on(second, run);
        site.end_on(second, run, run, "failed");
    }
    site.see(ends_confirmed{second, 57});
    BOOST_TEST(site.checks.broken().empty());
    site.start_on(second, soak_attempts_most + 1);
    BOOST_TEST(site.checks.broken().size() == 1U);
}

// An end that went with its life unconfirmed may be followed by another run, and no confirmation in the second life,
// which counts its own ends from 1, stands for it.
BOOST_AUTO_TEST_CASE(an_end_of_the_first_life_is_not_confirmed_by_the_second)
{
    checked_site site;
    site.start_on(first, 1);
    site.end_on(first, 1, 1, "done");
    site.start_again();
    site.start_on(second, 2);
    site.end_on(second, 1, 2, "stopped");
    site.see(ends_confirmed{second, 1});
    site.start_on(second, 3);
    BOOST_TEST(site.checks.broken().empty());
}

// What ran in the first life is gone with it: it is neither a second run of the task nor does it hold room.
BOOST_AUTO_TEST_CASE(runs_of_the_first_life_are_gone_in_the_second)
{
    checked_site site;
    site.start_on(first, 1);
    site.start_again();
    site.start_on(second, 2);
    BOOST_TEST(site.checks.broken().empty());
    site.see(life_began{worker_life{"w1-1", wall_time(0ms)}});
    site.start_on(worker_life{"w1-1", wall_time(0ms)}, 3);
    BOOST_TEST(site.checks.broken().size() == 1U);
}

// Guards against a check that lets starts in an evacuated data centre pass, or objects to others.
BOOST_AUTO_TEST_CASE(a_start_in_an_evacuated_data_centre_is_told)
{
    checked_site site;
    site.checks.note_evacuation(site.now, {0}, true);
    site.start_on(first, 1);
    BOOST_TEST(site.checks.broken().empty()); // it may have been sent before
    site.end_on(first, 1, 1, "failed");
    site.now += 20s;
    site.start_on(first, 2);
    BOOST_TEST(site.checks.broken().size() == 1U);
    site.checks.note_evacuation(site.now, {0}, false);
    site.end_on(first, 2, 2, "failed");
    site.start_on(first, 3);
    BOOST_TEST(site.checks.broken().size() == 1U);
}

// --- a play ---

BOOST_AUTO_TEST_CASE(promises_hold_under_faults_of_a_short_soak)
{
    // Callers hand jobs in, ask for them and cancel some, while entries are killed, stopped and stand still, the table
    // and the links to it and to workers are harmed, and workers crash, leave and come back, also under their ids, one
    // fault over the other.
    // No task runs twice or after its end was confirmed, none that was refused or cancelled starts, no worker is
    // overfilled, and all that was accepted comes to its end once the faults are over.
    signal(SIGPIPE, SIG_IGN);
    const soak_report report = run_soak({.seed = 1, .length = std::chrono::seconds(22), .entries = 3, .workers = 6});
    BOOST_TEST(report.counts.jobs.count(hand_in::accepted) == 1U);
    BOOST_TEST(report.counts.starts > 0);
    BOOST_TEST(report.broken == std::vector<std::string>{}, boost::test_tools::per_element());
    BOOST_TEST_MESSAGE(report.folder);
}

// The same with two data centres that are evacuated and taken back all the while.
BOOST_AUTO_TEST_CASE(nothing_starts_in_evacuated_data_centres_of_a_short_soak)
{
    signal(SIGPIPE, SIG_IGN);
    const soak_report report =
        run_soak({.seed = 5, .length = std::chrono::seconds(22), .entries = 3, .workers = 6, .evacuations = true});
    BOOST_TEST(report.counts.starts > 0);
    BOOST_TEST(report.broken == std::vector<std::string>{}, boost::test_tools::per_element());
    BOOST_TEST_MESSAGE(report.folder);
}
