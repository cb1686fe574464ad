// A flow's record: what it opens, which facts it keeps, and how two writers' rows are merged.
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

BOOST_AUTO_TEST_CASE(a_specification_survives_its_row)
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

BOOST_AUTO_TEST_CASE(facts_of_two_writers_are_kept_both)
{
    // The owner has noted an end, and another entry has cancelled the job meanwhile: the row the owner writes after the
    // conflict must tell both.
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

BOOST_AUTO_TEST_CASE(a_task_given_to_another_cell_is_ready_there_only_and_numbered_above)
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
}

// An owner that has been followed starts a task that another cell has given to its follower.
BOOST_AUTO_TEST_CASE(a_task_given_to_a_later_owner_shows_an_earlier_one_that_it_was_followed)
{
    flow_job giver(job, here, two_steps(), row_version(1));
    giver.open_stages(instant{}, wall_time{});
    flow_job followed(job, cell_id("b"), two_steps(), row_version(0));
    BOOST_TEST((followed.newest_epoch() == epoch(0)));
    giver.hand_off_task({job, 0, 0, 0}, cell_id("b"), epoch(4), epoch(3));
    followed.merge(instant{}, giver.current_row(), row_writer_kind::other_cell);
    BOOST_TEST((followed.newest_epoch() == epoch(4)));
}

// A receiver starts a task before its row tells that it has it, and its follower starts the task as well.
BOOST_AUTO_TEST_CASE(a_task_from_another_cell_is_received_once_the_row_tells_so)
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
    const flow_job follower(job, cell_id("b"), receiver.current_row(), row_version(2));
    BOOST_TEST(!follower.dirty());
}

// A followed entry leaves an end to its cell's next owner, which takes it for known, and the job's owner never hears of
// it.
BOOST_AUTO_TEST_CASE(ends_that_a_followed_entry_left_are_passed_on)
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

// The owner of a cancelled job's cell hears of a cell that was given a task meanwhile, and does not tell it of the
// cancel.
BOOST_AUTO_TEST_CASE(cells_that_come_to_a_cancelled_job_are_told)
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

// Owners tell each other of each write, and a site with many cells spends its writes on news that change nothing.
BOOST_AUTO_TEST_CASE(only_those_are_told_whom_a_change_concerns)
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

BOOST_AUTO_TEST_CASE(the_newest_start_counts_whoever_noted_it)
{
    // An owner and its follower have noted starts of a task, and the first hears late that its run has ended. Taken for
    // the newest, the older one would have the next owner ask, or not ask, the wrong worker.
    const flow_task_id task{job, 0, 0, 0};
    flow_job one(job, here, two_steps(), row_version(1));
    flow_job other(job, here, two_steps(), row_version(1));
    one.note_start(task, worker_id("w1"), run_number(1));
    other.note_start(task, worker_id("w2"), run_number(1001));
    one.merge(instant{}, other.current_row(), row_writer_kind::other_cell);
    BOOST_TEST(one.find_task(task)->start.worker == "w2");
    one.note_run_ended(task, run_number(1));
    BOOST_TEST(one.find_task(task)->start.worker == "w2");
    other.note_run_ended(task, run_number(1001));
    one.merge(instant{}, other.current_row(), row_writer_kind::other_cell);
    BOOST_TEST(one.find_task(task)->start.worker.empty());
    BOOST_TEST((one.next_run(*one.find_task(task), epoch(3)) == run_number(1002)));
}

BOOST_AUTO_TEST_CASE(notes_of_starts_count_no_longer_once_a_writer_has_left_them_out)
{
    // An entry of an earlier release writes the row as it knows it. Believed all the same, its row would say that tasks
    // which run were never started.
    flow_job flow(job, here, two_steps(), row_version(1));
    BOOST_TEST(flow.row().starts_noted);
    wire::flow_job_row older = flow.current_row();
    older.starts_noted = false;
    flow.merge(instant{}, older, row_writer_kind::other_cell);
    BOOST_TEST(!flow.current_row().starts_noted);
}

BOOST_AUTO_TEST_CASE(failed_runs_count_in_whatever_order_their_ends_are_heard)
{
    // The table is down while a task fails on three workers, then its owner dies. The next owner hears of the third run
    // first: counted by the newest number only, the two before it would not count, and the task would start again after
    // it had failed as often as it may.
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

BOOST_AUTO_TEST_CASE(failed_runs_that_two_writers_counted_add_up)
{
    // An owner that was followed counted one run, its follower another; their rows are merged.
    const flow_task_id task{job, 0, 0, 0};
    flow_job one(job, here, two_steps(), row_version(1));
    BOOST_TEST(one.note_failure(task, run_number(1)) == 1);
    flow_job other(job, here, two_steps(), row_version(1));
    BOOST_TEST(other.note_failure(task, run_number(1001)) == 1);
    one.merge(instant{}, other.current_row(), row_writer_kind::other_cell);
    BOOST_TEST(one.note_failure(task, run_number(1001)) == 2);
    BOOST_TEST(one.dirty());
}

BOOST_AUTO_TEST_CASE(a_failed_run_counts_once_however_often_its_end_is_listed)
{
    // An owner has counted a failed run in the row and dies before it has confirmed the end. The worker lists it again
    // to the next owner: counted twice, the job would be shown as failed though no task has failed so often.
    flow_job first(job, here, two_steps(), row_version(1));
    BOOST_TEST(first.note_failure({job, 0, 0, 0}, run_number(1)) == 1);
    flow_job next(job, here, first.current_row(), row_version(2));
    BOOST_TEST(next.note_failure({job, 0, 0, 0}, run_number(1)) == 1);
    BOOST_TEST(!next.dirty());
    BOOST_TEST(next.note_failure({job, 0, 0, 0}, run_number(1001)) == 2);
}

// A note that nobody writes would leave the row behind for good, and what waits for the row with it.
BOOST_AUTO_TEST_CASE(a_passing_note_of_a_crash_waits_for_the_next_write_of_the_row)
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

// Crashes are heard of by several owners, in any order and more than once: counted twice, or brought back after the
// task has shown itself innocent, they would end its job.
BOOST_AUTO_TEST_CASE(crashes_under_a_task_join_in_whatever_order_they_come)
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
