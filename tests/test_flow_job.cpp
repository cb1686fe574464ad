// The state of a job: opening of steps, recorded progress, and the merge of rows from several writers.
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "flow_job_p.h"
#include "flow_settings_p.h"

using namespace skylarkhub;

namespace {

const job_id job("00000000000000aa");
const cell_id here("a");

wire::flow_job_row two_steps()
{
    flow_spec spec;
    spec.payload = "p";
    for (int i = 0; i < 2; ++i) {
        flow_step step;
        step.count = 3;
        step.checkpointing = i == 0;
        step.image = "image";
        if (i > 0) {
            step.after.push_back(i - 1);
        }
        spec.steps.push_back(step);
    }
    wire::flow_job_row row = make_job_row(spec);
    row.cell = here.str();
    row.cell_epoch = 3;
    return row;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_specification_is_unchanged_by_conversion_to_a_row_and_back)
{
    const flow_spec spec = spec_of(two_steps());
    BOOST_TEST(spec.payload == "p");
    BOOST_TEST(spec.steps.at(0).checkpointing);
    BOOST_TEST(!spec.steps.at(1).checkpointing);
    BOOST_TEST(spec.steps.at(1).after.at(0) == 0);
    BOOST_TEST(spec.steps.at(1).image == "image");
}

BOOST_AUTO_TEST_CASE(a_step_opens_when_all_tasks_before_it_are_done)
{
    flow_job flow(job, here, two_steps(), row_version(1));
    flow.open_stages(instant{}, wall_time{});
    BOOST_TEST(flow.stages().at(0).open);
    BOOST_TEST(!flow.stages().at(1).open);
    for (int i = 0; i < 3; ++i) {
        flow.note_done({job, 0, 0, i});
    }
    BOOST_TEST(flow.open_stages(instant{}, wall_time{}));
    BOOST_TEST(flow.stages().at(1).ready == 3);
}

BOOST_AUTO_TEST_CASE(progress_of_two_writers_is_merged)
{
    // The owner records an end while another entry cancels the job: the row that the owner writes after the conflict
    // must contain both.
    flow_job flow(job, here, two_steps(), row_version(1));
    flow.open_stages(instant{}, wall_time{});
    flow.note_done({job, 0, 0, 1});
    wire::flow_job_row other = two_steps();
    other.cancelled = true;
    flow.merge(instant{}, other, row_writer_kind::other_cell);
    BOOST_TEST(flow.cancelled());
    BOOST_TEST(flow.dirty());
    flow_job again(job, here, flow.current_row(), row_version(3));
    BOOST_TEST(again.cancelled());
    BOOST_TEST((again.stages().at(0).tasks.at(1).stage == flow_task_state::done));
}

BOOST_AUTO_TEST_CASE(runs_are_numbered_above_those_of_earlier_owners)
{
    flow_job flow(job, here, two_steps(), row_version(1));
    flow_task& task = *flow.find_task({job, 0, 0, 0});
    BOOST_TEST(flow.next_run(task, epoch(3)).value() == 1);
    task.last_run = run_number(5);
    BOOST_TEST(flow.next_run(task, epoch(3)).value() == 6);
    BOOST_TEST(flow.next_run(task, epoch(4)).value() > 1000);
}

BOOST_AUTO_TEST_CASE(a_task_handed_to_another_cell_is_ready_only_there_with_higher_run_numbers)
{
    flow_job flow(job, here, two_steps(), row_version(1));
    flow.open_stages(instant{}, wall_time{});
    flow.find_task({job, 0, 0, 2})->last_run = run_number(4);
    flow.hand_off_task({job, 0, 0, 2}, cell_id("b"), epoch(9), epoch(3));
    BOOST_TEST(flow.stages().at(0).ready == 2);
    flow_job there(job, cell_id("b"), flow.current_row(), row_version(2));
    there.open_stages(instant{}, wall_time{});
    BOOST_TEST(there.stages().at(0).ready == 1);
    BOOST_TEST(there.next_run(*there.find_task({job, 0, 0, 2}), epoch(9)).value() == 5);
    BOOST_TEST(there.involves_this_cell());
}

BOOST_AUTO_TEST_CASE(settings_are_checked_as_a_whole)
{
    std::vector<settings_problem> problems;
    BOOST_TEST(!parse_flow_settings(R"({"entry":"e","callers_address":"nonsense","surprise":1})", problems));
    BOOST_TEST(problems.size() > 5); // each missing or wrong field, and the unknown one
    problems.clear();
    BOOST_TEST(!parse_flow_settings(R"({"cores":"2","cpu_share":0})", problems));
    BOOST_TEST(std::count_if(problems.begin(), problems.end(),
                             [](const auto& p) { return p.document == "cores" || p.document == "cpu_share"; }) == 2);
    problems.clear();
    const auto settings = parse_flow_settings(
        R"({"entry":"e","data_centre":"d","callers_address":"10.0.0.1:1","readiness_address":"10.0.0.1:2",
            "peers_address":"10.0.0.1:3","metrics_address":"10.0.0.1:4","table_address":"10.0.0.2:5",
            "advice_address":"","instances_address":null,"cores":2,"cpu_share":0.07})",
        problems);
    BOOST_TEST(problems.empty());
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->peers_address.str() == "10.0.0.1:3");
    BOOST_TEST(settings->cores == 2);
    BOOST_TEST(settings->cpu_share == 0.07);
    BOOST_TEST(settings->memory_mib == 0);
}

