// Tests of lasting tasks on workers that drain: a task is stopped there only for a place that it then gets.
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
const std::string job_c = "00000000000000cc";
const std::string job_d = "00000000000000dd";
const std::string job_e = "00000000000000ee";
constexpr duration away_most = 9s;  // of a lasting task
constexpr duration drain_time = 3s; // between the notice of a worker and its exit
constexpr duration check_step = 50ms;

// Lets the worker drain and exit, and runs on until `over`. Returns the longest time in which fewer
// than `tasks` tasks of the job ran.
duration drain_worker(flow_simulation& w, int worker, const std::string& job, std::int64_t tasks, duration over)
{
    w.worker(worker).draining = true;
    duration away{0};
    duration longest{0};
    for (duration at{0}; at < over; at += check_step) {
        if (at == drain_time) {
            w.crash_worker(worker, false);
        }
        w.run_for(check_step);
        away = w.count_running_tasks(job) < tasks ? away + check_step : duration(0);
        longest = std::max(longest, away);
    }
    BOOST_TEST_MESSAGE(
        fmt::format("away for {} ms, given away {} times", longest / 1ms, w.count_log_events("task", "given_away")));
    return longest;
}

// Three cells of two workers. One task of job_a runs on each worker of the first two cells, and no worker takes a
// second one. The workers of the third cell take one task each, and have less room to spare than the others.
class spread_job {
public:
    explicit spread_job(std::int64_t room_of_last)
        : world_({.data_centres = {"a", "b", "c"}, .workers_per_data_centre = 2})
    {
        set_room_of_last(1000);
        world_.run_for(3s);
        flow_spec spec = lasting_spec(4, 4000);
        spec.steps.front().per_worker_most = 1;
        world_.insert_unannounced_job(job_a, cell_id("a"), spec);
        BOOST_REQUIRE(world_.run_until([&] { return world_.count_running_tasks(job_a) == 4; }, 9s));
        for (int i = 0; i < 4; ++i) {
            BOOST_REQUIRE(world_.worker(i).running.size() == 1);
        }
        set_room_of_last(room_of_last);
        world_.run_for(3s);
    }

    flow_simulation& world() { return world_; }

private:
    void set_room_of_last(std::int64_t cpu_millis)
    {
        for (int i = 4; i < 6; ++i) {
            world_.set_worker_capacity(i, {cpu_millis, 64000, 0}, 0ms);
        }
    }

    flow_simulation world_;
};

} // namespace

// A task is stopped for a cell that has processors left, but no worker that may take one more of its step.
BOOST_AUTO_TEST_CASE(a_lasting_task_bound_to_one_a_worker_leaves_a_draining_worker_for_the_cell_that_can_take_it)
{
    spread_job s(6000);
    BOOST_TEST(drain_worker(s.world(), 0, job_a, 4, 30s) <= away_most);
    BOOST_TEST(s.world().count_running_tasks(job_a) == 4);
    check_no_violations(s.world());
}

// A task is stopped although no cell can take it: it is down while its worker could still run it.
BOOST_AUTO_TEST_CASE(a_lasting_task_that_no_cell_can_take_runs_until_its_draining_worker_exits)
{
    spread_job s(1000);
    s.world().worker(0).draining = true;
    s.world().run_for(drain_time);
    BOOST_TEST(s.world().worker(0).running.size() == 1);
    check_no_violations(s.world());
}

// Two cells with processors left on one worker and memory on another each have a task sent to them, and send it on.
BOOST_AUTO_TEST_CASE(a_lasting_task_leaves_a_draining_worker_for_processors_and_memory_on_one_worker)
{
    flow_simulation w({.data_centres = {"a", "b", "c", "d"}, .workers_per_data_centre = 2});
    for (const int i : {1, 4, 5}) {
        w.set_worker_capacity(i, {1000, 1000, 0}, 0ms);
    }
    w.run_for(3s);
    flow_spec processors = lasting_spec(1, 15500);
    processors.steps.front().need.memory_mib = 100;
    flow_spec memory = lasting_spec(1, 1000);
    memory.steps.front().need.memory_mib = 63000;
    flow_spec moved = lasting_spec(1, 4000);
    moved.steps.front().need.memory_mib = 4000;
    w.insert_unannounced_job(job_a, cell_id("a"), moved);
    w.insert_unannounced_job(job_b, cell_id("b"), processors);
    w.insert_unannounced_job(job_c, cell_id("d"), processors);
    BOOST_REQUIRE(w.run_until([&] { return w.count_all_running_tasks() == 3; }, 6s));
    w.insert_unannounced_job(job_d, cell_id("b"), memory);
    w.insert_unannounced_job(job_e, cell_id("d"), memory);
    BOOST_REQUIRE(w.run_until([&] { return w.count_all_running_tasks() == 5; }, 6s));
    BOOST_REQUIRE(w.worker(0).running.count({job_id(job_a), 0, 0, 0}) != 0);
    for (const int i : {2, 3, 6, 7}) {
        BOOST_REQUIRE(w.worker(i).running.size() == 1);
    }
    for (const int i : {4, 5}) {
        w.set_worker_capacity(i, {6000, 64000, 0}, 0ms);
    }
    w.run_for(3s);
    BOOST_TEST(drain_worker(w, 0, job_a, 1, 30s) <= away_most);
    BOOST_TEST(w.count_running_tasks(job_a) == 1);
    check_no_violations(w);
}

