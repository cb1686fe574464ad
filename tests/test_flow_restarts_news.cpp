// News of jobs and of tasks that move, while the entries that hold them or that they are for are stopped, killed or
// turned away by the table.
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
constexpr duration started_most = 5s; // from when a job is accepted
constexpr duration away_most = 9s;    // of a lasting task
constexpr duration turned_away = 10s; // of an entry by the table
constexpr duration restart_gap = 400ms;
constexpr duration restart_takes = 800ms;

enum class stop_kind : std::uint8_t { killed, planned };

// Accepted by an entry that reaches no peer, and that is gone before it does. Whether the job was accepted.
bool accept_untold(flow_simulation& w, int entry, const std::string& job, const flow_spec& spec, stop_kind kind)
{
    w.cut_entry_from_peers(entry, true);
    w.send_submit(entry, job, spec);
    const bool accepted =
        w.run_until([&] { return w.answers().count(job) != 0 && !w.answers().at(job).empty(); }, 1s) &&
        w.answers().at(job).front() == caller_result::accepted;
    if (kind == stop_kind::planned) {
        w.shut_down_entry(entry);
    }
    else {
        w.kill_entry(entry);
    }
    w.cut_entry_from_peers(entry, false);
    return accepted;
}

void check_untold_job_starts(stop_kind kind, bool owner_turned_away, bool lasting)
{
    constexpr int entries = 3;
    flow_simulation w({.entries_per_data_centre = entries});
    w.run_for(3s);
    const int owner = owner_of(w, "a", entries);
    BOOST_REQUIRE(owner >= 0);
    w.cut_entry_from_table(owner, owner_turned_away);
    w.run_for(4s); // until it calls through peers
    BOOST_REQUIRE(owner_of(w, "a", entries) == owner);
    BOOST_REQUIRE(accept_untold(w, (owner + 1) % entries, job_a, lasting ? lasting_spec(1) : chain_spec(1, 1), kind));
    const instant accepted = w.now();
    const bool in_time = w.run_until([&] { return w.count_job_starts(job_a) > 0; }, started_most);
    BOOST_TEST(in_time);
    BOOST_TEST(owner_of(w, "a", entries) == owner);
    w.run_until([&] { return w.count_job_starts(job_a) > 0; }, turned_away - started_most);
    w.cut_entry_from_table(owner, false);
    w.run_until([&] { return w.count_job_starts(job_a) > 0; }, 10s);
    BOOST_TEST_MESSAGE(fmt::format("started {} ms after it was accepted", (w.now() - accepted) / 1ms));
    BOOST_TEST(w.count_job_starts(job_a) == 1);
    check_no_violations(w);
}

// A lasting task that ends in a cell without workers that take it, and what happens to entries around its move.
class moving_task {
public:
    moving_task() : world_({.data_centres = {"a", "b"}, .entries_per_data_centre = 3, .workers_per_data_centre = 2})
    {
        world_.run_for(3s);
        world_.insert_unannounced_job(job_a, cell_id("a"), lasting_spec(2, 1000));
        BOOST_REQUIRE(world_.run_until([&] { return world_.count_running_tasks(job_a) == 2; }, 5s));
        for (int i = 0; i < 2; ++i) {
            world_.set_worker_unlisted(i, true);
        }
        world_.run_for(2s);
        giver_ = owner_of(world_, "a", entries_count);
        receiver_ = owner_of(world_, "b", entries_count);
        BOOST_REQUIRE(giver_ >= 0);
        BOOST_REQUIRE(receiver_ >= 0);
    }

    flow_simulation& world() { return world_; }
    int giver() const { return giver_; }
    int receiver() const { return receiver_; }

    void end_run()
    {
        world_.fail_run({job_id(job_a), 0, 0, 0});
        ended_ = world_.now();
    }

    void wait_until_given()
    {
        const std::int64_t given = world_.count_log_events("task", "given_away");
        BOOST_REQUIRE(world_.run_until([&] { return world_.count_log_events("task", "given_away") > given; }, 4s));
    }

    void restart(int entry)
    {
        world_.kill_entry(entry);
        back_[entry] = world_.now() + restart_takes;
    }

    // Those of the data centre one after the other, the first one now.
    void restart_in_turn(int first)
    {
        for (int i = 0; i < entries_count / 2; ++i) {
            restart(first / 3 * 3 + (first + i) % 3);
            go_on(restart_gap);
        }
    }

