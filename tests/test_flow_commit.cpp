// The rows of a job: one writer each, and what follows from all of them together.
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

// Two cells; one job has more tasks than its own has room for, so that many move.
flow_simulation::options crowded()
{
    return {.data_centres = {"a", "b"},
            .workers_per_data_centre = 2,
            .table_latency = std::chrono::milliseconds(16),
            .run_time = [](const flow_task_id& t) { return duration(400ms + t.index % 11 * 60ms); }};
}

// The first id from `n` on whose rows are in the same part as those of the job.
std::string id_beside(const std::string& job, int n)
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

// Owners of several cells refuse each other's writes, and rows that somebody waits for stay behind for seconds.
BOOST_AUTO_TEST_CASE(no_write_is_refused_while_no_owner_changes)
{
    flow_simulation w(crowded());
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

// A job whose row changes all the time keeps another one from being shown as done.
BOOST_AUTO_TEST_CASE(a_job_with_tasks_in_many_cells_holds_up_no_other_row)
{
    constexpr duration shown_most = 3s; // its tasks wait for room, run for 100 ms and are written once
    flow_simulation w(crowded());
    w.run_for(2s);
    const std::string waiting = id_beside(job_a, 2);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 900, 1500)) == caller_result::accepted);
    BOOST_REQUIRE(w.submit(0, waiting, chain_spec(1, 3, 100)) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return w.stored_outcome(waiting) != 0; }, shown_most));
    BOOST_TEST(w.count_running_tasks(job_a) > 0);
    BOOST_REQUIRE(w.run_until([&] { return w.state(0, job_a) == flow_state::done; }, 90s));
    check_no_violations(w);
}

// The last task of a step ends in another cell, and the next step waits for a look at all changed rows.
BOOST_AUTO_TEST_CASE(a_moved_tasks_end_opens_the_next_step_at_once)
{
    constexpr duration opened_most = 200ms; // one write and one message; the next look may be 2 s away
    flow_simulation w(crowded());
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
    BOOST_TEST((w.now() - last_end <= opened_most));
    BOOST_REQUIRE(w.run_until([&] { return w.state(0, job_a) == flow_state::done; }, 30s));
    check_no_violations(w);
}

// Rows of ended jobs stay behind for ever, and each takeover reads them.
BOOST_AUTO_TEST_CASE(of_an_ended_job_only_its_index_is_left)
{
    flow_simulation w(crowded());
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

// A cell is without a working owner for as long as it takes to read the jobs of the whole site.
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
    const std::int64_t of_the_job = 2;                                // its own row and what its acceptor told
    BOOST_TEST(w.job_rows_read() - before <= of_the_job + job_parts); // and a fence a part
    check_no_violations(w);
}

// An owner that was followed writes a move or a start that its follower does not know of.
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

