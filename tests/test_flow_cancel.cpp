// Tests that no task of a cancelled job keeps running: when workers execute start commands late, and when the instance
// that sent them has been killed.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "base_random_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";

int owner_of(flow_simulation& w)
{
    return w.entry(0)->cells().at(cell_id("a"))->owns() ? 0 : 1;
}

} // namespace

BOOST_AUTO_TEST_CASE(starts_carried_out_after_the_cancel_are_stopped)
{
    // The workers do not answer the start commands of a job and execute them only after the job was cancelled.
    for (int delay_ms = 500; delay_ms <= 8000; delay_ms += 500) {
        BOOST_TEST_CONTEXT("executed after " << delay_ms << " ms")
        {
            flow_simulation w({.run_time = [](const flow_task_id&) { return duration(60s); }});
            w.run_for(2s);
            w.delay_next_starts(100, std::chrono::milliseconds(delay_ms));
            BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 12)) == caller_result::accepted);
            w.run_for(300ms);
            w.delay_next_starts(0, duration(0));
            BOOST_TEST((w.cancel(1, job_a) == caller_result::cancelled));
            w.run_for(15s);
            BOOST_TEST(w.count_running_tasks(job_a) == 0);
            check_no_violations(w);
        }
    }
}

BOOST_AUTO_TEST_CASE(starts_of_an_instance_that_is_gone_for_good_are_stopped)
{
    // The cell's owner sends start commands that the workers do not answer; the job is cancelled and the owner is
    // killed for good. The next owner of the cell has no record of these runs and reads from the table that the job is
    // cancelled. The workers execute the starts before the next owner has contacted them.
    for (int delay_ms = 500; delay_ms <= 8000; delay_ms += 500) {
        BOOST_TEST_CONTEXT("executed after " << delay_ms << " ms")
        {
            flow_simulation w({.run_time = [](const flow_task_id&) { return duration(60s); }});
            w.run_for(2s);
            w.delay_next_starts(100, std::chrono::milliseconds(delay_ms));
            BOOST_REQUIRE(w.submit(0, job_a, lasting_spec(20)) == caller_result::accepted);
            w.run_for(300ms);
            const int owner = owner_of(w);
            BOOST_TEST((w.cancel(1 - owner, job_a) == caller_result::cancelled));
            w.kill_entry(owner);
            w.delay_next_starts(0, duration(0));
            w.run_for(20s);
            BOOST_TEST(w.count_running_tasks(job_a) == 0);
            check_no_violations(w);
        }
    }
}

BOOST_AUTO_TEST_CASE(many_stray_runs_of_one_job_are_stopped_together)
{
    // The next owner of a cell finds twenty runs of an ended job on one worker. If it stopped one run per exchange with
    // the worker, the last ones would run for seconds more.
    flow_simulation w({.workers_per_data_centre = 1, .worker_cpu_millis = 64000, .run_time = [](const flow_task_id&) {
                           return duration(60s);
                       }});
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 20)) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 20; }, 5s));
    w.worker(0).reachable = false; // neither the owner nor, at first, the next owner can contact it
    const int owner = owner_of(w);
    BOOST_TEST((w.cancel(1 - owner, job_a) == caller_result::cancelled));
    w.run_for(300ms);
    w.kill_entry(owner);
    w.worker(0).lease_until = instant::max(); // no owner renews its lease, and the lease does not expire
    w.run_for(14s);                           // until the next owner has written that the job has ended
    BOOST_REQUIRE(w.state(1 - owner, job_a) == flow_state::cancelled);
    w.worker(0).reachable = true;
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_a) == 0; }, 1200ms));
}

