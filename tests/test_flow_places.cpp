// Tests of promised places for lasting tasks that move, while owners are killed, messages and orders are lost and
// room is taken by others.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base_random_p.h"
#include "flow_limits_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";
const std::string job_b = "00000000000000bb";
constexpr duration away_most = 9s;  // of a lasting task
constexpr duration drain_time = 3s; // between the notice of a worker and its exit
constexpr duration check_step = 20ms;
constexpr duration phase_step = 10ms;
constexpr duration phase_end = 300ms;
constexpr resources no_room{100, 100, 0};
constexpr resources much_room{16000, 64000, 0};
constexpr resources less_room{12000, 64000, 0};

flow_spec apart_spec(int count, std::int64_t cpu_millis)
{
    flow_spec spec = lasting_spec(count, cpu_millis);
    spec.steps.front().per_worker_most = 1;
    return spec;
}

// A task of job_a runs on the only worker of cell a. Cell b has the most room for it, cell c less.
class leaving_task {
public:
    leaving_task() : world_({.data_centres = {"a", "b", "c"}, .workers_per_data_centre = 1})
    {
        for (const int i : {1, 2}) {
            world_.set_worker_capacity(i, no_room, 0ms);
        }
        world_.run_for(3s);
        world_.insert_unannounced_job(job_a, cell_id("a"), lasting_spec(1, 9000));
        BOOST_REQUIRE(world_.run_until([&] { return world_.count_running_tasks(job_a) == 1; }, 6s));
        world_.set_worker_capacity(1, much_room, 0ms);
        world_.set_worker_capacity(2, less_room, 0ms);
        world_.run_for(3s);
        giver_ = owner_of(world_, "a", entries);
        receiver_ = owner_of(world_, "b", entries);
        BOOST_REQUIRE(giver_ >= 0);
        BOOST_REQUIRE(receiver_ >= 0);
    }

    flow_simulation& world() { return world_; }
    int giver() const { return giver_; }
    int receiver() const { return receiver_; }

    // The worker says that it leaves, and exits after `drain`.
    void drain(duration drain)
    {
        world_.worker(0).draining = true;
        exit_ = world_.now() + drain;
    }

    void wait_for_request() { wait_for_more(world_.entry(giver_)->cells().at(cell_id("a"))->stats().places_asked); }
    void wait_for_promise()
    {
        wait_for_more(world_.entry(receiver_)->cells().at(cell_id("b"))->stats().places_promised);
    }

    void go_on(duration d, duration step = check_step)
    {
        const instant end = world_.now() + d;
        while (world_.now() < end) {
            if (!exited_ && world_.now() >= exit_) {
                world_.crash_worker(0, false);
                exited_ = true;
            }
            const duration now_on = std::min<duration>(step, end - world_.now());
            world_.run_for(now_on);
            away_ = world_.count_running_tasks(job_a) == 0 ? away_ + now_on : duration(0);
            longest_ = std::max(longest_, away_);
        }
    }

    void check_runs_again()
    {
        go_on(30s);
        BOOST_TEST(longest_ <= away_most, "away for " << longest_ / 1ms << " ms");
        BOOST_TEST(world_.count_running_tasks(job_a) == 1);
        check_no_violations(world_);
    }

    duration longest() const { return longest_; }

private:
    void wait_for_more(const std::int64_t& count)
    {
        const std::int64_t before = count;
        while (count == before && world_.now() < exit_) {
            go_on(1ms, 1ms);
        }
        BOOST_REQUIRE(count > before);
    }

    static constexpr int entries = 6;
    flow_simulation world_;
    int giver_ = -1;
    int receiver_ = -1;
    instant exit_{instant::max()};
    bool exited_ = false;
    duration away_{0};
    duration longest_{0};
};

