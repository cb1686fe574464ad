// Tests of a job's rows in the table. Each row is written by one cell's owner only; the state of the job follows from
// all of its rows together. News rows are the rows that one cell writes for the owner of another.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "flow_job_p.h"
#include "flow_row_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";

// Options for a site of two cells in which a large job has more tasks than its own cell has capacity for, so that many
// tasks move to the other cell.
flow_simulation::options overloaded_site()
{
    return {.data_centres = {"a", "b"},
            .workers_per_data_centre = 2,
            .table_latency = std::chrono::milliseconds(16),
            .run_time = [](const flow_task_id& t) { return duration(400ms + t.index % 11 * 60ms); }};
}

// Returns the first job id from `n` on whose rows are in the same partition of the table as those of `job`.
std::string id_in_same_partition(const std::string& job, int n)
{
    std::string id = fmt::format("{:016x}", n);
    while (job_part(job_id(id)) != job_part(job_id(job))) {
        id = fmt::format("{:016x}", ++n);
    }
    return id;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_rows_key_names_its_cell_its_job_and_its_writer)
{
    const job_id job(job_a);
    const cell_id cell("a.2");
    const std::string part = job_part(job);
    for (const job_row_name& name : {own_row(cell, job), accepted_row(cell, job), cancel_row(cell, job),
                                     late_ends_row(cell, job, incarnation_id("e1/7")), job_row_name{cell, job, "b"}}) {
        const store_key key = job_row_key(name);
        const store_range of_cell = cell_rows(key.table.c_str(), cell, part);
        BOOST_TEST((parse_job_row_key(key) == name));
        BOOST_TEST((key.part == part));
        BOOST_TEST((key.key >= of_cell.from && key.key < of_cell.to));
        BOOST_TEST((key.table == (name.is_own() ? jobs_table : news_table)));
        BOOST_TEST((name.is_own() || (key.key >= news_rows(cell, job).from && key.key < news_rows(cell, job).to)));
        for (const char* other : {"a", "a.", "a.20", "b"}) {
            const store_range of_other = cell_rows(key.table.c_str(), cell_id(other), part);
            BOOST_TEST((key.key < of_other.from || key.key >= of_other.to));
        }
    }
    BOOST_TEST(is_fence(fence_key(cell, part)));
    BOOST_TEST(!is_fence(job_row_key(own_row(cell, job))));
    BOOST_TEST((fence_key(cell, part).key >= cell_rows(jobs_table, cell, part).from));
    BOOST_TEST((index_cancel_key(job).key >= index_rows(job).from && index_cancel_key(job).key < index_rows(job).to));
}

// Guards against write conflicts between the owners of several cells, which delay rows by seconds.
BOOST_AUTO_TEST_CASE(no_write_is_refused_while_no_owner_changes)
{
    flow_simulation w(overloaded_site());
    w.run_for(2s);
    const std::vector<std::string> jobs{"0000000000000001", "0000000000000002", "0000000000000003"};
    for (const std::string& job : jobs) {
        w.insert_unannounced_job(job, cell_id("a"), chain_spec(2, 100, 1500));
    }
    BOOST_REQUIRE(w.run_until([&] { return w.stored_outcome(jobs.back()) != 0; }, 120s));
    BOOST_TEST(w.count_log_events("task", "given_away") > 100);
    BOOST_TEST(w.job_write_conflicts() == 0);
    check_no_violations(w);
}

// Guards against a job whose row changes constantly delaying the row that reports the end of another job.
BOOST_AUTO_TEST_CASE(a_job_with_tasks_in_many_cells_delays_no_other_row)
{
    constexpr duration max_report_time = 3s; // its tasks wait for capacity, run for 100 ms and are written once
    flow_simulation w(overloaded_site());
    w.run_for(2s);
    const std::string waiting = id_in_same_partition(job_a, 2);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 900, 1500)) == caller_result::accepted);
    BOOST_REQUIRE(w.submit(0, waiting, chain_spec(1, 3, 100)) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return w.stored_outcome(waiting) != 0; }, max_report_time));
    BOOST_TEST(w.count_running_tasks(job_a) > 0);
    BOOST_REQUIRE(w.run_until([&] { return w.state(0, job_a) == flow_state::done; }, 90s));
    check_no_violations(w);
}

