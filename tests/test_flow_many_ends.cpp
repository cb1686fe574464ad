// Tests, in simulated time, that tasks run once although more of them end on a worker than one answer of it lists.
#include <boost/test/unit_test.hpp>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job = "00000000000000aa";
constexpr int entries = 3;
constexpr int tasks = 120;
constexpr duration run_time = 3s;
constexpr duration time_to_end = 20s; // several exchanges with each worker, and the writes between them

flow_simulation::options site_with_short_lists()
{
    flow_simulation::options o;
    o.data_centres = {"a"};
    o.entries_per_data_centre = entries;
    o.workers_per_data_centre = 2;
    o.ends_per_answer = 10;
    o.run_time = [](const flow_task_id&) { return run_time; };
    return o;
}

void start_all(flow_simulation& w)
{
    w.run_for(4s);
    BOOST_REQUIRE((w.submit(0, job, chain_spec(1, tasks, 100)) == caller_result::accepted));
    BOOST_REQUIRE(w.run_until([&] { return w.count_all_running_tasks() == tasks; }, 3s));
}

void check_each_ran_once(flow_simulation& w)
{
    BOOST_TEST(w.run_until([&] { return w.stored_outcome(job) != 0; }, time_to_end));
    BOOST_TEST(w.count_job_starts(job) == tasks);
    check_no_violations(w);
}

} // namespace

// Guards against starting ended tasks again when a new owner is told of some ends only.
BOOST_AUTO_TEST_CASE(tasks_that_end_while_a_cell_has_no_owner_run_once)
{
    flow_simulation w(site_with_short_lists());
    start_all(w);
    w.run_for(run_time - 1s);
    w.kill_entry(owner_of(w, "a", entries));
    check_each_ran_once(w);
}

// Guards against starting ended tasks again when their owner can't confirm ends because the table is away.
BOOST_AUTO_TEST_CASE(tasks_that_end_while_no_end_can_be_confirmed_run_once)
{
    flow_simulation w(site_with_short_lists());
    start_all(w);
    w.run_for(run_time - 1s);
    w.set_table_down(true);
    w.run_for(5s);
    w.set_table_down(false);
    check_each_ran_once(w);
}

// Guards against starting ended tasks again when the first answer of a worker's next life lists some of its ends only.
BOOST_AUTO_TEST_CASE(tasks_that_end_in_the_next_life_of_a_worker_run_once)
{
    flow_simulation::options o = site_with_short_lists();
    o.entries_per_data_centre = 1;
    o.workers_keep_their_id = true;
    o.crash_is_silent = true;
    o.holds_wait = true;
    o.run_time = [](const flow_task_id&) { return 100ms; };
    flow_simulation w(o);
    w.run_for(4s);
    w.restart_worker(0, 50ms);
    w.run_for(100ms);
    BOOST_REQUIRE((w.submit(0, job, chain_spec(1, tasks, 100)) == caller_result::accepted));
    check_each_ran_once(w);
    BOOST_TEST(w.count_log_events("run", "crashed_worker") == 0);
}