// Kills the owner of one of the two cells at each phase after the promise.
void kill_after_promise(bool receiver)
{
    duration longest{0};
    for (duration phase{0}; phase <= phase_end; phase += phase_step) {
        BOOST_TEST_CONTEXT("killed " << phase / 1ms << " ms after the promise")
        {
            leaving_task t;
            t.drain(drain_time);
            t.wait_for_promise();
            t.go_on(phase, 1ms);
            t.world().kill_entry(receiver ? t.receiver() : t.giver());
            t.check_runs_again();
            longest = std::max(longest, t.longest());
        }
    }
    BOOST_TEST_MESSAGE(fmt::format("away for at most {} ms", longest / 1ms));
}

// Three cells with lasting jobs. Workers drain, exit and come back, owners are killed and start again, and answers of
// the table are lost. At most three of the twelve workers are away at once: the others have room for 54 tasks, and of
// at most 30 tasks no more than 5 are of one job, so each task always has a worker that can hold it.
class troubled_site {
public:
    explicit troubled_site(std::uint64_t seed)
        : random_(make_random(seed)),
          world_({.seed = seed,
                  .data_centres = {"a", "b", "c"},
                  .workers_per_data_centre = workers / 3,
                  .worker_cpu_millis = 12000})
    {
        world_.run_for(3s);
        for (int i = 0; i < 6; ++i) {
            const std::string job = fmt::format("{:016x}", i + 1);
            const int count = 2 + below(4);
            tasks_[job] = count;
            world_.insert_unannounced_job(job, cell_id(std::string(1, static_cast<char>('a' + below(2)))),
                                          i % 2 == 0 ? apart_spec(count, 2000) : lasting_spec(count, 2000));
        }
        BOOST_REQUIRE(world_.run_until([&] { return all_run(); }, 15s));
    }

    flow_simulation& world() { return world_; }

    // Returns how long after the round's last disturbance all tasks run, at most 40 s.
    duration play_round()
    {
        const instant begun = world_.now();
        instant next = begun;
        disturbed_ = begun;
        while (world_.now() - begun < trouble || !killed_.empty() || world_.now() < disturbed_) {
            if (world_.now() >= next && world_.now() - begun < trouble) {
                next = world_.now() + 100ms + below(900) * 1ms;
                disturb();
            }
            start_killed();
            world_.run_for(check_step);
        }
        world_.run_until([&] { return all_run(); }, 40s);
        return world_.now() - disturbed_;
    }

private:
    static constexpr int entries = 6;
    static constexpr int workers = 12;
    static constexpr std::size_t away_at_once = 3;
    static constexpr duration trouble = 6s;
    static constexpr duration worker_gap = 5s; // between a worker's exit and its next life
    static constexpr duration restart_takes = 800ms;

    int below(int n) { return static_cast<int>(random_() % static_cast<std::uint64_t>(n)); }

    bool all_run() const
    {
        return std::all_of(tasks_.begin(), tasks_.end(),
                           [&](const auto& t) { return world_.count_running_tasks(t.first) == t.second; });
    }

    void disturb()
    {
        disturbed_ = std::max(disturbed_, world_.now());
        std::erase_if(away_until_, [&](const auto& a) { return world_.now() >= a.second; });
        const int kind = below(3);
        const int leaving = below(workers);
        const int owner = owner_of(world_, std::string(1, static_cast<char>('a' + below(3))), entries);
        if (kind == 0 && away_until_.size() < away_at_once && away_until_.count(leaving) == 0) {
            world_.replace_worker(leaving, drain_time, worker_gap);
            disturbed_ = world_.now() + drain_time;
            // A second more, until the list names its next life.
            away_until_[leaving] = disturbed_ + worker_gap + 1s;
        }
        else if (kind == 1 && killed_.empty() && owner >= 0) {
            world_.kill_entry(owner);
            killed_[owner] = world_.now() + restart_takes;
        }
        else {
            world_.drop_next_table_answers(1 + below(3));
        }
    }

    void start_killed()
    {
        std::erase_if(killed_, [&](const auto& k) {
            if (world_.now() < k.second) {
                return false;
            }
            world_.start_entry(k.first);
            disturbed_ = std::max(disturbed_, world_.now());
            return true;
        });
    }

    random_source random_;
    flow_simulation world_;
    std::map<std::string, int> tasks_;  // number by job
    std::map<int, instant> killed_;     // entries, with the time at which each starts again
    std::map<int, instant> away_until_; // workers
    instant disturbed_{};               // end of the last disturbance; in the future while a worker drains
};

} // namespace