// Guards against a next step that waits for the periodic read of changed rows when the last task of the step before has
// ended in another cell.
BOOST_AUTO_TEST_CASE(a_moved_tasks_end_starts_the_next_step_at_once)
{
    constexpr duration max_step_delay = 200ms; // one write and one message; the next periodic read may be 2 s away
    flow_simulation w(overloaded_site());
    w.run_for(2s);
    flow_spec spec = chain_spec(2, 60, 3000);
    BOOST_REQUIRE(w.submit(0, job_a, spec) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until(
        [&] { return w.count_log_events("task", "given_away") > 0 && w.count_running_tasks(job_a) > 0; }, 10s));
    instant last_end = w.now();
    while (w.count_job_starts(job_a) <= 60 && w.now() - last_end < 30s) {
        w.run_for(1ms);
        last_end = w.count_running_tasks(job_a) > 0 && w.count_job_starts(job_a) <= 60 ? w.now() : last_end;
    }
    BOOST_TEST(w.count_job_starts(job_a) > 60);
    BOOST_TEST((w.now() - last_end <= max_step_delay));
    BOOST_REQUIRE(w.run_until([&] { return w.state(0, job_a) == flow_state::done; }, 30s));
    check_no_violations(w);
}

// Guards against rows of ended jobs that are never removed and have to be read at each takeover.
BOOST_AUTO_TEST_CASE(of_an_ended_job_only_its_index_is_left)
{
    flow_simulation w(overloaded_site());
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 100, 3000)) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.count_owner_rows(job_a) > 2; }, 10s));
    BOOST_REQUIRE(w.run_until([&] { return w.stored_outcome(job_a) != 0; }, 60s));
    w.run_for(12s);
    BOOST_TEST(w.count_owner_rows(job_a) == 0);
    BOOST_TEST((w.state(1, job_a) == flow_state::done));
    BOOST_TEST((w.submit(1, job_a, chain_spec(1, 100, 3000)) == caller_result::accepted));
    w.run_for(3s);
    BOOST_TEST(w.count_running_tasks(job_a) == 0);
    check_no_violations(w);
}

// Guards against a new owner that reads the jobs of the whole site before it can work.
BOOST_AUTO_TEST_CASE(a_takeover_reads_the_rows_of_its_own_cell_only)
{
    flow_simulation w({.data_centres = {"a", "b"}, .run_time = [](const flow_task_id&) { return duration(60s); }});
    w.run_for(2s);
    for (int i = 1; i <= 40; ++i) {
        w.insert_unannounced_job(fmt::format("{:016x}", i), cell_id("a"), chain_spec(1, 1, 10));
    }
    w.insert_unannounced_job(job_a, cell_id("b"), chain_spec(1, 1));
    BOOST_REQUIRE(w.run_until([&] { return w.count_all_running_tasks() == 41; }, 10s));
    w.run_for(1s);
    const std::int64_t before = w.job_rows_read();
    for (int i = 0; i < 4; ++i) {
        if (w.entry(i)->cells().at(cell_id("b"))->owns()) {
            w.kill_entry(i);
            break;
        }
    }
    BOOST_REQUIRE(w.run_until([&] { return w.count_owners("b") == 1; }, 10s));
    w.run_for(200ms);
    const std::int64_t rows_of_job = 2; // its own row and the row of the entry that accepted it
    BOOST_TEST(w.job_rows_read() - before <= rows_of_job + job_parts); // one fence row per partition
    check_no_violations(w);
}

