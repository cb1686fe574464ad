// Tests, in simulated time, that a task whose runs crash their workers is given up (its job fails), and that tasks that
// ran on the same workers are not.
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <optional>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";
const std::string job_b = "00000000000000bb";
const flow_task_id culprit{job_id(job_a), 0, 0, 0};
// For each crash that a task may cause before it is given up: a worker's lease, the worker's restart and a task start.
constexpr duration give_up_limit = 60s;
constexpr int min_crashes = 2; // that a task must have caused before it is given up

// Returns after which time a started run crashes its worker, or nothing if it does not.
using crash_rule = std::function<std::optional<duration>(const flow_task_id&, const start_run&)>;

// Every run of `task` crashes its worker at the age `age`.
crash_rule crashes_after(const flow_task_id& task, duration age)
{
    return [task, age](const flow_task_id& started, const start_run&) {
        return started == task ? std::optional(age) : std::nullopt;
    };
}

bool has_failed(flow_simulation& w, int entry, const std::string& job)
{
    return w.state(entry, job) == flow_state::failed;
}

// Runs a job of which one task crashes its workers, in a step modified by `change`, beside the lasting tasks of another
// job. Checks that the first job fails and that the other one keeps running.
void check_culprit_fails(flow_simulation::options options, const std::function<void(flow_step&)>& change)
{
    flow_simulation w(std::move(options));
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_b, lasting_spec(4, 2000)) == caller_result::accepted);
    flow_spec spec = chain_spec(1, 4, 2000);
    change(spec.steps.front());
    BOOST_REQUIRE(w.submit(0, job_a, spec) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return has_failed(w, 0, job_a); }, give_up_limit));
    BOOST_TEST(w.crash_count_of(culprit) >= min_crashes);
    w.run_for(20s);
    BOOST_TEST(w.count_running_tasks(job_a) == 0);
    BOOST_TEST(w.count_running_tasks(job_b) == 4);
    check_no_violations(w);
}

flow_simulation::options culprit_options(duration age)
{
    flow_simulation::options options;
    options.workers_per_data_centre = 8;
    options.run_time = [](const flow_task_id&) { return duration(1s); };
    options.worker_crash_delay = crashes_after(culprit, age);
    return options;
}

// Changes the owner of the cell.
using owner_change = std::function<void(flow_simulation&, int owner)>;

void stop_by_plan(flow_simulation& w, int owner)
{
    w.shut_down_entry(owner);
    w.start_entry(owner);
}

void kill_and_restart(flow_simulation& w, int owner)
{
    w.kill_entry(owner);
    w.start_entry(owner);
}

// Changes the owner of the cell so many times, each `gap` after the last.
void change_owners(flow_simulation& w, int entries, int times, duration gap, const owner_change& change)
{
    for (int i = 0; i < times; ++i) {
        w.run_for(gap);
        if (const int owner = owner_of(w, "a", entries); owner >= 0) {
            change(w, owner);
        }
    }
}

// What becomes of orders to a worker that has crashed: its machine refuses them at once, or they time out.
enum class dead_worker { refuses_connections, is_silent };