    void go_on(duration d)
    {
        const instant end = world_.now() + d;
        while (world_.now() < end) {
            world_.run_for(20ms);
            for (auto at = back_.begin(); at != back_.end();) {
                if (world_.now() < at->second) {
                    ++at;
                    continue;
                }
                world_.start_entry(at->first);
                at = back_.erase(at);
            }
        }
    }

    // How long it was away; at most `most`.
    duration wait_until_it_runs(duration most)
    {
        while (world_.count_running_tasks(job_a) < 2 && world_.now() - ended_ < most) {
            go_on(20ms);
        }
        return world_.now() - ended_;
    }

private:
    static constexpr int entries_count = 6;
    flow_simulation world_;
    int giver_ = -1;
    int receiver_ = -1;
    instant ended_{};
    std::map<int, instant> back_;
};

void check_away(moving_task& m, duration* longest)
{
    const duration away = m.wait_until_it_runs(30s);
    *longest = std::max(*longest, away);
    BOOST_TEST(away <= away_most, "away for " << away / 1ms << " ms");
    check_no_violations(m.world());
}

} // namespace

// An owner learns by its own look of a job that the entry which accepted it could not tell it of.
BOOST_AUTO_TEST_CASE(a_job_accepted_by_an_entry_that_is_killed_untold_starts)
{
    check_untold_job_starts(stop_kind::killed, false, false);
}

// An entry that is stopped by plan releases its cells and forgets the rows that it has told nobody of.
BOOST_AUTO_TEST_CASE(a_job_accepted_by_an_entry_that_is_stopped_untold_starts)
{
    check_untold_job_starts(stop_kind::planned, false, false);
}

// An owner that calls the table through peers looks for no news.
BOOST_AUTO_TEST_CASE(a_job_of_a_killed_entry_starts_while_the_owner_is_turned_away)
{
    check_untold_job_starts(stop_kind::killed, true, false);
}

// The same with a stop by plan and a lasting job.
BOOST_AUTO_TEST_CASE(a_job_of_a_stopped_entry_starts_while_the_owner_is_turned_away)
{
    check_untold_job_starts(stop_kind::planned, true, true);
}

// Each entry accepts a job and is restarted at once, while those that own cells are restarted as well.
BOOST_AUTO_TEST_CASE(jobs_of_entries_that_restart_in_turn_start)
{
    constexpr int entries = 12;
    for (const duration page_time : {duration(0), duration(400ms)}) {
        for (const stop_kind kind : {stop_kind::killed, stop_kind::planned}) {
            // The row is written after 8 ms, the entry hears of it after 10 and the owner after 12.
            for (const duration stopped_after : {9ms, 10ms, 11ms, 13ms, 20ms}) {
                BOOST_TEST_CONTEXT("page " << page_time / 1ms << " ms, kind " << static_cast<int>(kind)
                                           << ", stopped after " << stopped_after / 1ms << " ms")
                {
                    flow_simulation w({.data_centres = {"a", "b"},
                                       .entries_per_data_centre = entries / 2,
                                       .workers_per_data_centre = 12,
                                       .rack_size = 6,
                                       .job_page_transfer_time = page_time});
                    w.run_for(5s);
                    std::map<std::string, instant> sent;
                    std::map<int, instant> back;
                    duration longest{0};
                    int refused = 0;
                    const instant begun = w.now();
                    int restarted = 0;
                    while (w.now() - begun < 35s) {
                        if (restarted < entries && w.now() - begun >= restart_gap * restarted) {
                            const std::string job = fmt::format("{:016x}", restarted + 1);
                            w.send_submit(restarted, job, chain_spec(1, 1));
                            sent[job] = w.now();
                            w.run_for(stopped_after);
                            if (kind == stop_kind::planned) {
                                w.entry(restarted)->plan_stop(w.now());
                                w.entry(restarted)->run_deferred_work(w.now());
                                back[restarted] = w.now() + 3s;
                            }
                            else {
                                w.kill_entry(restarted);
                                back[restarted] = w.now() + restart_takes;
                            }
                            ++restarted;
                        }
                        for (auto at = back.begin(); at != back.end();) {
                            if (w.entry(at->first) != nullptr && w.entry(at->first)->stopped()) {
                                w.kill_entry(at->first);
                            }
                            if (w.now() < at->second) {
                                ++at;
                                continue;
                            }
                            w.kill_entry(at->first);
                            w.start_entry(at->first);
                            at = back.erase(at);
                        }
                        std::erase_if(sent, [&](const auto& s) {
                            const bool started = w.count_job_starts(s.first) > 0;
                            longest = started ? std::max<duration>(longest, w.now() - s.second) : longest;
                            return started;
                        });
                        w.run_for(20ms);
                    }
                    for (const auto& [job, at] : sent) {
                        // One that was not written was not accepted.
                        const bool there = w.count_owner_rows(job) > 0;
                        BOOST_TEST(!there, "job " << job << " never started");
                        refused += there ? 0 : 1;
                    }
                    BOOST_TEST_MESSAGE(fmt::format("page {} ms, kind {}, after {} ms: longest {} ms, not there {}",
                                                   page_time / 1ms, static_cast<int>(kind), stopped_after / 1ms,
                                                   longest / 1ms, refused));
                    BOOST_TEST(longest <= away_most, "longest " << longest / 1ms << " ms");
                    check_no_violations(w);
                }
            }
        }
    }
}