BOOST_AUTO_TEST_CASE(stray_runs_are_stopped_on_a_worker_that_fell_out_of_the_list)
{
    // The next owner of a cell has read a worker's runs and stops those of an ended job; the stop commands get no
    // answer. Meanwhile the worker's entry in the worker list expires though the worker is alive. An owner that no
    // longer contacts an unlisted worker on which it started nothing itself would leave the tasks running.
    flow_simulation w({.workers_per_data_centre = 1, .run_time = [](const flow_task_id&) { return duration(60s); }});
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 6)) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 6; }, 5s));
    w.worker(0).reachable = false;
    const int owner = owner_of(w);
    BOOST_TEST((w.cancel(1 - owner, job_a) == caller_result::cancelled));
    w.run_for(300ms);
    w.kill_entry(owner);
    w.worker(0).lease_until = instant::max();
    w.run_for(14s);
    w.drop_stop_orders(true);
    w.worker(0).reachable = true;
    w.run_for(1500ms);
    w.set_worker_unlisted(0, true);
    w.run_for(4s);
    w.drop_stop_orders(false);
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_a) == 0; }, 1500ms));
}

BOOST_AUTO_TEST_CASE(cancelled_jobs_leave_nothing_running_under_late_orders_and_removed_instances)
{
    // A fifth of all commands to workers gets no answer and is executed 2 to 12 s later, while most jobs are cancelled
    // soon after their start and instances are killed and restarted. No task of a cancelled job may run on for long.
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            flow_simulation w(
                {.seed = seed,
                 .entries_per_data_centre = 3,
                 .workers_per_data_centre = 4,
                 .run_time = [](const flow_task_id& t) { return duration(1s * (1 + 4 * (t.index % 4))); }});
            random_source random = make_random(seed * 31);
            w.run_for(2s);
            w.delay_orders(0.2);
            std::vector<std::string> uncancelled;
            for (int round = 0; round < 16; ++round) {
                const std::string job = fmt::format("{:016x}", seed * 100 + static_cast<std::uint64_t>(round));
                const int entry = absl::Uniform(random, 0, 3);
                if (w.entry(entry) == nullptr) {
                    w.start_entry(entry);
                    w.run_for(500ms);
                }
                const bool accepted = w.submit(entry, job, chain_spec(1, 6)) == caller_result::accepted;
                w.run_for(std::chrono::milliseconds(absl::Uniform(random, 0, 2500)));
                if (accepted && absl::Uniform(random, 0, 4) != 0) {
                    w.cancel(entry, job);
                }
                else if (accepted) {
                    uncancelled.push_back(job);
                }
                if (absl::Uniform(random, 0, 4) == 0) {
                    w.kill_entry(absl::Uniform(random, 0, 3));
                }
            }
            w.delay_orders(0);
            for (int i = 0; i < 3; ++i) {
                if (w.entry(i) == nullptr) {
                    w.start_entry(i);
                }
            }
            for (const std::string& job : uncancelled) {
                BOOST_TEST(w.run_until([&] { return w.state(0, job) == flow_state::done; }, 80s));
            }
            check_no_violations(w);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_run_that_is_being_stopped_keeps_its_capacity)
{
    // Guards against starting more tasks on a worker than fit. A job is cancelled just after its task was started. The
    // worker accepts the start and the stop, which takes 200 ms. Then an answer arrives that the worker sent before it
    // received either command, so the answer does not list the run. If the owner takes the run for ended, it gives the
    // run's capacity to the next task while the run is still being stopped.
    const std::string job_b = "00000000000000bb";
    for (int phase_ms = 0; phase_ms < 200; phase_ms += 10) {
        BOOST_TEST_CONTEXT("exchanges are in phase " << phase_ms << " ms")
        {
            flow_simulation w({.entries_per_data_centre = 1,
                               .workers_per_data_centre = 1,
                               .worker_cpu_millis = 1000,
                               .run_time = [](const flow_task_id&) { return duration(5s); },
                               .stop_time = 200ms,
                               .hold_answer_delay = 100ms});
            w.run_for(3s + std::chrono::milliseconds(phase_ms));
            BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 1)) == caller_result::accepted);
            w.send_submit(0, job_b, chain_spec(1, 1));
            BOOST_TEST((w.cancel(0, job_a) == caller_result::cancelled));
            BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_b) == 1; }, 5s));
            BOOST_TEST(w.count_running_tasks(job_a) == 0);
            check_no_violations(w);
        }
    }
}
