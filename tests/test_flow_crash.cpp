// Tasks that crash the workers they are started on, and those that were beside them, in virtual time.
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";
const std::string job_b = "00000000000000bb";
const flow_task_id culprit{job_id(job_a), 0, 0, 0};
// A worker's lease, its next life and a start, for each crash that a task may cause before it is given up.
constexpr duration given_up_within = 60s;
constexpr int crashes_least = 2; // before a task may be given up

// More seeds by hand: test_flow_crash --run_test=NAME -- FIRST LAST
void each_seed(std::uint64_t last, const std::function<void(std::uint64_t)>& play)
{
    const auto& arguments = boost::unit_test::framework::master_test_suite();
    const bool by_hand = arguments.argc == 3;
    const std::uint64_t first = by_hand ? std::stoull(arguments.argv[1]) : 1;
    for (std::uint64_t seed = first; seed <= (by_hand ? std::stoull(arguments.argv[2]) : last); ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            play(seed);
        }
    }
}

using crash_rule = std::function<std::optional<duration>(const flow_task_id&, const start_run&)>;

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

// One task that crashes its workers, in a step as `change` makes it; bystanders run beside it.
void play_culprit(flow_simulation::options options, const std::function<void(flow_step&)>& change)
{
    flow_simulation w(std::move(options));
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_b, lasting_spec(4, 2000)) == caller_result::accepted);
    flow_spec spec = chain_spec(1, 4, 2000);
    change(spec.steps.front());
    BOOST_REQUIRE(w.submit(0, job_a, spec) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return has_failed(w, 0, job_a); }, given_up_within));
    BOOST_TEST(w.crash_count_of(culprit) >= crashes_least);
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

} // namespace

// A task that crashes each worker it starts on is started for ever.
BOOST_AUTO_TEST_CASE(a_task_that_crashes_its_workers_is_given_up)
{
    flow_simulation w(culprit_options(10ms));
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_b, chain_spec(20, 4)) == caller_result::accepted);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 24)) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return has_failed(w, 0, job_a); }, given_up_within));
    BOOST_TEST(has_failed(w, 1, job_a));
    BOOST_TEST(w.crash_count_of(culprit) >= crashes_least);
    BOOST_TEST(w.run_until([&] { return w.state(0, job_b) == flow_state::done; }, given_up_within));
    check_no_violations(w);
}

// The crashes under a task are forgotten when its cell changes owners.
BOOST_AUTO_TEST_CASE(crashes_under_a_task_outlast_the_owner_of_its_cell)
{
    flow_simulation::options options = culprit_options(10ms);
    options.entries_per_data_centre = 3;
    flow_simulation w(std::move(options));
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 24)) == caller_result::accepted);
    for (int round = 0; round < 8 && !has_failed(w, (round + 1) % 3, job_a); ++round) {
        w.run_for(4s);
        for (int i = 0; i < 3; ++i) {
            if (w.entry(i)->cells().at(cell_id("a"))->owns()) {
                w.kill_entry(i);
                w.start_entry(i);
                break;
            }
        }
        w.run_for(8s);
    }
    BOOST_TEST(has_failed(w, 0, job_a));
    check_no_violations(w);
}

// A run that ends with its worker is charged to nobody, in one kind of step or another.
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
            play_culprit(std::move(options), change);
        }
    }
}

// A lasting task is at work for a while before it crashes its worker, each time.
BOOST_AUTO_TEST_CASE(a_lasting_task_that_crashes_its_workers_late_is_given_up)
{
    play_culprit(culprit_options(5s), [](flow_step& s) { s.lasting = true; });
}

// The worker is away for longer than a lease, so that its runs are taken for lapsed.
BOOST_AUTO_TEST_CASE(a_crash_counts_when_the_worker_comes_back_after_its_leases)
{
    flow_simulation::options options = culprit_options(10ms);
    options.crash_restart_delay = 9s;
    play_culprit(std::move(options), [](flow_step&) {});
}

// The start itself is never answered, since it takes the worker along.
BOOST_AUTO_TEST_CASE(a_start_that_is_not_answered_counts_as_well)
{
    play_culprit(culprit_options(0ms), [](flow_step&) {});
}

// Every task of a step crashes its worker, all in the same moment.
BOOST_AUTO_TEST_CASE(a_job_all_of_whose_tasks_crash_their_workers_is_given_up)
{
    flow_simulation::options options = culprit_options(10ms);
    options.worker_crash_delay = [](const flow_task_id& task, const start_run&) {
        return task.job.str() == job_a ? std::optional<duration>(10ms) : std::nullopt;
    };
    flow_simulation w(std::move(options));
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 24)) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return has_failed(w, 0, job_a); }, given_up_within));
    check_no_violations(w);
}

// An occurrence of a timed job crashes its workers; its count is its own.
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
    BOOST_TEST(w.run_until([&] { return has_failed(w, 0, job_a); }, given_up_within));
    BOOST_TEST(w.crash_count_of(second) >= crashes_least);
    check_no_violations(w);
}

// A task crashes its worker whenever it starts from its checkpoint; from the beginning it does well.
BOOST_AUTO_TEST_CASE(a_checkpoint_that_crashes_its_workers_is_left_aside)
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
    BOOST_TEST(w.run_until([&] { return w.state(0, job_a) == flow_state::done; }, given_up_within));
    BOOST_TEST(w.crash_count_of(culprit) >= crashes_least);
    check_no_violations(w);
}