// Guards against an installation that does not tell its limits, whose entries could not read their settings.
BOOST_AUTO_TEST_CASE(limits_that_are_not_told_are_left_out)
{
    const auto parse = [](const std::string& limits, std::vector<settings_problem>& problems) {
        return parse_flow_settings(
            R"({"entry":"e","data_centre":"d","callers_address":"10.0.0.1:1","readiness_address":"10.0.0.1:2",
                "peers_address":"10.0.0.1:3","metrics_address":"10.0.0.1:4","table_address":"10.0.0.2:5",)" +
                limits + "}",
            problems);
    };
    std::vector<settings_problem> problems;
    auto settings = parse(R"("memory_mib":"{{limits.memory-mb}}","descriptors":"","row_bytes":"65536")", problems);
    BOOST_TEST(problems.empty());
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->memory_mib == 0);
    BOOST_TEST(settings->descriptors == 0);
    BOOST_TEST(settings->row_bytes == 65536);
    settings = parse(R"("memory_mib":160,"descriptors":null)", problems);
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->memory_mib == 160);
    BOOST_TEST(!parse(R"("memory_mib":"much","row_bytes":-1)", problems));
    BOOST_TEST(problems.size() == 2U);
}

// Guards against a replaced owner that starts a task which another cell has handed to the new owner.
BOOST_AUTO_TEST_CASE(a_task_handed_to_a_newer_owner_shows_the_replaced_owner_its_epoch)
{
    flow_job giver(job, here, two_steps(), row_version(1));
    giver.open_stages(instant{}, wall_time{});
    flow_job replaced(job, cell_id("b"), two_steps(), row_version(0));
    BOOST_TEST((replaced.newest_epoch() == epoch(0)));
    giver.hand_off_task({job, 0, 0, 0}, cell_id("b"), epoch(4), epoch(3));
    replaced.merge(instant{}, giver.current_row(), row_writer_kind::other_cell);
    BOOST_TEST((replaced.newest_epoch() == epoch(4)));
}

// If an owner started a task before its row records the arrival of that task, the next owner could start it as well.
BOOST_AUTO_TEST_CASE(a_task_from_another_cell_is_received_once_the_row_records_it)
{
    flow_job giver(job, here, two_steps(), row_version(1));
    giver.open_stages(instant{}, wall_time{});
    giver.hand_off_task({job, 0, 0, 0}, cell_id("b"), epoch(4), epoch(3));
    flow_job receiver(job, cell_id("b"), giver.current_row(), row_version(0));
    const flow_task& task = *receiver.find_task({job, 0, 0, 0});
    BOOST_TEST(receiver.dirty());
    BOOST_TEST(!receiver.is_transfer_persisted(task));
    receiver.mark_written(receiver.changes(), row_version(2));
    BOOST_TEST(receiver.is_transfer_persisted(task));
    const flow_job next_owner(job, cell_id("b"), receiver.current_row(), row_version(2));
    BOOST_TEST(!next_owner.dirty());
}

// A replaced owner leaves a row with an end to the next owner of its cell. If the next owner did not write it, the
// owner of the job's cell would never get that end.
BOOST_AUTO_TEST_CASE(ends_left_by_a_replaced_owner_are_passed_on)
{
    flow_job left(job, cell_id("b"), two_steps(), row_version(1));
    left.note_done({job, 0, 0, 0});
    flow_job next(job, cell_id("b"), two_steps(), row_version(1));
    next.merge(instant{}, left.current_row(), row_writer_kind::entry);
    BOOST_TEST(next.dirty());
    BOOST_TEST((next.cells_to_notify() == std::vector<cell_id>{here}));
    flow_job other(job, cell_id("b"), two_steps(), row_version(1));
    other.merge(instant{}, left.current_row(), row_writer_kind::other_cell);
    BOOST_TEST(!other.dirty());
}

