// Tests the pending count of a queue when starts were recorded, sent or given to another cell, but no worker ran them.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

constexpr duration counted_after = 5s; // after this time every entry has to count an accepted job with no task begun
constexpr duration poll_interval = 100ms;
constexpr duration poll_duration = 10s;
constexpr int jobs_sent = 4;

flow_spec gang_spec(int count, std::int64_t cpu_millis)
{
    flow_spec spec = chain_spec(1, count, cpu_millis);
    spec.steps.front().gang = true;
    return spec;
}

// Accepted jobs, and the time at which the last one was accepted.
struct waiting_jobs {
    std::vector<std::string> names;
    instant accepted{};
};

waiting_jobs submit_jobs(flow_simulation& w, int entry, const flow_spec& spec, int count = jobs_sent)
{
    waiting_jobs jobs;
    for (int i = 0; i < count; ++i) {
        jobs.names.push_back(fmt::format("{:016x}", 170 + i));
        BOOST_REQUIRE(w.submit(entry, jobs.names.back(), spec) == caller_result::accepted);
    }
    jobs.accepted = w.now();
    return jobs;
}

// Checks that from `counted_after` on every running entry counts all of the jobs, that at most 5 % of the queries are
// refused, and that no task of the jobs has started.
void check_counted(flow_simulation& w, const waiting_jobs& jobs, int entries)
{
    if (w.now() <= jobs.accepted + counted_after) {
        w.run_for(jobs.accepted + counted_after - w.now() + poll_interval);
    }
    int asked = 0;
    int refused = 0;
    int too_low = 0;
    std::int64_t lowest = static_cast<std::int64_t>(jobs.names.size());
    for (duration t{0}; t < poll_duration; t += poll_interval) {
        for (int entry = 0; entry < entries; ++entry) {
            if (w.entry(entry) == nullptr) {
                continue;
            }
            const std::int64_t count = w.pending(entry);
            ++asked;
            refused += count < 0 ? 1 : 0;
            too_low += count >= 0 && count < static_cast<std::int64_t>(jobs.names.size()) ? 1 : 0;
            lowest = count >= 0 ? std::min(lowest, count) : lowest;
        }
        w.run_for(poll_interval);
    }
    for (const std::string& job : jobs.names) {
        BOOST_REQUIRE(w.count_job_starts(job) == 0);
    }
    BOOST_TEST(asked > 50);
    BOOST_TEST(refused * 20 <= asked, refused << " of " << asked << " refused");
    BOOST_TEST(too_low == 0, too_low << " of " << asked << " answers too low, lowest " << lowest);
    check_no_violations(w);
}

} // namespace

// Guards against the next owner treating a recorded start as begun although it never reached the worker.
BOOST_AUTO_TEST_CASE(lasting_jobs_whose_starts_were_lost_are_counted_by_the_next_owner)
{
    flow_simulation w({.workers_per_data_centre = 1});
    w.run_for(3s);
    w.worker(0).reachable = false;
    const int owner = owner_of(w, "a", 2);
    const waiting_jobs jobs = submit_jobs(w, owner, lasting_spec(1, 1000));
    w.run_for(300ms);
    w.kill_entry(owner);
    check_counted(w, jobs, 2);
}

// Guards against the next owner treating a recorded start as begun although the worker refused it.
BOOST_AUTO_TEST_CASE(lasting_jobs_whose_starts_were_refused_are_counted_by_the_next_owner)
{
    flow_simulation w({});
    w.run_for(3s);
    w.refuse_starts(true);
    const int owner = owner_of(w, "a", 2);
    const waiting_jobs jobs = submit_jobs(w, owner, lasting_spec(1, 1000));
    w.run_for(300ms);
    w.kill_entry(owner);
    check_counted(w, jobs, 2);
}

// Guards against an owner that keeps running treating a refused start of a lasting task as begun.
BOOST_AUTO_TEST_CASE(lasting_jobs_whose_starts_are_refused_are_counted)
{
    flow_simulation w({});
    w.run_for(3s);
    w.refuse_starts(true);
    check_counted(w, submit_jobs(w, 0, lasting_spec(1, 1000)), 2);
}

// Guards against the next owner treating a refused start of a short task as begun.
BOOST_AUTO_TEST_CASE(jobs_whose_starts_were_refused_are_counted_by_the_next_owner)
{
    flow_simulation w({});
    w.run_for(3s);
    w.refuse_starts(true);
    const int owner = owner_of(w, "a", 2);
    const waiting_jobs jobs = submit_jobs(w, owner, chain_spec(1, 1, 1000));
    w.run_for(300ms);
    w.kill_entry(owner);
    check_counted(w, jobs, 2);
}