// Guards against an owner that was paused and replaced, and then writes a move or a start that the new owner does not
// know of.
BOOST_AUTO_TEST_CASE(a_write_of_an_owner_that_was_followed_is_refused)
{
    flow_simulation w({.table_latency = std::chrono::milliseconds(16),
                       .run_time = [](const flow_task_id& t) { return duration(300ms + t.index % 7 * 40ms); }});
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 200)) == caller_result::accepted);
    w.run_for(500ms);
    const int owner = w.entry(0)->cells().at(cell_id("a"))->owns() ? 0 : 1;
    w.pause_entry(owner);
    BOOST_REQUIRE(w.run_until([&] { return w.entry(1 - owner)->cells().at(cell_id("a"))->owns(); }, 10s));
    w.run_for(1s);
    const std::int64_t refused = w.job_write_conflicts();
    w.resume_entry(owner);
    w.run_for(500ms);
    BOOST_TEST(!w.entry(owner)->cells().at(cell_id("a"))->owns());
    BOOST_TEST(w.job_write_conflicts() <= refused + job_parts);
    BOOST_REQUIRE(w.run_until([&] { return w.stored_outcome(job_a) == 1; }, 60s));
    check_no_violations(w);
}

// Two cells' owners each count some failed runs of a job. Guards against one of them reporting the job as failed and
// the other one as done.
BOOST_AUTO_TEST_CASE(only_the_owner_of_a_jobs_cell_says_that_it_failed)
{
    flow_simulation::options options = overloaded_site();
    options.run_fails = [](const flow_task_id& task, run_number) { return task.index == 59; };
    flow_simulation w(options);
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 60, 3000)) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.stored_outcome(job_a) != 0; }, 60s));
    BOOST_TEST((w.state(0, job_a) == flow_state::failed));
    w.run_for(3s);
    BOOST_TEST((w.state(1, job_a) == flow_state::failed));
    BOOST_TEST(w.count_running_tasks(job_a) == 0);
    BOOST_TEST(w.count_log_events("job", "ended") == 1);
    check_no_violations(w);
}

// Guards against a new owner that starts a task again because only the first of its job's rows is in the page read and
// the row that says that the task is done is in the next page.
BOOST_AUTO_TEST_CASE(a_job_whose_news_rows_span_two_pages_is_read_whole)
{
    constexpr int page_rows = 100;
    for (int before = page_rows - 3; before <= page_rows + 1; ++before) {
        BOOST_TEST_CONTEXT(before << " rows before it")
        {
            flow_simulation w({.entries_per_data_centre = 1});
            w.run_for(2s);
            w.kill_entry(0);
            const std::string split = id_in_same_partition(job_a, 0x10000000);
            std::string other = id_in_same_partition(job_a, 1);
            for (int i = 0; i < before; ++i) {
                w.put_job_row(cancel_row(cell_id("a"), job_id(other)), {}); // a row of a job that no longer exists
                other = id_in_same_partition(job_a, static_cast<int>(std::stol(other, nullptr, 16)) + 1);
            }
            w.insert_unannounced_job(split, cell_id("a"), chain_spec(1, 2));
            wire::flow_job_row facts;
            facts.cell = "a";
            facts.starts_noted = true;
            facts.stages.emplace_back();
            facts.stages.back().done = std::string(1, '\1');
            w.put_job_row({cell_id("a"), job_id(split), "b"}, facts);
            w.start_entry(0);
            BOOST_REQUIRE(w.run_until([&] { return w.stored_outcome(split) != 0; }, 10s));
            BOOST_TEST(w.count_job_starts(split) == 1);
        }
    }
}

