// Tests workers whose capacity (room) shrinks and grows while they run tasks, in virtual time.
#include <boost/test/unit_test.hpp>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";
const std::string job_b = "00000000000000bb";
const resources full_capacity{16000, 64000, 0};
const resources reduced_capacity{1000, 64000, 0};
constexpr duration list_read_delay = 1500ms; // an owner reads the worker list each second

} // namespace

// Guards against sending a start that exceeds a capacity that shrank while the start waited for its row to be written.
BOOST_AUTO_TEST_CASE(a_start_that_waits_for_its_row_is_taken_back_when_the_room_shrinks)
{
    flow_simulation w(
        {.entries_per_data_centre = 1, .workers_per_data_centre = 1, .shrunk_room_grace = list_read_delay});
    w.run_for(3s);
    w.delay_next_row_write(5s);
    w.send_submit(0, job_a, lasting_spec(1, 4000));
    BOOST_REQUIRE(w.run_until([&] { return w.count_log_events("run", "placed") == 1; }, 2s));
    w.set_worker_capacity(0, reduced_capacity, duration(0));
    w.run_for(8s);
    BOOST_TEST(w.count_running_tasks(job_a) == 0);
    w.set_worker_capacity(0, full_capacity, duration(0));
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_a) == 1; }, 5s));
    check_no_violations(w);
}

// Guards against repeating an unanswered start after the worker's capacity has reduced_capacity below the task's need.
BOOST_AUTO_TEST_CASE(a_start_is_not_sent_again_to_a_worker_whose_room_has_shrunk)
{
    flow_simulation w(
        {.entries_per_data_centre = 1, .workers_per_data_centre = 1, .shrunk_room_grace = list_read_delay});
    w.run_for(3s);
    w.worker(0).reachable = false;
    w.send_submit(0, job_a, chain_spec(1, 1, 4000));
    BOOST_REQUIRE(w.run_until([&] { return w.count_log_events("run", "placed") == 1; }, 800ms));
    w.set_worker_capacity(0, reduced_capacity, duration(0));
    w.run_for(2500ms);
    w.worker(0).reachable = true;
    w.run_for(3s);
    BOOST_TEST(w.count_running_tasks(job_a) == 0);
    w.set_worker_capacity(0, full_capacity, duration(0));
    BOOST_TEST(w.run_until([&] { return w.state(0, job_a) == flow_state::done; }, 15s));
    check_no_violations(w);
}

// Guards against reusing the capacity of a run that is being stopped before its end is listed, on a worker whose
// capacity has reduced_capacity.
BOOST_AUTO_TEST_CASE(what_is_being_stopped_counts_against_a_room_that_has_shrunk)
{
    flow_simulation w({.entries_per_data_centre = 1,
                       .workers_per_data_centre = 1,
                       .run_time = [](const flow_task_id&) { return duration(60s); },
                       .stop_time = 900ms,
                       .shrunk_room_grace = list_read_delay});
    w.run_for(3s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 4, 4000)) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 4; }, 3s));
    w.set_worker_capacity(0, {8000, 64000, 0}, duration(0));
    w.run_for(2s);
    w.send_submit(0, job_b, chain_spec(1, 2, 4000));
    w.run_for(1s);
    BOOST_TEST(w.count_running_tasks(job_b) == 0);
    BOOST_TEST((w.cancel(0, job_a) == caller_result::cancelled));
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_b) == 2; }, 5s));
    check_no_violations(w);
}

// Guards against starts that exceed a worker's capacity while capacities change all the time, entries restart and the
// worker list is 1.5 s out of date.
BOOST_AUTO_TEST_CASE(no_start_goes_over_a_room_that_shrinks_and_grows)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            random_source random = make_random(seed);
            flow_simulation w({.seed = seed,
                               .data_centres = {"a", "b"},
                               .workers_per_data_centre = 4,
                               .run_time = [](const flow_task_id&) { return duration(1500ms); }});
            w.run_for(2s);
            w.send_submit(0, job_b, lasting_spec(8, 3000));
            w.send_submit(1, job_a, chain_spec(30, 24, 3000));
            for (int change = 0; change < 60; ++change) {
                w.run_for(700ms);
                const std::int64_t cpu = 1000 * absl::Uniform(random, 2, 17);
                w.set_worker_capacity(absl::Uniform(random, 0, w.worker_count()), {cpu, 64000, 0}, 1500ms);
                if (change % 10 == 9) {
                    const int entry = absl::Uniform(random, 0, 4);
                    w.kill_entry(entry);
                    w.run_for(500ms);
                    w.start_entry(entry);
                }
            }
            check_no_violations(w);
        }
    }
}