// Runs twelve jobs of which two tasks each crash their workers, lets `disturb` change owners, if given, and returns
// which entry to ask then. Checks that each job fails.
void check_culprits_fail(std::uint64_t seed, dead_worker dead,
                         const std::function<int(flow_simulation&, int entries)>& disturb)
{
    constexpr int jobs = 12;
    constexpr int crashing_tasks = 2; // tasks of each job
    flow_simulation::options options;
    options.seed = seed;
    options.entries_per_data_centre = disturb ? 3 : 2;
    options.workers_per_data_centre = 24;
    options.crash_restart_delay = 3s;
    options.crash_refuses_connections = dead == dead_worker::refuses_connections;
    options.run_time = [](const flow_task_id&) { return duration(1s); };
    options.worker_crash_delay = [](const flow_task_id& task, const start_run&) {
        return task.index < crashing_tasks ? std::optional<duration>(10ms) : std::nullopt;
    };
    const int entries = options.entries_per_data_centre;
    flow_simulation w(std::move(options));
    w.run_for(2s);
    std::vector<std::string> names;
    for (int i = 0; i < jobs; ++i) {
        names.push_back(fmt::format("00000000000000{:02x}", i + 1));
        BOOST_REQUIRE(w.submit(i % entries, names.back(), chain_spec(1, 10, 2000)) == caller_result::accepted);
        w.run_for(duration((seed % 4) * 100'000));
    }
    const int asked = disturb ? disturb(w, entries) : 0;
    BOOST_TEST(w.run_until(
        [&] {
            return std::all_of(names.begin(), names.end(),
                               [&](const std::string& job) { return has_failed(w, asked, job); });
        },
        give_up_limit));
    check_no_violations(w);
}

// The same, and kills the owner of the cell so long after the last job was accepted.
void check_culprits_fail_without_owner(std::uint64_t seed, dead_worker dead, duration killed_after)
{
    check_culprits_fail(seed, dead, [&](flow_simulation& w, int entries) {
        w.run_for(killed_after);
        const int owner = owner_of(w, "a", entries);
        w.kill_entry(owner);
        return (owner + 1) % entries;
    });
}

// The same, and stops the owner of the cell by plan eight times, about every 2 s.
void check_culprits_fail_while_owners_stop(std::uint64_t seed, dead_worker dead)
{
    check_culprits_fail(seed, dead, [&](flow_simulation& w, int entries) {
        change_owners(w, entries, 8, 1500ms + 250ms * (seed % 8), stop_by_plan);
        return 0;
    });
}

// A site whose workers crash for reasons of their own.
flow_simulation::options innocent_options(std::uint64_t seed, int workers)
{
    return {.seed = seed,
            .workers_per_data_centre = workers,
            .run_time = [](const flow_task_id&) { return duration(2s); },
            .crash_refuses_connections = seed % 2 == 0};
}

void submit_innocents(flow_simulation& w, int lasting_tasks, int steps, int tasks)
{
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_b, lasting_spec(lasting_tasks, 2000)) == caller_result::accepted);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(steps, tasks)) == caller_result::accepted);
}

void check_innocents(flow_simulation& w)
{
    BOOST_TEST(!has_failed(w, 0, job_a));
    BOOST_TEST(!has_failed(w, 0, job_b));
    check_no_violations(w);
}

// Crashes one worker of eight each 1.5 s on the average, while the owner of the cell changes about every 3 s. Checks
// that no job fails.
void check_innocents_run(std::uint64_t seed, const owner_change& change)
{
    constexpr int entries = 3;
    random_source random = make_random(seed);
    flow_simulation::options options = innocent_options(seed, 8);
    options.entries_per_data_centre = entries;
    flow_simulation w(std::move(options));
    submit_innocents(w, 12, 30, 8);
    for (int crash = 0; crash < 60; ++crash) {
        w.run_for(duration(absl::Uniform(random, 0, 1'500'000)));
        w.crash_worker(absl::Uniform(random, 0, w.worker_count()), true);
        w.run_for(duration(absl::Uniform(random, 0, 1'500'000)));
        if (const int owner = owner_of(w, "a", entries); owner >= 0 && crash % 2 == 0) {
            change(w, owner);
        }
    }
    w.run_for(10s);
    check_innocents(w);
}

} // namespace

// Guards against starting a task again without end when it crashes each worker it runs on.
BOOST_AUTO_TEST_CASE(a_task_that_crashes_its_workers_is_given_up)
{
    flow_simulation w(culprit_options(10ms));
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_b, chain_spec(20, 4)) == caller_result::accepted);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 24)) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return has_failed(w, 0, job_a); }, give_up_limit));
    BOOST_TEST(has_failed(w, 1, job_a));
    BOOST_TEST(w.crash_count_of(culprit) >= min_crashes);
    BOOST_TEST(w.run_until([&] { return w.state(0, job_b) == flow_state::done; }, give_up_limit));
    check_no_violations(w);
}