// Guards against running an ended job again because a news row of it is written after its end.
BOOST_AUTO_TEST_CASE(late_news_of_an_ended_job_start_nothing)
{
    flow_simulation w({.data_centres = {"a", "b"}});
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 4)) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.stored_outcome(job_a) == 1; }, 10s));
    w.run_for(12s);
    const std::int64_t starts = w.count_job_starts(job_a);
    wire::flow_job_row late = make_job_row(chain_spec(1, 4));
    late.queue = "q";
    late.service_name = "service";
    late.cell = "a";
    late.stages.emplace_back();
    late.stages.back().homes[0].cell = "b";
    late.stages.back().homes[0].moves = 1;
    w.put_job_row({cell_id("b"), job_id(job_a), "a"}, late);
    for (int i = 0; i < 4; ++i) {
        w.kill_entry(i);
    }
    for (int i = 0; i < 4; ++i) {
        w.start_entry(i);
    }
    w.run_for(25s);
    BOOST_TEST(w.count_job_starts(job_a) == starts);
    BOOST_TEST(w.count_owner_rows(job_a) == 0);
}

// Guards against a delayed write that restores the removed row of an ended job, which the next owner would run again.
BOOST_AUTO_TEST_CASE(a_write_that_comes_late_brings_no_removed_row_back)
{
    for (duration late = 1s; late <= 13s; late += 500ms) {
        BOOST_TEST_CONTEXT("in force after " << late.count() / 1000 << " ms")
        {
            flow_simulation w({});
            w.run_for(2s);
            w.delay_next_row_write(late);
            BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 3)) == caller_result::accepted);
            BOOST_REQUIRE(w.run_until([&] { return w.stored_outcome(job_a) == 1; }, 20s));
            w.run_for(14s);
            BOOST_TEST(w.count_owner_rows(job_a) == 0);
            for (int i = 0; i < 2; ++i) {
                w.kill_entry(i);
                w.start_entry(i);
            }
            w.run_for(10s);
            BOOST_TEST(w.count_job_starts(job_a) == 3);
            check_no_violations(w);
        }
    }
}

// Guards against an unreadable row that makes its job's tasks run again or blocks the other jobs of the cell.
BOOST_AUTO_TEST_CASE(a_row_that_cannot_be_read_starts_nothing_and_is_kept)
{
    flow_simulation w({.run_time = [](const flow_task_id&) { return duration(20s); }});
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 4)) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 4; }, 10s));
    w.run_for(1s);
    for (int i = 0; i < 2; ++i) {
        w.kill_entry(i);
    }
    w.corrupt_row(own_row(cell_id("a"), job_id(job_a)));
    for (int i = 0; i < 2; ++i) {
        w.start_entry(i);
    }
    const std::string job_b = "00000000000000bb";
    BOOST_REQUIRE(w.run_until([&] { return w.submit(0, job_b, chain_spec(1, 2)) == caller_result::accepted; }, 10s));
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_b) == 2; }, 20s));
    w.run_for(20s);
    BOOST_TEST(w.count_job_starts(job_a) == 4);
    BOOST_TEST(w.count_owner_rows(job_a) > 0);
    BOOST_TEST(w.count_log_events("row", "unreadable") > 0);
}

// Guards against ignoring jobs that an earlier release stored in another row format.
BOOST_AUTO_TEST_CASE(an_entry_that_finds_jobs_of_an_earlier_release_owns_nothing)
{
    flow_simulation w({});
    w.put_legacy_job(job_a);
    w.run_for(5s);
    BOOST_TEST(w.count_owners("a") == 0);
    BOOST_TEST(w.count_log_events("entry", "jobs_of_an_earlier_release") > 0);
    BOOST_TEST((w.submit(0, "00000000000000bb", chain_spec(1, 1)) == caller_result::rejected));
    w.remove_legacy_job(job_a);
    BOOST_TEST(w.run_until([&] { return w.count_owners("a") == 1; }, 15s));
}