// While a job is cancelled, one cell hands a task to another one. The owner of the job's cell has to notify that cell
// of the cancellation when it reads of the move.
BOOST_AUTO_TEST_CASE(cells_that_get_a_task_of_a_cancelled_job_are_notified)
{
    flow_job home(job, here, two_steps(), row_version(1));
    home.open_stages(instant{}, wall_time{});
    home.hand_off_task({job, 0, 0, 0}, cell_id("b"), epoch(4), epoch(3));
    wire::flow_job_row cancel;
    cancel.cancelled = true;
    cancel.starts_noted = true;
    home.merge(instant{}, cancel, row_writer_kind::entry);
    home.mark_written(home.changes(), row_version(2));
    flow_job giver(job, cell_id("b"), home.current_row(), row_version(1));
    giver.open_stages(instant{}, wall_time{});
    giver.hand_off_task({job, 0, 0, 0}, cell_id("c"), epoch(7), epoch(4));
    home.merge(instant{}, giver.current_row(), row_writer_kind::other_cell);
    BOOST_TEST(home.dirty());
    BOOST_TEST((home.cells_to_notify() == std::vector<cell_id>{cell_id("c")}));
}

// If owners notified all other cells of each write, a site with many cells would spend its writes on useless news.
BOOST_AUTO_TEST_CASE(only_cells_concerned_by_a_change_are_notified)
{
    flow_job home(job, here, two_steps(), row_version(1));
    home.open_stages(instant{}, wall_time{});
    BOOST_TEST(home.cells_to_notify().empty());
    home.hand_off_task({job, 0, 0, 0}, cell_id("b"), epoch(4), epoch(3));
    BOOST_TEST((home.cells_to_notify() == std::vector<cell_id>{cell_id("b")}));
    home.mark_written(home.changes(), row_version(2));
    home.note_done({job, 0, 0, 1});
    BOOST_TEST(home.cells_to_notify().empty());
    home.note_writer("c");
    home.note_writer("!accepted");
    home.note_outcome(flow_state::failed);
    BOOST_TEST((home.cells_to_notify() == std::vector<cell_id>{cell_id("b"), cell_id("c")}));
    flow_job other(job, cell_id("c"), two_steps(), row_version(1));
    other.note_done({job, 0, 0, 2});
    BOOST_TEST((other.cells_to_notify() == std::vector<cell_id>{here}));
}

BOOST_AUTO_TEST_CASE(the_newest_start_counts_whichever_owner_recorded_it)
{
    // An owner and its successor record starts of one task, and the former owner learns late that its run has ended. If
    // the older start counted as the newest, the next owner would ask the wrong worker for the run.
    const flow_task_id task{job, 0, 0, 0};
    flow_job one(job, here, two_steps(), row_version(1));
    flow_job other(job, here, two_steps(), row_version(1));
    one.note_start(task, {worker_id("w1"), worker_birth(0)}, run_number(1));
    other.note_start(task, {worker_id("w2"), worker_birth(7)}, run_number(1001));
    one.merge(instant{}, other.current_row(), row_writer_kind::other_cell);
    BOOST_TEST(one.find_task(task)->start.worker == "w2");
    one.note_run_ended(task, run_number(1));
    BOOST_TEST(one.find_task(task)->start.worker == "w2");
    other.note_run_ended(task, run_number(1001));
    one.merge(instant{}, other.current_row(), row_writer_kind::other_cell);
    BOOST_TEST(one.find_task(task)->start.worker.empty());
    BOOST_TEST((one.next_run(*one.find_task(task), epoch(3)) == run_number(1002)));
}

BOOST_AUTO_TEST_CASE(recorded_starts_are_not_trusted_once_a_writer_has_dropped_them)
{
    // An entry of an earlier release drops recorded starts when it writes the row. If its row were trusted, running
    // tasks would be taken for tasks that were never started.
    flow_job flow(job, here, two_steps(), row_version(1));
    BOOST_TEST(flow.row().starts_noted);
    wire::flow_job_row older = flow.current_row();
    older.starts_noted = false;
    flow.merge(instant{}, older, row_writer_kind::other_cell);
    BOOST_TEST(!flow.current_row().starts_noted);
}