namespace {

// Returns whether the owner of the cell has the job in memory.
bool holds_job(flow_simulation& w, const std::string& cell, const std::string& job)
{
    const int owner = owner_of(w, cell, 4);
    return owner >= 0 && w.entry(owner)->cells().at(cell_id(cell))->find_job(job_id(job)) != nullptr;
}

// Shrinks the workers of the jobs' cell, so that tasks are given to the other cell, whose workers refuse the starts.
// Checks that the jobs are still counted.
void give_to_refusing_cell(const flow_spec& spec)
{
    flow_simulation w({.data_centres = {"a", "b"}});
    w.run_for(3s);
    w.refuse_starts(true);
    const waiting_jobs jobs = submit_jobs(w, owner_of(w, "a", 4), spec);
    const std::string job_cell = holds_job(w, "a", jobs.names.front()) ? "a" : "b";
    for (int worker = 0; worker < w.worker_count(); ++worker) {
        if (w.worker(worker).data_centre.str() == job_cell) {
            w.set_worker_capacity(worker, {1000, 64000, 0}, 0ms);
        }
    }
    w.run_for(4s);
    BOOST_REQUIRE(w.count_log_events("task", "given_away") > 0);
    check_counted(w, jobs, 4);
}

} // namespace

// Guards against the owner of a job treating a lasting task as begun when another cell's owner recorded its start.
BOOST_AUTO_TEST_CASE(lasting_jobs_given_to_a_cell_that_does_not_start_them_are_counted)
{
    give_to_refusing_cell(lasting_spec(1, 8000));
}

// Guards against treating a short task as begun because it was given to another cell.
BOOST_AUTO_TEST_CASE(jobs_given_to_a_cell_that_does_not_start_them_are_counted)
{
    give_to_refusing_cell(chain_spec(1, 1, 8000));
}

// Guards against treating a start as begun when it arrives after the stop of its run. The worker answers such a start
// as if the run had existed.
BOOST_AUTO_TEST_CASE(gangs_whose_stops_overtake_their_starts_are_counted)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            flow_simulation w({.seed = seed});
            w.run_for(3s);
            w.refuse_starts(true);
            const int owner = owner_of(w, "a", 2);
            const waiting_jobs jobs = submit_jobs(w, owner, gang_spec(6, 6000));
            w.inject_entry_pauses(owner, 100ms);
            w.run_for(4s);
            w.inject_entry_pauses(owner, 0ms);
            check_counted(w, jobs, 2);
        }
    }
}

// Guards against treating a gang as begun when it was given to several cells and then given back.
BOOST_AUTO_TEST_CASE(gangs_given_back_are_counted)
{
    flow_simulation w({.data_centres = {"a", "b"}, .gang_start_barrier = true});
    w.run_for(3s);
    w.refuse_starts(true);
    const waiting_jobs jobs = submit_jobs(w, owner_of(w, "a", 4), gang_spec(5, 12000));
    check_counted(w, jobs, 4);
    BOOST_TEST(w.count_log_events("gang", "given_away") > 0);
    BOOST_TEST(w.count_log_events("gang", "given_back") > 0);
}

// Guards against treating a start as begun when it arrives seconds late, after the end of its lease or its stop.
BOOST_AUTO_TEST_CASE(jobs_whose_starts_come_late_and_are_refused_are_counted)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            flow_simulation w({.seed = seed});
            w.run_for(3s);
            w.refuse_starts(true);
            w.delay_orders(0.5);
            check_counted(w, submit_jobs(w, 0, chain_spec(1, 2, 1000)), 2);
        }
    }
}

// Guards against counting a job as pending when another cell runs its task and has not notified the job's owner.
BOOST_AUTO_TEST_CASE(lasting_jobs_begun_in_another_cell_are_not_counted)
{
    flow_simulation w({.data_centres = {"a", "b"}});
    w.run_for(3s);
    w.refuse_starts(true);
    const waiting_jobs jobs = submit_jobs(w, owner_of(w, "a", 4), lasting_spec(1, 8000));
    const std::string job_cell = holds_job(w, "a", jobs.names.front()) ? "a" : "b";
    for (int worker = 0; worker < w.worker_count(); ++worker) {
        if (w.worker(worker).data_centre.str() == job_cell) {
            w.set_worker_capacity(worker, {1000, 64000, 0}, 0ms);
        }
    }
    w.run_for(4s);
    w.refuse_starts(false);
    BOOST_REQUIRE(w.run_until([&] { return w.count_all_running_tasks() == jobs_sent; }, 5s));
    BOOST_REQUIRE(w.count_log_events("task", "given_away") > 0);
    w.run_for(3s);
    for (int entry = 0; entry < 4; ++entry) {
        BOOST_TEST(w.pending(entry) == 0);
    }
    check_no_violations(w);
}

// Guards against the next owner counting running jobs as pending. Their rows show only that a start was recorded.
BOOST_AUTO_TEST_CASE(lasting_jobs_that_run_are_not_counted_by_the_next_owner)
{
    flow_simulation w({});
    w.run_for(3s);
    const int owner = owner_of(w, "a", 2);
    submit_jobs(w, owner, lasting_spec(1, 1000));
    BOOST_REQUIRE(w.run_until([&] { return w.count_all_running_tasks() == jobs_sent; }, 3s));
    w.run_for(1s);
    w.kill_entry(owner);
    w.run_for(5s);
    BOOST_REQUIRE(owner_of(w, "a", 2) == 1 - owner);
    BOOST_TEST(w.pending(1 - owner) == 0);
    check_no_violations(w);
}