// A task that moves to a cell whose owners restart one after the other is known to the last of them.
BOOST_AUTO_TEST_CASE(a_task_given_to_a_cell_whose_owners_restart_runs)
{
    duration longest{0};
    for (duration phase{0}; phase <= 1600ms; phase += 100ms) {
        BOOST_TEST_CONTEXT("restarts " << phase / 1ms << " ms after the end")
        {
            moving_task m;
            m.end_run();
            m.go_on(phase);
            m.restart_in_turn(m.receiver());
            check_away(m, &longest);
        }
    }
    BOOST_TEST_MESSAGE(fmt::format("longest {} ms", longest / 1ms));
}

// A task given to an owner that is followed at once waits for no worker that the follower cannot ask.
BOOST_AUTO_TEST_CASE(a_task_given_to_a_killed_owner_runs_beside_a_silent_worker)
{
    duration longest{0};
    for (duration phase{0}; phase <= 1600ms; phase += 100ms) {
        BOOST_TEST_CONTEXT("killed " << phase / 1ms << " ms after the end")
        {
            moving_task m;
            m.world().worker(2).reachable = false;
            m.go_on(500ms);
            m.end_run();
            m.go_on(phase);
            m.restart(m.receiver());
            check_away(m, &longest);
        }
    }
    BOOST_TEST_MESSAGE(fmt::format("longest {} ms", longest / 1ms));
}

// A giver that is killed after the write and before its message leaves the task to the receiver's look.
BOOST_AUTO_TEST_CASE(a_task_whose_giver_is_killed_runs)
{
    duration longest{0};
    for (duration phase{0}; phase <= 60ms; phase += 4ms) {
        BOOST_TEST_CONTEXT("killed " << phase / 1ms << " ms after giving it away")
        {
            moving_task m;
            m.end_run();
            m.wait_until_given();
            m.world().run_for(phase);
            m.restart(m.giver());
            check_away(m, &longest);
        }
    }
    BOOST_TEST_MESSAGE(fmt::format("longest {} ms", longest / 1ms));
}

// The same while the receiver, which the table turns away, makes no look.
BOOST_AUTO_TEST_CASE(a_task_whose_giver_is_killed_runs_while_its_receiver_is_turned_away)
{
    duration longest{0};
    for (duration phase{0}; phase <= 60ms; phase += 4ms) {
        BOOST_TEST_CONTEXT("killed " << phase / 1ms << " ms after giving it away")
        {
            moving_task m;
            m.world().cut_entry_from_table(m.receiver(), true);
            m.go_on(4s);
            m.end_run();
            m.wait_until_given();
            m.world().run_for(phase);
            m.restart(m.giver());
            m.go_on(turned_away);
            m.world().cut_entry_from_table(m.receiver(), false);
            check_away(m, &longest);
        }
    }
    BOOST_TEST_MESSAGE(fmt::format("longest {} ms", longest / 1ms));
}

namespace {

void check_one_a_worker(std::int64_t room_of_last)
{
    flow_simulation w({.data_centres = {"a", "b", "c"}, .workers_per_data_centre = 2});
    for (int i = 4; i < 6; ++i) {
        w.set_worker_capacity(i, {room_of_last, 64000, 0}, 0ms);
    }
    w.run_for(3s);
    flow_spec spec = lasting_spec(6, 4000);
    spec.steps.front().per_worker_most = 1;
    w.insert_unannounced_job(job_a, cell_id("a"), spec);
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_a) == 6; }, 2s + away_most));
    BOOST_TEST_MESSAGE(fmt::format("running {}, given away {} times", w.count_running_tasks(job_a),
                                   w.count_log_events("task", "given_away")));
    w.run_for(20s);
    BOOST_TEST(w.count_running_tasks(job_a) == 6);
    BOOST_TEST_MESSAGE(fmt::format("20 s later running {}, given away {} times", w.count_running_tasks(job_a),
                                   w.count_log_events("task", "given_away")));
    check_no_violations(w);
}

} // namespace