// Two owners each count some failed runs of a job; one of them tells callers that it failed, the other that it is done.
BOOST_AUTO_TEST_CASE(only_the_owner_of_a_jobs_cell_says_that_it_failed)
{
    flow_simulation::options options = crowded();
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

// A new owner takes a job up by the first of its rows, which ends one page, and starts anew what the next one tells.
BOOST_AUTO_TEST_CASE(a_job_whose_news_begin_in_one_page_and_end_in_the_next_is_known_whole)
{
    constexpr int page_rows = 100;
    for (int before = page_rows - 3; before <= page_rows + 1; ++before) {
        BOOST_TEST_CONTEXT(before << " rows before it")
        {
            flow_simulation w({.entries_per_data_centre = 1});
            w.run_for(2s);
            w.kill_entry(0);
            const std::string split = id_beside(job_a, 0x10000000);
            std::string other = id_beside(job_a, 1);
            for (int i = 0; i < before; ++i) {
                w.put_job_row(cancel_row(cell_id("a"), job_id(other)), {}); // of a job nobody knows any more
                other = id_beside(job_a, static_cast<int>(std::stol(other, nullptr, 16)) + 1);
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

// News of a job come after its end, and the next owner of the cell takes the job up again.
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

// A write whose answer was lost brings an ended job's row back, and the next owner runs the job again.
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

// A row that cannot be read makes its job's tasks run again, or stops the rest of the cell.
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

// A release that keeps rows in another way forgets the jobs that it finds.
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

// A cell that was given a task by one that had not heard of the cancel is never told of it, and the task runs on.
BOOST_AUTO_TEST_CASE(a_task_given_on_after_the_cancel_is_stopped)
{
    constexpr duration stopped_most = 5s;
    for (duration after{0}; after < 60ms; after += 2ms) {
        BOOST_TEST_CONTEXT("cancelled " << after.count() / 1000 << " ms after the second cell began to give tasks on")
        {
            flow_simulation w({.data_centres = {"a", "b", "c"},
                               .workers_per_data_centre = 2,
                               .run_time = [](const flow_task_id& t) { return t.job.str() == job_a ? 60s : 1s; }});
            w.run_for(2s);
            const std::string job_b = "00000000000000bb";
            const std::string job_c = "00000000000000cc";
            w.insert_unannounced_job(job_b, cell_id("b"), chain_spec(1, 6, 4000)); // leaves room for two, for a second
            w.insert_unannounced_job(job_c, cell_id("c"), chain_spec(1, 8, 4000));
            w.run_for(2500ms);
            w.insert_unannounced_job(job_a, cell_id("a"), chain_spec(1, 24, 4000));
            BOOST_REQUIRE(w.run_until([&] { return w.count_log_events("task", "given_away") > 0; }, 10s));
            w.run_for(after);
            BOOST_TEST((w.cancel(0, job_a) == caller_result::cancelled));
            w.run_for(stopped_most);
            BOOST_TEST(w.count_running_tasks(job_a) == 0);
            check_no_violations(w);
        }
    }
}

namespace {

enum class trouble { giver_killed, giver_frozen, receiver_killed, receiver_cut_off, answers_lost };

void bring(flow_simulation& w, trouble t)
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
    case trouble::giver_killed:
        w.kill_entry(owner("a"));
        break;
    case trouble::giver_frozen: {
        const int giver = owner("a");
        w.pause_entry(giver);
        w.run_for(7s);
        w.resume_entry(giver);
        break;
    }
    case trouble::receiver_killed:
        w.kill_entry(owner("b"));
        break;
    case trouble::receiver_cut_off: {
        const int receiver = owner("b");
        w.cut_entry_from_peers(receiver, true);
        w.cut_entry_from_table(receiver, true);
        w.run_for(7s);
        w.cut_entry_from_peers(receiver, false);
        w.cut_entry_from_table(receiver, false);
        break;
    }
    case trouble::answers_lost:
        w.drop_next_table_answers(3);
        break;
    }
}

} // namespace

// A task on its way from one cell to another is lost, or starts in both, when something fails at the wrong moment.
BOOST_AUTO_TEST_CASE(a_task_that_moves_runs_once_whatever_fails_at_any_moment_of_it)
{
    // From the first give-away to the receiver's start: the giver's write, the message, the receiver's claim, an order.
    constexpr duration whole_move = 100ms;
    constexpr duration step = 4ms; // shorter than the way of any message or write
    for (const trouble t : {trouble::giver_killed, trouble::giver_frozen, trouble::receiver_killed,
                            trouble::receiver_cut_off, trouble::answers_lost}) {
        for (duration after{0}; after < whole_move; after += step) {
            BOOST_TEST_CONTEXT("trouble " << static_cast<int>(t) << " after " << after.count() / 1000 << " ms")
            {
                flow_simulation w(crowded());
                w.run_for(2s);
                w.insert_unannounced_job(job_a, cell_id("a"), chain_spec(1, 24, 3000));
                BOOST_REQUIRE(w.run_until([&] { return w.count_log_events("task", "given_away") > 0; }, 10s));
                w.run_for(after);
                bring(w, t);
                BOOST_TEST(w.run_until([&] { return w.stored_outcome(job_a) == 1; }, 60s));
                check_no_violations(w);
            }
        }
    }
}