BOOST_AUTO_TEST_CASE(failed_runs_count_in_any_order_of_their_ends)
{
    // A task fails on three workers while the table is down, then its owner dies. The next owner gets the end of the
    // third run first. If only higher run numbers counted, the other two failures would be lost, and the task would
    // start again although it has reached its limit of failures.
    flow_job next(job, here, two_steps(), row_version(1));
    const flow_task_id task{job, 0, 0, 0};
    BOOST_TEST(next.note_failure(task, run_number(3)) == 1);
    BOOST_TEST(next.note_failure(task, run_number(1)) == 2);
    BOOST_TEST(next.note_failure(task, run_number(2)) == 3);
    BOOST_TEST(next.note_failure(task, run_number(1)) == 3);
    flow_job after(job, here, next.current_row(), row_version(2));
    BOOST_TEST(after.note_failure(task, run_number(2)) == 3);
    BOOST_TEST(!after.dirty());
}

BOOST_AUTO_TEST_CASE(failed_runs_counted_by_two_writers_add_up)
{
    // A replaced owner and its successor have each counted a different run; their rows are merged.
    const flow_task_id task{job, 0, 0, 0};
    flow_job one(job, here, two_steps(), row_version(1));
    BOOST_TEST(one.note_failure(task, run_number(1)) == 1);
    flow_job other(job, here, two_steps(), row_version(1));
    BOOST_TEST(other.note_failure(task, run_number(1001)) == 1);
    one.merge(instant{}, other.current_row(), row_writer_kind::other_cell);
    BOOST_TEST(one.note_failure(task, run_number(1001)) == 2);
    BOOST_TEST(one.dirty());
}

BOOST_AUTO_TEST_CASE(a_failed_run_counts_once_even_if_its_end_is_reported_again)
{
    // An owner stores a failed run and dies before it confirms the end, so the worker reports it to the next owner
    // again. If it counted twice, the job could be shown as failed before a task has reached its limit of failures.
    flow_job first(job, here, two_steps(), row_version(1));
    BOOST_TEST(first.note_failure({job, 0, 0, 0}, run_number(1)) == 1);
    flow_job next(job, here, first.current_row(), row_version(2));
    BOOST_TEST(next.note_failure({job, 0, 0, 0}, run_number(1)) == 1);
    BOOST_TEST(!next.dirty());
    BOOST_TEST(next.note_failure({job, 0, 0, 0}, run_number(1001)) == 2);
}

// If a deferred crash marked the row as outdated, the row could stay outdated for ever, and with it all that waits for
// its write, since a deferred crash causes no write.
BOOST_AUTO_TEST_CASE(a_deferred_crash_waits_for_the_next_write_of_the_row)
{
    const flow_task_id task{job, 0, 0, 0};
    wire::crash_row crash;
    crash.run = 1;
    crash.beside = true;
    flow_job one(job, here, two_steps(), row_version(1));
    BOOST_TEST(one.note_crash(task, crash, crash_persistence::deferred));
    BOOST_TEST(!one.dirty());
    BOOST_TEST(one.current_row().stages.front().crashes.at(0).size() == 1U);
    one.note_outlived(task, run_number(1));
    BOOST_TEST(!one.note_crash(task, crash, crash_persistence::deferred));
    BOOST_TEST(one.find_task(task)->crashes.empty());
}

// Several owners learn of crashes in any order and more than once. If a crash counted twice, or returned after the task
// proved harmless, the job would be ended by mistake.
BOOST_AUTO_TEST_CASE(crashes_of_a_task_are_merged_in_any_order)
{
    const flow_task_id task{job, 0, 0, 0};
    const auto crash = [](std::int64_t run) {
        wire::crash_row row;
        row.run = run;
        row.worker = "w";
        row.age_ms = 10;
        row.rate = 0.001;
        return row;
    };
    flow_job one(job, here, two_steps(), row_version(1));
    flow_job other(job, here, two_steps(), row_version(1));
    one.note_crash(task, crash(1), crash_persistence::written);
    one.note_crash(task, crash(2), crash_persistence::written);
    other.note_crash(task, crash(1001), crash_persistence::written);
    other.note_crash(task, crash(2), crash_persistence::written);
    const wire::flow_job_row of_one = one.current_row();
    one.merge(instant{}, other.current_row(), row_writer_kind::other_cell);
    other.merge(instant{}, of_one, row_writer_kind::other_cell);
    other.merge(instant{}, of_one, row_writer_kind::other_cell);
    BOOST_TEST(one.find_task(task)->crashes.size() == 3U);
    BOOST_TEST(other.find_task(task)->crashes.size() == 3U);
    BOOST_TEST(one.find_task(task)->crashes_workers());
    one.note_outlived(task, run_number(1001));
    BOOST_TEST(one.find_task(task)->crashes.empty());
    one.merge(instant{}, of_one, row_writer_kind::other_cell);
    other.merge(instant{}, one.current_row(), row_writer_kind::other_cell);
    BOOST_TEST(one.find_task(task)->crashes.empty());
    BOOST_TEST(other.find_task(task)->crashes.empty());
}