// Two cells that both have processors left, and no worker that may take one more of the step, send a task to and fro.
BOOST_AUTO_TEST_CASE(a_lasting_task_bound_to_one_a_worker_finds_the_cell_that_can_take_it)
{
    check_one_a_worker(6000);
}

// The same where the cell that can take it tells of the most room.
BOOST_AUTO_TEST_CASE(a_lasting_task_bound_to_one_a_worker_goes_to_the_cell_with_most_room)
{
    check_one_a_worker(64000);
}

// Two cells with processors left on one worker and memory on another send a task to and fro.
BOOST_AUTO_TEST_CASE(a_lasting_task_finds_the_cell_with_processors_and_memory_on_one_worker)
{
    flow_simulation w({.data_centres = {"a", "b", "c"}, .workers_per_data_centre = 2});
    w.set_worker_capacity(4, {6000, 64000, 0}, 0ms);
    w.set_worker_capacity(5, {6000, 64000, 0}, 0ms);
    w.run_for(3s);
    flow_spec processors = lasting_spec(1, 15500);
    processors.steps.front().need.memory_mib = 100;
    flow_spec memory = lasting_spec(1, 1000);
    memory.steps.front().need.memory_mib = 63000;
    w.insert_unannounced_job(job_b, cell_id("a"), processors);
    w.insert_unannounced_job(job_c, cell_id("b"), processors);
    w.run_for(2500ms);
    w.insert_unannounced_job(job_d, cell_id("a"), memory);
    w.insert_unannounced_job(job_e, cell_id("b"), memory);
    w.run_for(2500ms);
    for (const std::string& job : {job_b, job_c, job_d, job_e}) {
        BOOST_REQUIRE(w.count_running_tasks(job) == 1);
    }
    for (int i = 0; i < 4; ++i) {
        BOOST_REQUIRE(w.worker(i).running.size() == 1);
    }
    flow_spec spec = lasting_spec(1, 4000);
    spec.steps.front().need.memory_mib = 4000;
    w.insert_unannounced_job(job_a, cell_id("a"), spec);
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_a) == 1; }, 2s + away_most));
    BOOST_TEST_MESSAGE(fmt::format("running {}, given away {} times", w.count_running_tasks(job_a),
                                   w.count_log_events("task", "given_away")));
    w.run_for(20s);
    BOOST_TEST(w.count_running_tasks(job_a) == 1);
    BOOST_TEST_MESSAGE(fmt::format("20 s later running {}, given away {} times", w.count_running_tasks(job_a),
                                   w.count_log_events("task", "given_away")));
    check_no_violations(w);
}

// Short work takes what opens on a full site before a lasting task that waits in another cell has come there.
BOOST_AUTO_TEST_CASE(a_lasting_task_between_full_cells_takes_room_that_opens)
{
    duration longest{0};
    for (duration phase{0}; phase < 1s; phase += 100ms) {
        BOOST_TEST_CONTEXT("room opens after " << phase / 1ms << " ms")
        {
            flow_simulation w({.data_centres = {"a", "b"}, .workers_per_data_centre = 2});
            w.run_for(3s);
            w.insert_unannounced_job(job_b, cell_id("a"), lasting_spec(8, 4000));
            w.insert_unannounced_job(job_c, cell_id("b"), lasting_spec(7, 4000));
            w.insert_unannounced_job(job_d, cell_id("b"), lasting_spec(1, 4000));
            BOOST_REQUIRE(w.run_until([&] { return w.count_all_running_tasks() == 16; }, 6s));
            w.insert_unannounced_job(job_a, cell_id("a"), lasting_spec(1, 4000));
            w.insert_unannounced_job(job_e, cell_id("b"), chain_spec(1, 400, 1500));
            w.run_for(4s + phase);
            BOOST_REQUIRE(w.count_running_tasks(job_a) == 0);
            const instant opened = w.now();
            BOOST_REQUIRE(w.cancel(0, job_d) == caller_result::cancelled);
            BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_a) == 1; }, away_most));
            longest = std::max<duration>(longest, w.now() - opened);
            check_no_violations(w);
        }
    }
    BOOST_TEST_MESSAGE(fmt::format("longest {} ms", longest / 1ms));
}