// Guards against losing the crash count of a task when its cell gets another owner.
BOOST_AUTO_TEST_CASE(crashes_under_a_task_outlast_the_owner_of_its_cell)
{
    flow_simulation::options options = culprit_options(10ms);
    options.entries_per_data_centre = 3;
    flow_simulation w(std::move(options));
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 24)) == caller_result::accepted);
    for (int round = 0; round < 8 && !has_failed(w, (round + 1) % 3, job_a); ++round) {
        w.run_for(4s);
        if (const int owner = owner_of(w, "a", 3); owner >= 0) {
            w.kill_entry(owner);
            w.start_entry(owner);
        }
        w.run_for(8s);
    }
    BOOST_TEST(has_failed(w, 0, job_a));
    check_no_violations(w);
}

// Guards against a kind of step in which a run that ends with its worker's crash is not counted.
BOOST_AUTO_TEST_CASE(a_task_that_crashes_its_workers_is_given_up_in_every_kind_of_step)
{
    const std::vector<std::pair<const char*, std::function<void(flow_step&)>>> kinds{
        {"plain", [](flow_step&) {}},
        {"gang", [](flow_step& s) { s.gang = true; }},
        {"speculative", [](flow_step& s) { s.speculative = true; }},
        {"lasting", [](flow_step& s) { s.lasting = true; }},
        {"filling", [](flow_step& s) { s.filling = true; }},
        {"checkpointing", [](flow_step& s) { s.checkpointing = true; }},
        {"apart", [](flow_step& s) { s.per_worker_most = 1; }},
    };
    for (const auto& [name, change] : kinds) {
        BOOST_TEST_CONTEXT(name)
        {
            flow_simulation::options options = culprit_options(10ms);
            options.gang_start_barrier = true;
            options.gang_timeouts_allowed = true;
            check_culprit_fails(std::move(options), change);
        }
    }
}

// A lasting task (one that runs until it is stopped) crashes its worker 5 s after each start.
BOOST_AUTO_TEST_CASE(a_lasting_task_that_crashes_its_workers_late_is_given_up)
{
    check_culprit_fails(culprit_options(5s), [](flow_step& s) { s.lasting = true; });
}

// Each crashed worker restarts after 9 s, longer than a lease, so that its runs are taken for expired.
BOOST_AUTO_TEST_CASE(a_crash_counts_when_the_worker_comes_back_after_its_leases)
{
    flow_simulation::options options = culprit_options(10ms);
    options.crash_restart_delay = 9s;
    check_culprit_fails(std::move(options), [](flow_step&) {});
}

// The start command gets no answer because the run crashes the worker at once.
BOOST_AUTO_TEST_CASE(a_start_that_is_not_answered_counts_as_well)
{
    check_culprit_fails(culprit_options(0ms), [](flow_step&) {});
}

// All tasks of a step crash their workers 10 ms after their start.
BOOST_AUTO_TEST_CASE(a_job_all_of_whose_tasks_crash_their_workers_is_given_up)
{
    flow_simulation::options options = culprit_options(10ms);
    options.worker_crash_delay = [](const flow_task_id& task, const start_run&) {
        return task.job.str() == job_a ? std::optional<duration>(10ms) : std::nullopt;
    };
    flow_simulation w(std::move(options));
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 24)) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return has_failed(w, 0, job_a); }, give_up_limit));
    check_no_violations(w);
}

