// The rows of a job: one writer each, and what follows from all of them together.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "flow_job_p.h"
#include "support_flow_world.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";

void check_no_faults(const flow_world& w)
{
    for (const std::string& fault : w.faults()) {
        BOOST_ERROR(fault);
    }
}

// Two cells; one job has more tasks than its own has room for, so that many move.
flow_world::options crowded()
{
    return {.data_centres = {"a", "b"},
            .workers_each = 2,
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

BOOST_AUTO_TEST_CASE(a_rows_key_names_its_job_and_its_writer)
{
    const job_id job(job_a);
    for (const job_row_name& name : {job_row_name{job, ""}, job_row_name{job, "a.2"}, cancel_row(job),
                                     left_ends_row(job, incarnation_id("e1/7"))}) {
        BOOST_TEST((job_row_of(job_row_key(name)) == name));
        BOOST_TEST(job_row_key(name).part == job_row_key({job, ""}).part);
        BOOST_TEST((job_row_key(name).key >= job_rows(job).from));
        BOOST_TEST((job_row_key(name).key < job_rows(job).to));
    }
    BOOST_TEST((job_key(job) == job_row_key({job, ""})));
}

// Owners of several cells refuse each other's writes, and rows that somebody waits for stay behind for seconds.
BOOST_AUTO_TEST_CASE(no_write_is_refused_while_no_owner_changes)
{
    flow_world w(crowded());
    w.run_for(2s);
    const std::vector<std::string> jobs{"0000000000000001", "0000000000000002", "0000000000000003"};
    for (const std::string& job : jobs) {
        w.accept_unheard(job, cell_id("a"), chain_spec(2, 100, 1500));
    }
    BOOST_REQUIRE(w.run_until([&] { return w.outcome_in_row(jobs.back()) != 0; }, 120s));
    BOOST_TEST(w.logged("task", "given_away") > 100);
    BOOST_TEST(w.job_writes_refused() == 0);
    check_no_faults(w);
}

// A job whose row changes all the time keeps another one from being shown as done.
BOOST_AUTO_TEST_CASE(a_job_with_tasks_in_many_cells_holds_up_no_other_row)
{
    constexpr duration shown_most = 3s; // its tasks wait for room, run for 100 ms and are written once
    flow_world w(crowded());
    w.run_for(2s);
    const std::string waiting = id_beside(job_a, 2);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 900, 1500)) == caller_result::accepted);
    BOOST_REQUIRE(w.submit(0, waiting, chain_spec(1, 3, 100)) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return w.outcome_in_row(waiting) != 0; }, shown_most));
    BOOST_TEST(w.running_of(job_a) > 0);
    BOOST_REQUIRE(w.run_until([&] { return w.state(0, job_a) == flow_state::done; }, 90s));
    check_no_faults(w);
}

// The last task of a step ends in another cell, and the next step waits for a look at all changed rows.
BOOST_AUTO_TEST_CASE(a_moved_tasks_end_opens_the_next_step_at_once)
{
    constexpr duration opened_most = 200ms; // one write and one message; the next look may be 2 s away
    flow_world w(crowded());
    w.run_for(2s);
    flow_spec spec = chain_spec(2, 60, 3000);
    BOOST_REQUIRE(w.submit(0, job_a, spec) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.logged("task", "given_away") > 0 && w.running_of(job_a) > 0; }, 10s));
    BOOST_REQUIRE(w.run_until([&] { return w.starts_of(job_a) == 60 && w.running_of(job_a) == 0; }, 30s));
    BOOST_TEST(w.run_until([&] { return w.starts_of(job_a) > 60; }, opened_most));
    BOOST_REQUIRE(w.run_until([&] { return w.state(0, job_a) == flow_state::done; }, 30s));
    check_no_faults(w);
}

// Rows of other cells stay behind for ever, and each takeover reads them.
BOOST_AUTO_TEST_CASE(an_ended_job_keeps_its_own_row_only)
{
    flow_world w(crowded());
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 100, 3000)) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.rows_of(job_a) > 1; }, 10s));
    BOOST_REQUIRE(w.run_until([&] { return w.outcome_in_row(job_a) != 0; }, 60s));
    w.run_for(1s);
    BOOST_TEST(w.rows_of(job_a) == 1);
    BOOST_TEST((w.state(1, job_a) == flow_state::done));
    check_no_faults(w);
}

// Two owners each count some failed runs of a job; one of them tells callers that it failed, the other that it is done.
BOOST_AUTO_TEST_CASE(only_the_owner_of_a_jobs_cell_says_that_it_failed)
{
    flow_world::options options = crowded();
    options.run_fails = [](const flow_task_id& task, run_number) { return task.index == 59; };
    flow_world w(options);
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 60, 3000)) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.outcome_in_row(job_a) != 0; }, 60s));
    BOOST_TEST((w.state(0, job_a) == flow_state::failed));
    w.run_for(3s);
    BOOST_TEST((w.state(1, job_a) == flow_state::failed));
    BOOST_TEST(w.running_of(job_a) == 0);
    BOOST_TEST(w.logged("job", "ended") == 1);
    check_no_faults(w);
}

// A new owner takes a job up by the first of its rows, which ends one page, and starts anew what the next one tells.
BOOST_AUTO_TEST_CASE(a_job_whose_rows_begin_in_one_page_and_end_in_the_next_is_known_whole)
{
    constexpr int page_rows = 100;
    for (int before = page_rows - 3; before <= page_rows + 1; ++before) {
        BOOST_TEST_CONTEXT(before << " rows before it")
        {
            flow_world w({.entries_each = 1});
            const std::string split = id_beside(job_a, 0x10000000);
            for (int i = 0, n = 1; i < before; ++i, ++n) {
                const std::string other = id_beside(job_a, n);
                n = static_cast<int>(std::stol(other, nullptr, 16));
                w.accept_unheard(other, cell_id("a"), chain_spec(1, 1, 10));
                wire::flow_job_row ended;
                ended.outcome = 1;
                w.put_row({job_id(other), ""}, ended);
            }
            w.accept_unheard(split, cell_id("a"), chain_spec(1, 2));
            wire::flow_job_row facts;
            facts.cell = "a";
            facts.starts_noted = true;
            facts.stages.emplace_back();
            facts.stages.back().done = std::string(1, '\1');
            w.put_row({job_id(split), "b"}, facts);
            w.put_row(cancel_row(job_id(job_a)), facts);
            BOOST_REQUIRE(w.run_until([&] { return w.outcome_in_row(split) != 0; }, 10s));
            BOOST_TEST(w.starts_of(split) == 1);
        }
    }
}

namespace {

enum class trouble { giver_killed, giver_frozen, receiver_killed, receiver_cut_off, answers_lost };

void bring(flow_world& w, trouble t)
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
        w.freeze_entry(giver);
        w.run_for(7s);
        w.thaw_entry(giver);
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
        w.lose_next_answers(3);
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
                flow_world w(crowded());
                w.run_for(2s);
                w.accept_unheard(job_a, cell_id("a"), chain_spec(1, 24, 3000));
                BOOST_REQUIRE(w.run_until([&] { return w.logged("task", "given_away") > 0; }, 10s));
                w.run_for(after);
                bring(w, t);
                BOOST_TEST(w.run_until([&] { return w.outcome_in_row(job_a) == 1; }, 60s));
                check_no_faults(w);
            }
        }
    }
}