// A task is handed to a cell whose owner is killed with its promise, and no follower starts it.
BOOST_AUTO_TEST_CASE(a_task_runs_again_though_the_owner_that_promised_its_place_is_killed)
{
    kill_after_promise(true);
}

// A task is stopped for a place by an owner that is killed before it has handed the task off.
BOOST_AUTO_TEST_CASE(a_task_runs_again_though_the_owner_that_was_promised_its_place_is_killed)
{
    kill_after_promise(false);
}

// A task is stopped for a place of which its owner can hear nothing.
BOOST_AUTO_TEST_CASE(a_task_whose_owner_hears_no_peer_runs_until_its_draining_worker_exits)
{
    leaving_task t;
    t.world().cut_entry_from_peers(t.giver(), true);
    t.go_on(1s);
    t.drain(drain_time);
    t.go_on(drain_time);
    BOOST_TEST(t.longest() == duration(0));
    t.world().cut_entry_from_peers(t.giver(), false);
    t.check_runs_again();
    BOOST_TEST_MESSAGE(fmt::format("away for {} ms", t.longest() / 1ms));
}

// A task whose run ends after its promise is over finds its place taken, and stays where it has none.
BOOST_AUTO_TEST_CASE(a_task_that_comes_after_its_promise_runs_in_a_third_cell)
{
    constexpr duration stops_lost = 4s;
    leaving_task t;
    t.world().worker(1).labels.emplace_back("own");
    t.go_on(3s);
    t.drain(2 * drain_time);
    t.world().drop_stop_orders(true);
    t.wait_for_promise();
    flow_spec other = lasting_spec(1, 9000);
    other.steps.front().label = "own";
    t.world().insert_unannounced_job(job_b, cell_id("b"), other);
    t.go_on(stops_lost);
    BOOST_TEST(t.world().worker(1).running.count({job_id(job_b), 0, 0, 0}) == 1U);
    t.world().drop_stop_orders(false);
    t.check_runs_again();
    BOOST_TEST(t.world().worker(2).running.count({job_id(job_a), 0, 0, 0}) == 1U);
    BOOST_TEST_MESSAGE(fmt::format("away for {} ms, given away {} times", t.longest() / 1ms,
                                   t.world().count_log_events("task", "given_away")));
}

// The room of a promise whose task never comes is kept from other work for ever.
BOOST_AUTO_TEST_CASE(the_room_of_a_task_that_never_comes_goes_back_to_short_work)
{
    leaving_task t;
    t.world().worker(1).labels.emplace_back("own");
    t.go_on(3s);
    t.drain(drain_time);
    t.world().drop_stop_orders(true);
    t.wait_for_promise();
    const instant promised = t.world().now();
    t.world().send_cancel(t.giver(), job_a);
    flow_spec short_work = chain_spec(1, 1, 9000);
    short_work.steps.front().label = "own";
    t.world().insert_unannounced_job(job_b, cell_id("b"), short_work);
    t.go_on(1s);
    t.world().drop_stop_orders(false);
    const bool started = t.world().run_until([&] { return t.world().count_job_starts(job_b) > 0; },
                                             promised + flow_limits::place_promise_timeout + 1s - t.world().now());
    BOOST_TEST(started);
    BOOST_TEST_MESSAGE(fmt::format("started {} ms after the promise", (t.world().now() - promised) / 1ms));
    t.go_on(5s);
    BOOST_TEST(t.world().count_running_tasks(job_a) == 0);
    check_no_violations(t.world());
}