// Cell b gives a task on to cell c before it has received the cancel of the job. Guards against cell c never receiving
// the cancel, so that the task runs on.
BOOST_AUTO_TEST_CASE(a_task_given_on_after_the_cancel_is_stopped)
{
    constexpr duration max_stop_time = 5s;
    for (duration after{0}; after < 60ms; after += 2ms) {
        BOOST_TEST_CONTEXT("cancelled " << after.count() / 1000 << " ms after the second cell began to give tasks on")
        {
            flow_simulation w({.data_centres = {"a", "b", "c"},
                               .workers_per_data_centre = 2,
                               .run_time = [](const flow_task_id& t) { return t.job.str() == job_a ? 60s : 1s; }});
            w.run_for(2s);
            const std::string job_b = "00000000000000bb";
            const std::string job_c = "00000000000000cc";
            // The job leaves capacity for two more tasks in cell b; its tasks run for 1 s.
            w.insert_unannounced_job(job_b, cell_id("b"), chain_spec(1, 6, 4000));
            w.insert_unannounced_job(job_c, cell_id("c"), chain_spec(1, 8, 4000));
            w.run_for(2500ms);
            w.insert_unannounced_job(job_a, cell_id("a"), chain_spec(1, 24, 4000));
            BOOST_REQUIRE(w.run_until([&] { return w.count_log_events("task", "given_away") > 0; }, 10s));
            w.run_for(after);
            BOOST_TEST((w.cancel(0, job_a) == caller_result::cancelled));
            w.run_for(max_stop_time);
            BOOST_TEST(w.count_running_tasks(job_a) == 0);
            check_no_violations(w);
        }
    }
}

namespace {

enum class failure_kind { giver_killed, giver_paused, receiver_killed, receiver_cut_off, answers_lost };

// Causes the failure `t` in the move of a task from cell a (the giver) to cell b (the receiver). A failure that passes
// lasts 7 s.
void cause_failure(flow_simulation& w, failure_kind t)
{
    const auto owner = [&w](const char* cell) {
        for (int i = 0; i < 4; ++i) {
            if (w.entry(i) != nullptr && w.entry(i)->cells().at(cell_id(cell))->owns()) {
                return i;
            }
        }
        return 0;
    };
    switch (t) {
    case failure_kind::giver_killed:
        w.kill_entry(owner("a"));
        break;
    case failure_kind::giver_paused: {
        const int giver = owner("a");
        w.pause_entry(giver);
        w.run_for(7s);
        w.resume_entry(giver);
        break;
    }
    case failure_kind::receiver_killed:
        w.kill_entry(owner("b"));
        break;
    case failure_kind::receiver_cut_off: {
        const int receiver = owner("b");
        w.cut_entry_from_peers(receiver, true);
        w.cut_entry_from_table(receiver, true);
        w.run_for(7s);
        w.cut_entry_from_peers(receiver, false);
        w.cut_entry_from_table(receiver, false);
        break;
    }
    case failure_kind::answers_lost:
        w.drop_next_table_answers(3);
        break;
    }
}

} // namespace

// Guards against losing a task that moves between cells, or starting it in both, when a failure occurs during the move.
BOOST_AUTO_TEST_CASE(a_task_that_moves_runs_once_whatever_fails_at_any_moment_of_it)
{
    // From the first give-away to the receiver's start: the giver's write, its message, the receiver's claim of the
    // task and the start command.
    constexpr duration whole_move = 100ms;
    constexpr duration step = 4ms; // shorter than the latency of any message or write
    for (const failure_kind t : {failure_kind::giver_killed, failure_kind::giver_paused, failure_kind::receiver_killed,
                                 failure_kind::receiver_cut_off, failure_kind::answers_lost}) {
        for (duration after{0}; after < whole_move; after += step) {
            BOOST_TEST_CONTEXT("failure " << static_cast<int>(t) << " after " << after.count() / 1000 << " ms")
            {
                flow_simulation w(overloaded_site());
                w.run_for(2s);
                w.insert_unannounced_job(job_a, cell_id("a"), chain_spec(1, 24, 3000));
                BOOST_REQUIRE(w.run_until([&] { return w.count_log_events("task", "given_away") > 0; }, 10s));
                w.run_for(after);
                cause_failure(w, t);
                BOOST_TEST(w.run_until([&] { return w.stored_outcome(job_a) == 1; }, 60s));
                check_no_violations(w);
            }
        }
    }
}