// The second occurrence of a job that repeats every 2 s crashes its workers; crashes are counted per occurrence.
BOOST_AUTO_TEST_CASE(an_occurrence_that_crashes_its_workers_is_given_up)
{
    const flow_task_id second{job_id(job_a), 1, 0, 0};
    flow_simulation::options options = culprit_options(10ms);
    options.worker_crash_delay = crashes_after(second, 10ms);
    flow_simulation w(std::move(options));
    w.run_for(2s);
    flow_spec spec = chain_spec(1, 3);
    spec.occurrences = 3;
    spec.first_due = wall_time((w.now() + 1s).time_since_epoch());
    spec.interval = 2s;
    BOOST_REQUIRE(w.submit(0, job_a, spec) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return has_failed(w, 0, job_a); }, give_up_limit));
    BOOST_TEST(w.crash_count_of(second) >= min_crashes);
    check_no_violations(w);
}

// A task crashes its worker whenever it starts from its checkpoint, and succeeds when it starts without one.
BOOST_AUTO_TEST_CASE(a_checkpoint_that_crashes_its_workers_is_not_used_again)
{
    flow_simulation::options options = culprit_options(10ms);
    options.worker_crash_delay = [](const flow_task_id& task, const start_run& start) {
        return task == culprit && !start.checkpoint.empty() ? std::optional<duration>(10ms) : std::nullopt;
    };
    flow_simulation w(std::move(options));
    w.run_for(2s);
    flow_spec spec = chain_spec(1, 1);
    spec.steps.front().checkpointing = true;
    wire::flow_job_row row = make_job_row(spec);
    wire::flow_stage_row stage;
    stage.done = std::string(1, '\0');
    stage.checkpoints[0] = "saved";
    row.stages.push_back(stage);
    w.insert_unannounced_job(job_a, cell_id("a"), spec);
    row.queue = "q";
    row.service_name = "service";
    row.cell = "a";
    row.cell_epoch = 1;
    w.put_job_row(accepted_row(cell_id("a"), job_id(job_a)), row);
    BOOST_TEST(w.run_until([&] { return w.state(0, job_a) == flow_state::done; }, give_up_limit));
    BOOST_TEST(w.crash_count_of(culprit) >= min_crashes);
    check_no_violations(w);
}

// Guards against giving up tasks because their workers crash, one every 1.5 s, for reasons of their own.
BOOST_AUTO_TEST_CASE(no_task_is_given_up_for_crashes_of_its_workers)
{
    each_seed(6, [](std::uint64_t seed) {
        random_source random = make_random(seed);
        flow_simulation w(innocent_options(seed, 8));
        submit_innocents(w, 12, 30, 8);
        for (int crash = 0; crash < 60; ++crash) {
            w.run_for(1500ms);
            w.crash_worker(absl::Uniform(random, 0, w.worker_count()), true);
        }
        check_innocents(w);
    });
}

// Guards against giving up tasks because up to a seventh of the workers crashes at once, every 4 s.
BOOST_AUTO_TEST_CASE(no_task_is_given_up_for_crashes_of_many_workers_at_once)
{
    each_seed(4, [](std::uint64_t seed) {
        random_source random = make_random(seed);
        flow_simulation w(innocent_options(seed, 21));
        submit_innocents(w, 30, 40, 20);
        for (int round = 0; round < 15; ++round) {
            w.run_for(4s);
            for (int i = 0; i < 3; ++i) {
                w.crash_worker(absl::Uniform(random, 0, w.worker_count()), true);
            }
        }
        check_innocents(w);
    });
}