namespace {

void check_displaced_run_again(const std::vector<duration>& short_runs)
{
    constexpr int displaced = 4;
    for (const duration short_run : short_runs) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            BOOST_TEST_CONTEXT("short runs of " << short_run / 1ms << " ms, seed " << seed)
            {
                flow_simulation w({.seed = seed,
                                   .data_centres = {"a", "b", "c", "d"},
                                   .workers_per_data_centre = 4,
                                   .run_time = [short_run, seed](const flow_task_id& task) {
                                       return short_run + (task.index * 37 + static_cast<int>(seed) * 101) % 400 * 1ms;
                                   }});
                w.run_for(3s);
                w.insert_unannounced_job(job_a, cell_id("a"), lasting_spec(8, 8000));
                BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 8; }, 6s));
                const std::vector<std::string> shorts{job_b, job_c, job_d};
                for (std::size_t i = 0; i < shorts.size(); ++i) {
                    w.insert_unannounced_job(shorts.at(i), cell_id(std::string(1, static_cast<char>('b' + i))),
                                             chain_spec(1, 400, 3000));
                }
                w.run_for(4s);
                w.set_worker_unlisted(0, true); // what runs there goes on, nothing more is started
                w.set_worker_unlisted(1, true);
                w.run_for(1500ms);
                std::vector<flow_task_id> ended;
                for (int i = 0; i < 2; ++i) {
                    for (const auto& [task, run] : w.worker(i).running) {
                        ended.push_back(task);
                    }
                }
                BOOST_REQUIRE(ended.size() == displaced);
                const std::int64_t given = w.count_log_events("task", "given_away");
                for (const flow_task_id& task : ended) {
                    w.fail_run(task);
                }
                const instant begun = w.now();
                const bool in_time = w.run_until([&] { return w.count_running_tasks(job_a) == 8; }, away_most);
                BOOST_TEST(in_time, w.count_running_tasks(job_a) << " of 8 run");
                w.run_until([&] { return w.count_running_tasks(job_a) == 8; }, 30s);
                BOOST_TEST_MESSAGE(fmt::format("short {} ms, seed {}: all run after {} ms, given away {} times",
                                               short_run / 1ms, seed, (w.now() - begun) / 1ms,
                                               w.count_log_events("task", "given_away") - given));
                check_no_violations(w);
            }
        }
    }
}

} // namespace

// A lasting task that waits where a worker empties for it leaves for room that others take before it comes.
BOOST_AUTO_TEST_CASE(lasting_tasks_that_ended_run_again_beside_short_work_in_many_cells)
{
    check_displaced_run_again({500ms, 1500ms, 2500ms});
}

// In a small cell one worker at a time empties for those that wait, which takes as long as a short run.
BOOST_AUTO_TEST_CASE(lasting_tasks_that_ended_run_again_beside_short_work_that_takes_seconds)
{
    check_displaced_run_again({4000ms});
}

// Two cells where short work could make way, but memory does not, send a task to and fro.
BOOST_AUTO_TEST_CASE(a_lasting_task_finds_the_cell_where_short_work_makes_room)
{
    flow_simulation w({.data_centres = {"a", "b", "c", "d"},
                       .workers_per_data_centre = 2,
                       .run_time = [](const flow_task_id& task) { return duration(500ms + task.index % 7 * 60ms); }});
    w.run_for(3s);
    flow_spec memory = lasting_spec(2, 1000);
    memory.steps.front().need.memory_mib = 60000;
    w.insert_unannounced_job(job_b, cell_id("b"), memory);
    w.insert_unannounced_job(job_c, cell_id("d"), memory);
    w.insert_unannounced_job(job_d, cell_id("c"), lasting_spec(4, 4000));
    w.insert_unannounced_job(job_e, cell_id("a"), lasting_spec(8, 4000));
    BOOST_REQUIRE(w.run_until([&] { return w.count_all_running_tasks() == 16; }, 6s));
    for (const std::string cell : {"b", "c", "d"}) {
        w.insert_unannounced_job("00000000000000f" + cell, cell_id(cell), chain_spec(1, 400, 2500));
    }
    w.run_for(4s);
    flow_spec spec = lasting_spec(1, 4000);
    spec.steps.front().need.memory_mib = 8000;
    w.insert_unannounced_job(job_a, cell_id("a"), spec);
    const std::int64_t given = w.count_log_events("task", "given_away");
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_a) == 1; }, 2s + away_most));
    BOOST_TEST_MESSAGE(fmt::format("running {}, given away {} times", w.count_running_tasks(job_a),
                                   w.count_log_events("task", "given_away") - given));
    check_no_violations(w);
}