// Workers crash one after another by themselves, and innocent tasks are given up for it.
BOOST_AUTO_TEST_CASE(no_task_is_given_up_for_crashes_of_its_workers)
{
    each_seed(6, [](std::uint64_t seed) {
        random_source random = make_random(seed);
        flow_simulation w({.seed = seed,
                           .workers_per_data_centre = 8,
                           .run_time = [](const flow_task_id&) { return duration(2s); },
                           .crash_refuses_connections = seed % 2 == 0});
        w.run_for(2s);
        BOOST_REQUIRE(w.submit(0, job_b, lasting_spec(12, 2000)) == caller_result::accepted);
        BOOST_REQUIRE(w.submit(0, job_a, chain_spec(30, 8)) == caller_result::accepted);
        for (int crash = 0; crash < 60; ++crash) {
            w.run_for(1500ms);
            w.crash_worker(absl::Uniform(random, 0, w.worker_count()), true);
        }
        BOOST_TEST(!has_failed(w, 0, job_a));
        BOOST_TEST(!has_failed(w, 0, job_b));
        check_no_violations(w);
    });
}

// A seventh of the workers crashes at once, again and again.
BOOST_AUTO_TEST_CASE(no_task_is_given_up_for_crashes_of_many_workers_at_once)
{
    each_seed(4, [](std::uint64_t seed) {
        random_source random = make_random(seed);
        flow_simulation w({.seed = seed,
                           .workers_per_data_centre = 21,
                           .run_time = [](const flow_task_id&) { return duration(2s); },
                           .crash_refuses_connections = seed % 2 == 0});
        w.run_for(2s);
        BOOST_REQUIRE(w.submit(0, job_b, lasting_spec(30, 2000)) == caller_result::accepted);
        BOOST_REQUIRE(w.submit(0, job_a, chain_spec(40, 20)) == caller_result::accepted);
        for (int round = 0; round < 15; ++round) {
            w.run_for(4s);
            for (int i = 0; i < 3; ++i) {
                w.crash_worker(absl::Uniform(random, 0, w.worker_count()), true);
            }
        }
        BOOST_TEST(!has_failed(w, 0, job_a));
        BOOST_TEST(!has_failed(w, 0, job_b));
        check_no_violations(w);
    });
}

// A task that crashes its workers takes those beside it along, and these are given up in its stead.
BOOST_AUTO_TEST_CASE(no_task_is_given_up_for_what_ran_beside_it)
{
    const std::vector<std::string> culprits{"00000000000000c1", "00000000000000c2", "00000000000000c3"};
    flow_simulation::options options = culprit_options(10ms);
    options.workers_per_data_centre = 3;
    options.worker_crash_delay = [](const flow_task_id& task, const start_run&) {
        const bool guilty = task.job.str().substr(14, 1) == "c" && task.index == 1;
        return guilty ? std::optional<duration>(10ms) : std::nullopt;
    };
    flow_simulation w(std::move(options));
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_b, lasting_spec(6, 2000)) == caller_result::accepted);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(10, 6, 500)) == caller_result::accepted);
    for (const std::string& job : culprits) {
        BOOST_REQUIRE(w.submit(0, job, chain_spec(1, 3, 500)) == caller_result::accepted);
    }
    for (const std::string& job : culprits) {
        BOOST_TEST(w.run_until([&] { return has_failed(w, 0, job); }, given_up_within));
    }
    BOOST_TEST(w.run_until([&] { return w.state(0, job_a) == flow_state::done; }, given_up_within));
    BOOST_TEST(w.count_running_tasks(job_b) == 6);
    check_no_violations(w);
}

// Tasks of several jobs crash workers within moments of each other: taken for workers that go at once by a cause of
// their own, no task is charged, and each is started more often than it may be.
BOOST_AUTO_TEST_CASE(tasks_of_several_jobs_that_crash_workers_at_once_are_each_given_up)
{
    constexpr int jobs = 12;
    constexpr int crashing_each = 2; // of a job's tasks
    each_seed(8, [](std::uint64_t seed) {
        flow_simulation::options options;
        options.seed = seed;
        options.workers_per_data_centre = 24;
        options.crash_restart_delay = 3s;
        options.run_time = [](const flow_task_id&) { return duration(1s); };
        options.worker_crash_delay = [](const flow_task_id& task, const start_run&) {
            return task.index < crashing_each ? std::optional<duration>(10ms) : std::nullopt;
        };
        flow_simulation w(std::move(options));
        w.run_for(2s);
        std::vector<std::string> names;
        for (int i = 0; i < jobs; ++i) {
            names.push_back(fmt::format("00000000000000{:02x}", i + 1));
            BOOST_REQUIRE(w.submit(i % 2, names.back(), chain_spec(1, 10, 2000)) == caller_result::accepted);
            w.run_for(duration((seed % 4) * 100'000));
        }
        BOOST_TEST(w.run_until(
            [&] {
                return std::all_of(names.begin(), names.end(),
                                   [&](const std::string& job) { return has_failed(w, 0, job); });
            },
            given_up_within));
        check_no_violations(w);
    });
}