// Guards against giving up tasks that only ran on the same worker as a task that crashed it.
BOOST_AUTO_TEST_CASE(no_task_is_given_up_for_what_ran_beside_it)
{
    const std::vector<std::string> culprits{"00000000000000c1", "00000000000000c2", "00000000000000c3"};
    flow_simulation::options options = culprit_options(10ms);
    options.workers_per_data_centre = 3;
    options.worker_crash_delay = [](const flow_task_id& task, const start_run&) {
        const bool crashes = task.job.str().substr(14, 1) == "c" && task.index == 1;
        return crashes ? std::optional<duration>(10ms) : std::nullopt;
    };
    flow_simulation w(std::move(options));
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_b, lasting_spec(6, 2000)) == caller_result::accepted);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(10, 6, 500)) == caller_result::accepted);
    for (const std::string& job : culprits) {
        BOOST_REQUIRE(w.submit(0, job, chain_spec(1, 3, 500)) == caller_result::accepted);
    }
    for (const std::string& job : culprits) {
        BOOST_TEST(w.run_until([&] { return has_failed(w, 0, job); }, give_up_limit));
    }
    BOOST_TEST(w.run_until([&] { return w.state(0, job_a) == flow_state::done; }, give_up_limit));
    BOOST_TEST(w.count_running_tasks(job_b) == 6);
    check_no_violations(w);
}

// Tasks of several jobs crash workers at nearly the same time. If these crashes are taken for a common failure of the
// workers, no task's crash count rises and each task is started more often than allowed.
BOOST_AUTO_TEST_CASE(tasks_of_several_jobs_that_crash_workers_at_once_are_each_given_up)
{
    each_seed(8, [](std::uint64_t seed) { check_culprits_fail(seed, dead_worker::is_silent, nullptr); });
}

// Guards against more starts than allowed of such tasks when the owner of their cell is killed: crashes that it has
// noted and not written, or not heard of yet, are lost to its follower.
BOOST_AUTO_TEST_CASE(tasks_that_crash_workers_at_once_are_given_up_though_their_owner_is_killed)
{
    each_seed(16, [](std::uint64_t seed) {
        check_culprits_fail_without_owner(seed, dead_worker::is_silent, 500ms + 500ms * seed);
    });
}

// Guards against more starts than allowed of such tasks when the owner is killed once they run on dedicated workers:
// its follower knows neither how soon the workers crashed nor that nothing else ran there.
BOOST_AUTO_TEST_CASE(tasks_on_dedicated_workers_are_given_up_though_their_owner_is_killed)
{
    each_seed(4, [](std::uint64_t seed) {
        check_culprits_fail_without_owner(seed, dead_worker::is_silent, 13s + 500ms * seed);
    });
}

// The same where a crashed worker's machine refuses connections, so that its owner notices the crash at once.
BOOST_AUTO_TEST_CASE(tasks_whose_crashes_are_noticed_at_once_are_given_up_though_their_owner_is_killed)
{
    each_seed(30, [](std::uint64_t seed) {
        check_culprits_fail_without_owner(seed, dead_worker::refuses_connections, 500ms * seed);
    });
}

// Guards against more starts than allowed of such tasks when entries are restarted in turn: each owner is followed
// before it has heard whether a worker that does not answer has crashed, and its follower knows of no run there.
BOOST_AUTO_TEST_CASE(tasks_that_crash_workers_at_once_are_given_up_though_entries_are_stopped_in_turn)
{
    each_seed(
        8, [](std::uint64_t seed) { check_culprits_fail_while_owners_stop(seed, dead_worker::refuses_connections); });
}

// The same where orders to a crashed worker time out, so that its owner is often followed before it has noticed.
BOOST_AUTO_TEST_CASE(tasks_whose_workers_fall_silent_are_given_up_though_entries_are_stopped_in_turn)
{
    each_seed(8, [](std::uint64_t seed) { check_culprits_fail_while_owners_stop(seed, dead_worker::is_silent); });
}

// Guards against giving up tasks whose workers crash for reasons of their own, since each new owner learns late what
// ran there: owners stopped by plan tell of the crashes, killed ones only of starts on dedicated workers.
BOOST_AUTO_TEST_CASE(no_task_is_given_up_for_crashes_of_its_workers_while_owners_change)
{
    each_seed(4, [](std::uint64_t seed) {
        check_innocents_run(seed, stop_by_plan);
        check_innocents_run(seed, kill_and_restart);
    });
}