// Two tasks that each may use one worker of a cell are promised the same one, or neither.
BOOST_AUTO_TEST_CASE(two_jobs_bound_to_one_a_worker_leave_two_cells_at_once_for_a_worker_each)
{
    flow_simulation w({.data_centres = {"a", "b", "c"}, .workers_per_data_centre = 2});
    for (const int i : {1, 2, 3, 5}) {
        w.set_worker_capacity(i, no_room, 0ms);
    }
    w.run_for(3s);
    w.insert_unannounced_job(job_a, cell_id("a"), apart_spec(2, 4000));
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 2; }, 9s));
    BOOST_REQUIRE(w.worker(0).running.size() == 1);
    BOOST_REQUIRE(w.worker(4).running.size() == 1);
    w.set_worker_capacity(0, {4000, 64000, 0}, 0ms);
    w.set_worker_capacity(4, {4000, 64000, 0}, 0ms);
    w.set_worker_capacity(2, much_room, 0ms);
    w.set_worker_capacity(5, much_room, 0ms);
    w.run_for(3s);
    w.insert_unannounced_job(job_b, cell_id("b"), apart_spec(2, 4000));
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_b) == 2; }, 9s));
    BOOST_REQUIRE(w.worker(2).running.size() == 1);
    BOOST_REQUIRE(w.worker(5).running.size() == 1);
    w.set_worker_capacity(4, {8000, 64000, 0}, 0ms);
    w.set_worker_capacity(5, {8000, 64000, 0}, 0ms);
    w.run_for(3s);
    const std::int64_t given = w.count_log_events("task", "given_away");
    w.worker(0).draining = true;
    w.worker(2).draining = true;
    w.run_for(drain_time);
    w.crash_worker(0, false);
    w.crash_worker(2, false);
    BOOST_TEST(w.run_until([&] { return w.count_all_running_tasks() == 4; }, away_most - drain_time));
    BOOST_TEST(w.worker(4).running.size() == 2U);
    BOOST_TEST(w.worker(5).running.size() == 2U);
    BOOST_TEST(w.count_log_events("task", "given_away") - given == 2);
    check_no_violations(w);
}

// Two tasks of a job that must be apart are both promised the only worker of another cell, and the second is stopped.
BOOST_AUTO_TEST_CASE(one_of_two_tasks_bound_to_one_a_worker_leaves_for_a_cell_of_one_worker)
{
    flow_simulation w({.data_centres = {"a", "b"}, .workers_per_data_centre = 2});
    for (const int i : {1, 2, 3}) {
        w.set_worker_capacity(i, no_room, 0ms);
    }
    w.run_for(3s);
    w.insert_unannounced_job(job_a, cell_id("a"), apart_spec(2, 4000));
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 1; }, 9s));
    BOOST_REQUIRE(w.worker(0).running.begin()->first.index == 0); // leaves first
    w.set_worker_capacity(1, much_room, 0ms);
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 2; }, 9s));
    w.set_worker_capacity(2, much_room, 0ms);
    w.run_for(3s);
    const std::int64_t given = w.count_log_events("task", "given_away");
    w.worker(0).draining = true;
    w.worker(1).draining = true;
    w.run_for(drain_time);
    BOOST_TEST(w.worker(1).running.size() == 1U);
    BOOST_TEST(w.worker(2).running.size() == 1U);
    BOOST_TEST(w.count_log_events("task", "given_away") - given == 1);
    check_no_violations(w);
}

// A task on a draining worker waits for the answer of an owner that has none to give, while another cell has room.
BOOST_AUTO_TEST_CASE(a_task_leaves_a_draining_worker_though_the_owner_asked_first_does_not_answer)
{
    leaving_task t;
    t.drain(drain_time);
    t.wait_for_request();
    t.world().pause_entry(t.receiver());
    t.go_on(flow_limits::place_answer_timeout + 2 * flow_limits::drain_interval);
    BOOST_TEST(t.world().worker(2).running.size() == 1U);
    t.world().resume_entry(t.receiver());
    t.check_runs_again();
}