// Two owners that read the same report of room both stop a task for one place.
BOOST_AUTO_TEST_CASE(lasting_tasks_that_leave_two_cells_at_once_each_move_once)
{
    flow_simulation w({.data_centres = {"a", "b", "c", "d"}, .workers_per_data_centre = 1});
    w.set_worker_capacity(2, {100, 100, 0}, 0ms);
    w.set_worker_capacity(3, {100, 100, 0}, 0ms);
    w.run_for(3s);
    w.insert_unannounced_job(job_a, cell_id("a"), lasting_spec(1, 9000));
    w.insert_unannounced_job(job_b, cell_id("b"), lasting_spec(1, 9000));
    BOOST_REQUIRE(w.run_until([&] { return w.count_all_running_tasks() == 2; }, 6s));
    w.set_worker_capacity(2, {16000, 64000, 0}, 0ms);
    w.set_worker_capacity(3, {12000, 64000, 0}, 0ms);
    w.run_for(3s);
    w.worker(1).draining = true;
    drain_worker(w, 0, job_a, 1, 2s);
    BOOST_TEST(w.count_all_running_tasks() == 2);
    BOOST_TEST(w.worker(2).running.size() == 1);
    BOOST_TEST(w.worker(3).running.size() == 1);
    BOOST_TEST(w.count_log_events("task", "given_away") == 2);
    check_no_violations(w);
}

namespace {

// A first cell without room, `decoys` cells that have processors free on one worker and memory on the other, and a last
// cell with room on one worker.
class site_of_decoys {
public:
    site_of_decoys(int decoys, resources first, resources last)
        : world_({.data_centres = names(decoys + 2), .workers_per_data_centre = 2}), last_worker_(2 * (decoys + 1))
    {
        for (const int i : {0, 1, last_worker_, last_worker_ + 1}) {
            world_.set_worker_capacity(i, {100, 100, 0}, 0ms);
        }
        world_.run_for(3s);
        fill(decoys, 15500, 100, 1);
        fill(decoys, 1000, 63000, 2);
        for (int i = 2; i < last_worker_; ++i) {
            BOOST_REQUIRE(world_.worker(i).running.size() == 1);
        }
        world_.set_worker_capacity(0, first, 0ms);
        world_.run_for(3s);
        last_ = last;
    }

    void open_last_cell()
    {
        world_.set_worker_capacity(last_worker_, last_, 0ms);
        world_.run_for(3s);
    }

    flow_simulation& world() { return world_; }

private:
    static std::vector<std::string> names(int cells)
    {
        std::vector<std::string> names;
        names.reserve(static_cast<std::size_t>(cells));
        for (int i = 0; i < cells; ++i) {
            names.emplace_back(1, static_cast<char>('a' + i));
        }
        return names;
    }

    void fill(int decoys, std::int64_t cpu_millis, std::int64_t memory_mib, int jobs_of_cell)
    {
        flow_spec spec = lasting_spec(1, cpu_millis);
        spec.steps.front().need.memory_mib = memory_mib;
        for (int i = 0; i < decoys; ++i) {
            world_.insert_unannounced_job(fmt::format("{:014x}{:02x}", jobs_of_cell, i),
                                          cell_id(std::string(1, static_cast<char>('b' + i))), spec);
        }
        BOOST_REQUIRE(world_.run_until([&] { return world_.count_all_running_tasks() == jobs_of_cell * decoys; }, 6s));
    }

    flow_simulation world_;
    int last_worker_;
    resources last_;
};

flow_spec decoyed_spec(std::int32_t tasks, std::int64_t cpu_millis)
{
    flow_spec spec = lasting_spec(tasks, cpu_millis);
    spec.steps.front().need.memory_mib = 2000;
    return spec;
}

} // namespace

// Many tasks wait for a place, and more cells tell of room that no worker of theirs has than are asked in a second.
BOOST_AUTO_TEST_CASE(lasting_tasks_find_the_last_of_many_cells_that_tell_of_room)
{
    constexpr std::int32_t waiting = 16;
    site_of_decoys s(8, {100, 100, 0}, {14000, 64000, 0});
    flow_simulation& w = s.world();
    s.open_last_cell();
    w.insert_unannounced_job(job_a, cell_id("a"), decoyed_spec(waiting, 800));
    w.run_until([&] { return w.count_running_tasks(job_a) == waiting; }, away_most);
    BOOST_TEST(w.count_running_tasks(job_a) == waiting);
    check_no_violations(w);
}

// Tasks that wait in a cell use up its requests for places, so that none is asked for a task on a draining worker.
BOOST_AUTO_TEST_CASE(a_lasting_task_leaves_a_draining_worker_while_many_others_wait_for_a_place)
{
    site_of_decoys s(8, {1000, 4000, 0}, {4000, 64000, 0});
    flow_simulation& w = s.world();
    w.insert_unannounced_job(job_a, cell_id("a"), decoyed_spec(1, 800));
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 1; }, 6s));
    BOOST_REQUIRE(w.worker(0).running.size() == 1);
    s.open_last_cell();
    w.insert_unannounced_job(job_b, cell_id("a"), decoyed_spec(16, 8000));
    w.run_for(3s);
    BOOST_TEST(drain_worker(w, 0, job_a, 1, 30s) <= away_most);
    BOOST_TEST(w.count_running_tasks(job_a) == 1);
    check_no_violations(w);
}