// An owner floods the others with requests for places that nobody has.
BOOST_AUTO_TEST_CASE(an_owner_asks_for_a_bounded_number_of_places_where_no_cell_has_one)
{
    constexpr int jobs = 120; // enough that the bound is met
    constexpr int entries = 4;
    constexpr duration asked_for = 10s;
    flow_simulation w({.data_centres = {"a", "b"}, .workers_per_data_centre = 2});
    w.run_for(3s);
    flow_spec spec = apart_spec(4, 100);
    spec.steps.front().need.memory_mib = 100;
    for (int i = 0; i < jobs; ++i) {
        w.insert_unannounced_job(fmt::format("{:016x}", i + 1), cell_id("a"), spec);
    }
    BOOST_REQUIRE(w.run_until([&] { return w.count_all_running_tasks() == 4 * jobs; }, 20s));
    w.run_for(3s);
    const int giver = owner_of(w, "a", entries);
    BOOST_REQUIRE(giver >= 0);
    const auto& stats = w.entry(giver)->cells().at(cell_id("a"))->stats();
    const std::int64_t before = stats.places_asked;
    w.worker(0).draining = true;
    w.run_for(asked_for);
    const std::int64_t asked = stats.places_asked - before;
    BOOST_TEST_MESSAGE(fmt::format("asked for {} places in {} s", asked, asked_for / 1s));
    BOOST_TEST(asked > 0); // cells tell of room: it is the tasks that have to be apart
    BOOST_TEST(asked <= (asked_for / flow_limits::handoff_interval + 1) * flow_limits::max_places_asked);
    BOOST_TEST(w.worker(0).running.size() == static_cast<std::size_t>(jobs));
    check_no_violations(w);
}

namespace {

// Starts a task of job_a on the first worker, gives the second worker much room after that, and evacuates the data
// centre.
void start_and_evacuate(flow_simulation& w, const std::string& data_centre)
{
    w.set_worker_capacity(1, no_room, 0ms);
    w.run_for(3s);
    w.insert_unannounced_job(job_a, cell_id("a"), lasting_spec(1, 9000));
    BOOST_REQUIRE(w.run_until([&] { return w.worker(0).running.size() == 1; }, 6s));
    w.set_worker_capacity(1, much_room, 0ms);
    w.run_for(3s);
    w.evacuate(data_centre);
    w.run_for(2s);
}

} // namespace

// A task on a draining worker of an evacuated data centre is stopped for a place there, where it may not start.
BOOST_AUTO_TEST_CASE(a_task_leaves_a_draining_worker_of_an_evacuated_data_centre_for_another_one)
{
    flow_simulation w({.data_centres = {"a", "b"}, .workers_per_data_centre = 2});
    start_and_evacuate(w, "a");
    const std::int64_t starts = w.worker(1).starts;
    w.worker(0).draining = true;
    w.run_for(drain_time);
    w.crash_worker(0, false);
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_a) == 1; }, away_most - drain_time));
    BOOST_TEST(w.worker(1).starts == starts);
    BOOST_TEST(w.worker(2).running.size() + w.worker(3).running.size() == 1U);
    check_no_violations(w);
}

// A task is stopped for a place in an evacuated data centre that has the only room.
BOOST_AUTO_TEST_CASE(a_task_does_not_leave_a_draining_worker_for_an_evacuated_data_centre)
{
    flow_simulation w({.data_centres = {"a", "b"}, .workers_per_data_centre = 1});
    start_and_evacuate(w, "b");
    w.worker(0).draining = true;
    w.run_for(drain_time);
    BOOST_TEST(w.worker(0).running.size() == 1U);
    w.crash_worker(0, false);
    w.take_back("b");
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_a) == 1; }, away_most));
    check_no_violations(w);
}

// Some order of exits, killed owners and lost answers leaves a task without a place that a worker could give it.
BOOST_AUTO_TEST_CASE(lasting_tasks_run_again_after_random_faults)
{
    duration longest{0};
    std::int64_t moves = 0;
    each_seed(10, [&](std::uint64_t seed) {
        troubled_site site(seed);
        for (int round = 0; round < 4; ++round) {
            const duration away = site.play_round();
            BOOST_TEST(away <= away_most,
                       "round " << round << ", all run " << away / 1ms << " ms after the last disturbance");
            longest = std::max(longest, away);
        }
        moves += site.world().count_log_events("task", "given_away");
        check_no_violations(site.world());
    });
    BOOST_TEST_MESSAGE(fmt::format("all run at most {} ms after the last disturbance, {} moves", longest / 1ms, moves));
}
