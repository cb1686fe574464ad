#include <boost/test/unit_test.hpp>

#include <set>

#include "support_cell_hand.h"

using namespace skylarkhub;
using namespace skylarkhub::hand;

namespace {

const incarnation_id deputy("e3@1");
const cell_settings defaults;

// The cell's row names another entry as owner and this one as deputy; seen once, at the start.
void watch_as_deputy(driver& d, const std::vector<std::string>& old_workers = {})
{
    d.write_row(make_row(7, other, {self.str()}, old_workers), "other.1");
    d.give(cell_members_seen{{self, other}});
    d.list({"w1", "w2"});
    d.run(1s);
    d.log.clear();
}

std::size_t takeovers(const driver& d)
{
    return static_cast<std::size_t>(d.c.stats().takeovers);
}

task_report running(const std::string& job, std::int64_t attempt, std::int64_t cpu = 1000)
{
    task_start start{{job_id(job), 0}, attempt_number(attempt), worker_time(), {}, {}, "", false};
    start.committed = {cpu, 100, 0};
    return report_task(start);
}

table_row job_in_table(const wire::job_row& job)
{
    return {job_key(the_cell, job_id(job.job)), encode_row(job), row_version(1), operation_id("x")};
}

} // namespace

BOOST_AUTO_TEST_SUITE(life_of_a_job)

BOOST_AUTO_TEST_CASE(work_is_started_finished_recorded_and_only_then_forgotten)
{
    driver d;
    d.own({"w1"}, {submit(make_job("j", 1))});
    BOOST_TEST((d.c.role() == cell_role::owning));
    worker_hand& w = d.workers["w1"];
    BOOST_REQUIRE_EQUAL(w.told<task_start>().size(), 1U);
    BOOST_TEST(w.told<task_start>()[0].attempt.value() == (1 << 20) + 1);
    BOOST_TEST(d.inbox_rows.empty());

    d.mood = table_mood::down;
    w.tasks[0].state = task_state::finished;
    d.run(3s);
    BOOST_TEST(d.c.jobs().at(0).finished == 1);
    BOOST_TEST(w.tasks.size() == 1U); // kept while the outcome is nowhere else
    d.mood = table_mood::up;
    d.run(4s);
    BOOST_TEST(w.tasks.empty());
    const wire::job_row written = d.job_written("j");
    BOOST_REQUIRE_EQUAL(written.tasks.size(), 1U);
    BOOST_TEST(written.tasks[0].phase == wire::task_phase_row::finished);
    BOOST_TEST(written.tasks[0].attempt == w.told<task_start>()[0].attempt.value());
    BOOST_TEST(written.ended_ms > 0);
}

// A task fails every time. It must not be tried for ever, nor count what was no failure: after the limit its job is
// parked with the reason, durably, and an operator can take it out again.
BOOST_AUTO_TEST_CASE(failures_count_up_to_the_limit_and_then_park_the_job)
{
    driver d;
    wire::job_row job = make_job("j", 1);
    job.spec.__set_attempt_limit(2);
    d.own({"w1", "w2"}, {submit(job)});
    for (int failure = 0; failure < 2; ++failure) {
        for (auto& [name, w] : d.workers) {
            for (task_report& task : w.tasks) {
                task.state = task_state::failed;
                task.reason = "no such shop";
            }
        }
        d.run(6s);
    }
    BOOST_TEST(d.c.jobs().at(0).parked == 1);
    BOOST_TEST(d.c.jobs().at(0).last_reason == "no such shop");
    BOOST_TEST(d.job_written("j").tasks.at(0).phase == wire::task_phase_row::parked);
    d.hand_in({resume("j")});
    d.run(1s);
    BOOST_TEST(d.c.jobs().at(0).running == 1);
}

// A wave of cancels: each is durable as an inbox row before its job is touched, and folding all of them takes few
// transactions, not one each.
BOOST_AUTO_TEST_CASE(a_wave_of_cancels_takes_few_transactions)
{
    driver d;
    std::vector<table_row> submits;
    std::vector<table_row> cancels;
    for (int i = 0; i < 40; ++i) {
        submits.push_back(submit(make_job("j" + std::to_string(i), 1)));
        cancels.push_back(cancel("j" + std::to_string(i)));
    }
    d.own({"w1", "w2"}, submits);
    d.run(3s);
    BOOST_TEST(d.inbox_rows.empty());
    const std::int64_t before = d.c.stats().commits;
    d.hand_in(cancels);
    d.run(3s);
    BOOST_TEST(d.inbox_rows.empty());
    BOOST_TEST(d.c.stats().commits - before <= 6);
    for (const job_view& job : d.c.jobs()) {
        BOOST_TEST(job.cancelled == 1);
        BOOST_TEST(d.job_written(job.row.job).ended_ms > 0);
    }
    BOOST_TEST(d.workers["w1"].tasks.empty());
}

// One scan shows a cancel in front of the submit it belongs to, another shows it alone because pages of a scan are read
// one after the other. Dropped, the cancelled job would run.
BOOST_AUTO_TEST_CASE(a_cancel_seen_before_its_submit_is_not_lost)
{
    driver d;
    d.own({"w1"}, {cancel("a"), submit(make_job("a", 1)), cancel("b")});
    d.hand_in({submit(make_job("b", 1))});
    d.run(4s);
    for (const job_view& job : d.c.jobs()) {
        BOOST_TEST(job.cancelled == 1);
    }
    BOOST_TEST(d.c.stats().starts == 0);
    BOOST_TEST(d.inbox_rows.empty());
}

// A worker dies without a warning. Nobody can ask for a checkpoint then, so each running task must have been asked for
// one before, in turn, or its work would begin afresh. All at once and all the time would be more writes than the
// platform takes.
BOOST_AUTO_TEST_CASE(running_work_is_checkpointed_in_turn)
{
    driver d;
    d.own({"w1"}, {submit(make_job("j", 3))});
    d.run(40s);
    const auto orders = d.workers["w1"].told<task_checkpoint>();
    std::set<std::int32_t> asked;
    for (const task_checkpoint& order : orders) {
        asked.insert(order.task.index);
    }
    BOOST_TEST(asked.size() == 3U);
    BOOST_TEST(orders.size() <= 8U);
    task_report* const task = d.workers["w1"].find({job_id("j"), 0});
    BOOST_REQUIRE(task != nullptr);
    task->checkpoint = "checkpoint/j/0/1";
    task->checkpoint_progress = 0.5;
    d.run(3s);
    d.list({"w1", "w2"});
    d.workers["w1"].silent = true;
    d.run(30s);
    const auto starts = d.workers["w2"].told<task_start>();
    const auto resumed = std::find_if(starts.begin(), starts.end(), [](const auto& s) { return s.task.index == 0; });
    BOOST_REQUIRE(resumed != starts.end());
    BOOST_TEST(resumed->resume_from == "checkpoint/j/0/1");
}

// An eviction asks for a last checkpoint and stops once it is durable; the next attempt resumes there, once, under a
// higher number, and the eviction counts as no failure.
BOOST_AUTO_TEST_CASE(work_on_a_leaving_worker_resumes_elsewhere_from_its_checkpoint)
{
    driver d;
    d.own({"w1"}, {submit(make_job("j", 1))});
    d.list({"w1", "w2"});
    d.run(1s);
    worker_hand& from = d.workers["w1"];
    from.leaving = true;
    while (from.told<task_checkpoint>().empty()) {
        d.tick(50ms);
        BOOST_REQUIRE(d.now < instant(1100s));
    }
    BOOST_TEST(from.told<task_stop>().empty());
    from.tasks.at(0).checkpoint = "checkpoint/j/0/1";
    from.tasks.at(0).checkpoint_progress = 0.5;
    d.run(6s);
    BOOST_TEST(!from.told<task_stop>().empty());
    const auto starts = d.workers["w2"].told<task_start>();
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_TEST(starts[0].resume_from == "checkpoint/j/0/1");
    BOOST_TEST((starts[0].attempt > from.told<task_start>().at(0).attempt));
    BOOST_TEST(d.job_written("j").tasks.at(0).attempts_failed == 0);
    BOOST_TEST(from.tasks.empty());
}

// Guards against tasks that are started in an evacuated data centre, and against starts that are repeated there.
BOOST_AUTO_TEST_CASE(nothing_starts_in_an_evacuated_data_centre)
{
    for (const start_permission denied : {start_permission::evacuated, start_permission::not_known}) {
        driver d;
        d.own({"w1"}, {submit(make_job("j", 1))});
        BOOST_REQUIRE_EQUAL(d.workers["w1"].told<task_start>().size(), 1U);
        cell_settings settings;
        settings.starts = denied;
        d.c.change_settings(settings);
        d.inbox_rows.push_back(submit(make_job("k", 2)));
        d.list({"w1", "w2"});
        d.run(5s);
        BOOST_TEST(d.workers["w1"].told<task_start>().size() == 1U);
        BOOST_TEST(d.workers["w2"].told<task_start>().empty());
        BOOST_TEST(d.workers["w1"].tasks.size() == 1U); // what runs goes on
        settings.starts = start_permission::allowed;
        d.c.change_settings(settings);
        d.run(1s);
        BOOST_TEST(d.workers["w1"].told<task_start>().size() + d.workers["w2"].told<task_start>().size() == 3U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(table_outcomes)

// The takeover takes effect and its answer is lost. Assumed refused, the cell would be taken a second time and its
// epoch wasted; the row read back carries the operation, so it counts.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_by_reading_back)
{
    driver d;
    d.give(cell_members_seen{{self}});
    d.list({"w1"});
    d.mood = table_mood::up;
    d.tick();
    d.mood = table_mood::applies_unanswered;
    d.run(100ms);
    d.mood = table_mood::up;
    d.run(5s);
    BOOST_TEST((d.c.role() == cell_role::owning));
    BOOST_TEST(takeovers(d) == 1U);
    BOOST_TEST(d.c.epoch().value() == 1);
}

// The answer is lost and the row read back is still the old one: the write may yet land. The same content is sent
// again; then the first try lands after all, and the second meets a conflict with its own operation, which means
// applied.
BOOST_AUTO_TEST_CASE(a_write_that_lands_late_is_known_by_its_operation)
{
    driver d;
    d.own({"w1"});
    d.mood = table_mood::loses;
    d.run(1200ms);
    const auto commits = d.all<commit_cell>();
    BOOST_REQUIRE(!commits.empty());
    d.mood = table_mood::up;
    BOOST_TEST(d.apply(commits.back().transaction));
    d.run(3s);
    BOOST_TEST((d.c.role() == cell_role::owning));
    BOOST_TEST(takeovers(d) == 1U);
}

// Another entry has taken the cell while this one's renewal was under way: it must stop at once, not argue.
BOOST_AUTO_TEST_CASE(a_conflict_with_another_owner_ends_ownership)
{
    driver d;
    d.own({"w1"}, {submit(make_job("j", 1))});
    d.write_row(make_row(2, other, {}), "other.1");
    d.run(2s);
    BOOST_TEST((d.c.role() == cell_role::watching));
    d.log.clear();
    d.run(3s);
    BOOST_TEST(d.all<send_worker>().empty());
}

// The answer to a commit never comes, not even a failure. The owner must not wait for ever with everything undurable.
BOOST_AUTO_TEST_CASE(a_commit_that_is_never_answered_is_settled_too)
{
    driver d;
    d.own({"w1"});
    d.mood = table_mood::silent;
    d.run(1500ms);
    d.mood = table_mood::up;
    d.run(12s);
    BOOST_TEST((d.c.role() == cell_role::owning));
    d.hand_in({submit(make_job("j", 1))});
    d.run(1s);
    BOOST_TEST(d.c.jobs().at(0).running == 1);
}

// A tombstone stands in the inbox where an instruction's write may still be on its way. Removed at once, that write
// could land after its caller was told that it did not.
BOOST_AUTO_TEST_CASE(a_tombstone_in_the_inbox_stays_for_a_while)
{
    driver d;
    d.own({"w1"}, {{inbox_key(the_cell, operation_id("x")), "", row_version(1), operation_id("t")}});
    d.run(10s);
    BOOST_TEST(d.inbox_rows.size() == 1U);
    BOOST_TEST(d.c.jobs().empty());
    d.run(config::unreadable_kept + 5s, 500ms);
    BOOST_TEST(d.inbox_rows.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(holding)

// The table is out. Nobody can take over through it, but an owner cannot know who still can: without its deputies'
// promises it stops giving leases T_hold after the last renewal that succeeded was sent.
BOOST_AUTO_TEST_CASE(an_owner_without_promises_stops_at_the_end_of_its_hold)
{
    driver d;
    d.own({"w1"}, {submit(make_job("j", 1))});
    d.give(cell_members_seen{{self, deputy}});
    d.run(3s);
    d.mood = table_mood::down;
    d.run(defaults.hold + 1s);
    BOOST_TEST(d.noticed("cell_unheld"));
    BOOST_TEST(!d.all<ask_hold>().empty());
    BOOST_TEST(d.workers["w1"].told<task_checkpoint>().size() >= 1U); // while it still could
    d.log.clear();
    d.run(5s);
    BOOST_TEST(d.all<send_worker>().empty());
    d.mood = table_mood::up;
    d.run(1s);
    BOOST_TEST(!d.all<send_worker>().empty());
    BOOST_TEST((d.c.role() == cell_role::owning));
}

// The table is out for long, and every deputy goes on promising: work goes on, and what was in memory is started. Past
// T_orphan somebody who never promised may take the cell, so then the promises count no more.
BOOST_AUTO_TEST_CASE(an_owner_with_every_promise_goes_on_until_orphan_time)
{
    driver d;
    d.own({"w1"});
    d.give(cell_members_seen{{self, deputy}});
    d.run(2s);
    d.hand_in({submit(make_job("j", 1))});
    d.mood = table_mood::down;
    for (const instant end = d.now + 60s; d.now < end;) {
        d.run(1s);
        d.give(cell_hold_answered{deputy, d.c.epoch(), true, d.now, defaults.promise});
    }
    BOOST_TEST(!d.noticed("cell_unheld"));
    BOOST_TEST(d.c.jobs().at(0).running == 1);
    for (const instant end = d.now + defaults.orphan; d.now < end;) {
        d.run(2s, 500ms);
        d.give(cell_hold_answered{deputy, d.c.epoch(), true, d.now, defaults.promise});
    }
    BOOST_TEST(d.noticed("cell_unheld"));
    d.log.clear();
    d.run(3s);
    BOOST_TEST(d.all<send_worker>().empty());
}

// The owner's process is stopped for half a minute and runs on. Its hold is over, so the first thing it does must not
// be a renewal or a start; only after its own renewal has succeeded may it speak to workers again.
BOOST_AUTO_TEST_CASE(an_owner_that_wakes_after_its_hold_sends_nothing_first)
{
    driver d;
    d.own({"w1"}, {submit(make_job("j", 1))});
    d.now += 30s;
    d.give(cell_tick{wall_time(d.now.time_since_epoch())});
    BOOST_TEST(d.all<send_worker>().empty());
    BOOST_TEST(!d.all<commit_cell>().empty());
    // Meanwhile another has taken the cell: the renewal conflicts, and nothing is ever sent.
    d.write_row(make_row(2, other, {}), "other.1");
    d.answer_pending();
    d.run(3s);
    BOOST_TEST(d.all<send_worker>().empty());
    BOOST_TEST((d.c.role() == cell_role::watching));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(taking_over)

// A deputy sees the row stand unrenewed, but has promised the owner not to take it: the owner runs work on that promise
// while the table refuses its writes. Taken in spite of it, two owners would give leases at once.
BOOST_AUTO_TEST_CASE(a_deputy_that_promised_waits_for_the_end_of_its_promise)
{
    driver d;
    watch_as_deputy(d);
    d.run(5s);
    d.give(cell_hold_asked{other, skylarkhub::epoch(7), 5s});
    BOOST_TEST(d.all<answer_hold>().at(0).promised);
    const instant promised_until = d.now + 5s;
    while (takeovers(d) == 0) {
        d.tick(50ms);
        BOOST_REQUIRE(d.now < promised_until + 3s);
    }
    BOOST_TEST((d.now > promised_until));
    d.give(cell_hold_asked{other, skylarkhub::epoch(7), 5s});
    BOOST_TEST(!d.all<answer_hold>().back().promised);
}

// The table is out for a minute, then answers a deputy first. That time alone proves nothing about the owner, which
// could not renew either; it has renewed by the deputy's second read, so the row has moved and the deputy waits anew.
BOOST_AUTO_TEST_CASE(a_row_that_moves_after_an_outage_is_not_taken)
{
    driver d;
    watch_as_deputy(d);
    d.mood = table_mood::down;
    d.run(60s);
    BOOST_TEST(takeovers(d) == 0U);
    d.write_row(make_row(7, other, {self.str()}), "other.2");
    d.mood = table_mood::up;
    d.run(defaults.hold);
    BOOST_TEST(takeovers(d) == 0U);
}

// An entry that is no deputy promised nothing and was promised nothing: it may take only after the long T_orphan.
BOOST_AUTO_TEST_CASE(an_entry_that_is_no_deputy_waits_for_orphan_time)
{
    driver d;
    d.write_row(make_row(7, other, {deputy.str()}), "other.1");
    d.give(cell_members_seen{{self, other}});
    d.run(60s, 200ms);
    BOOST_TEST(takeovers(d) == 0U);
    d.run(defaults.orphan - 60s, 500ms);
    BOOST_TEST(takeovers(d) == 0U);
    d.run(30s, 200ms);
    BOOST_TEST(takeovers(d) == 1U);
}

// The owner dies while its tasks run. The new one fences the workers and finds them running: they are adopted under
// their attempts, held in the ledger at the size they were started with, and nothing is started a second time.
BOOST_AUTO_TEST_CASE(running_tasks_are_adopted_not_redone)
{
    driver d;
    d.job_rows = {job_in_table(make_job("j", 2))};
    const std::int64_t attempt = (7 << 20) + 5;
    d.workers["w1"].tasks = {running("j", attempt, 1500)};
    watch_as_deputy(d, {"w1"});
    d.run(10s);
    BOOST_TEST((d.c.role() == cell_role::owning));
    BOOST_TEST(d.c.stats().adopted == 1);
    BOOST_TEST(d.workers["w1"].told<task_renew>().at(0).attempt.value() == attempt);
    for (const auto& [name, w] : d.workers) {
        for (const task_start& start : w.told<task_start>()) {
            BOOST_TEST(start.task.index == 1);
        }
    }
    BOOST_TEST(d.c.jobs().at(0).running == 2);
    BOOST_TEST(d.c.summary().free.cpu_millis == 8000 - 1500 - 1000);
}

// The owner dies, and one worker it used cannot be reached by the new one: a task may run there under a lease the old
// owner gave. It is started elsewhere only after every such lease is certainly over; new work need not wait.
BOOST_AUTO_TEST_CASE(unaccounted_tasks_wait_for_the_last_lease)
{
    driver d;
    d.job_rows = {job_in_table(make_job("j", 1))};
    d.workers["w2"].silent = true;
    watch_as_deputy(d, {"w1", "w2"});
    while (takeovers(d) == 0) {
        d.tick(50ms);
    }
    const instant taken = d.now;
    d.run(500ms);
    d.hand_in({submit(make_job("new", 1))});
    BOOST_TEST(d.c.jobs().at(1).running == 1);
    while (d.c.stats().starts < 2) {
        d.tick(50ms);
        BOOST_REQUIRE(d.now < taken + 2 * defaults.lease_length);
    }
    BOOST_TEST((d.now - taken > defaults.lease_length));
    BOOST_TEST(d.workers["w1"].told<task_start>().size() == 2U);
}

// A worker answers that it has seen a higher epoch: another owner is at work already, whatever the row last said.
BOOST_AUTO_TEST_CASE(a_higher_epoch_at_a_worker_ends_ownership)
{
    driver d;
    d.own({"w1"});
    worker_report report;
    report.epoch = skylarkhub::epoch(9);
    d.give(cell_worker_answered{worker_id("w1"), sequence_number(99), d.now, report});
    BOOST_TEST((d.c.role() == cell_role::watching));
}

// A planned stop cuts nothing off: leases are renewed a last time, the row says that takers need not wait, and from
// then on no command leaves, because the next owner may already be counting.
BOOST_AUTO_TEST_CASE(a_planned_stop_hands_over_and_falls_silent)
{
    driver d;
    d.own({"w1"}, {submit(make_job("j", 1))});
    d.run(1s);
    d.log.clear();
    d.give(cell_stop_planned{});
    d.answer_pending();
    d.run(1s);
    BOOST_TEST(d.row_now().handed_over);
    BOOST_TEST(d.all<cell_handed_over>().size() == 1U);
    BOOST_TEST((d.workers["w1"].tasks.at(0).state == task_state::running));
    d.log.clear();
    d.run(10s);
    BOOST_TEST(d.all<send_worker>().empty());
    BOOST_TEST(takeovers(d) == 1U);

    driver next;
    next.c = cell(the_cell, other, {});
    next.row = d.row;
    next.job_rows = d.job_rows;
    next.workers = d.workers;
    next.give(cell_members_seen{{other}});
    next.list({"w1"});
    next.run(1s);
    BOOST_TEST(next.c.stats().adopted == 1);
    BOOST_TEST(next.c.stats().starts == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(workers_that_fail)

// The answer to a start is lost. The task may run, so its room stays taken and it is bound nowhere else; when the
// worker is heard again and does not have it, it certainly never ran, and a new attempt is made.
BOOST_AUTO_TEST_CASE(a_start_whose_answer_is_lost_keeps_its_room)
{
    driver d;
    d.own({"w1"});
    d.workers["w1"].deaf_owner = true;
    d.hand_in({submit(make_job("j", 1))});
    BOOST_TEST(d.c.jobs().at(0).running == 1);
    BOOST_TEST(d.c.summary().free.cpu_millis == 3000);
    d.workers["w1"].deaf_owner = false;
    d.workers["w1"].tasks.clear();
    d.run(5s);
    const auto starts = d.workers["w1"].told<task_start>();
    BOOST_TEST(starts.size() >= 2U);
    BOOST_TEST((starts.back().attempt >= starts.front().attempt));
    BOOST_TEST(d.workers["w1"].tasks.size() == 1U);
}

// An answer from before the newest commands arrives late and does not show the task just started. Believed, it would
// release the task's room and start it a second time.
BOOST_AUTO_TEST_CASE(a_late_answer_releases_nothing)
{
    driver d;
    d.own({"w1"}, {submit(make_job("j", 1))});
    const worker_hand& w = d.workers["w1"];
    worker_report stale = d.report_of(w, w.requests.front());
    stale.tasks.clear();
    d.give(cell_worker_answered{worker_id("w1"), w.requests.front().sequence, d.now, stale});
    BOOST_TEST(d.c.jobs().at(0).running == 1);
    BOOST_TEST(d.c.summary().free.cpu_millis == 3000);
}

// A worker falls silent with a running task. The task is started elsewhere only when its lease is certainly over. Then
// the worker is back, and the first attempt had finished before: that finish counts, once, and the second run is
// stopped.
BOOST_AUTO_TEST_CASE(a_finish_told_late_counts_once_and_stops_the_second_run)
{
    driver d;
    d.own({"w1"}, {submit(make_job("j", 1))});
    d.list({"w1", "w2"});
    d.run(1s);
    worker_hand& first = d.workers["w1"];
    first.silent = true;
    const instant silent_from = d.now;
    while (d.workers["w2"].tasks.empty()) {
        d.tick(50ms);
        BOOST_REQUIRE(d.now < silent_from + 2 * defaults.lease_length);
    }
    BOOST_TEST((d.now - silent_from > defaults.lease_length - defaults.lease_renew_interval));
    first.tasks.at(0).state = task_state::finished;
    first.silent = false;
    d.run(8s);
    BOOST_TEST(d.c.jobs().at(0).finished == 1);
    BOOST_TEST(d.c.stats().finishes == 1);
    BOOST_TEST(!d.workers["w2"].told<task_stop>().empty());
    BOOST_TEST(d.workers["w2"].tasks.empty());
    BOOST_TEST(first.tasks.empty());
}

// A job declares far more than it uses. Its ledger entry shrinks, but only once the worker says that it holds no more
// than that: a start placed into the room before would be refused, or overcommit the worker by its own account.
BOOST_AUTO_TEST_CASE(room_of_an_overdeclared_task_is_used_when_the_worker_has_let_go_of_it)
{
    driver d;
    d.own({"w1"}, {submit(make_job("a", 1, 3000))});
    worker_hand& w = d.workers["w1"];
    w.tasks.at(0).used = {300, 50, 0};
    d.hand_in({submit(make_job("b", 1, 2000))});
    BOOST_TEST(w.tasks.size() == 1U);
    const auto shrunk = [&] {
        const auto renewals = w.told<task_renew>();
        return std::any_of(renewals.begin(), renewals.end(),
                           [](const task_renew& r) { return r.committed.cpu_millis > 0; });
    };
    while (!shrunk()) {
        d.tick(50ms);
        BOOST_REQUIRE(d.now < instant(1000s) + 2 * config::size_settled + 60s);
        BOOST_TEST(w.tasks.size() == 1U);
    }
    d.run(5s);
    BOOST_TEST(w.tasks.size() == 2U);
    BOOST_TEST(w.starts_refused == 0);
    BOOST_TEST((w.committed().cpu_millis == 4000 - d.c.summary().free.cpu_millis));
}

// A worker restarts: its tasks are gone and its clock is another one. The tasks go back to the queue without counting
// as failures, and new leases are computed from the new clock, named by the new boot.
BOOST_AUTO_TEST_CASE(a_restarted_worker_has_lost_its_tasks)
{
    driver d;
    d.own({"w1"}, {submit(make_job("j", 1))});
    d.run(1s);
    worker_hand& w = d.workers["w1"];
    w.restart("b2");
    d.run(4s);
    BOOST_TEST(w.tasks.size() == 1U);
    BOOST_TEST(w.requests.back().boot == "b2");
    const worker_time clock(d.now.time_since_epoch() + w.clock_offset);
    BOOST_TEST((w.tasks.at(0).lease_until > clock));
    BOOST_TEST((w.tasks.at(0).lease_until <= clock + defaults.lease_length));
    BOOST_TEST(d.job_written("j").tasks.at(0).attempts_failed == 0);
}

// A worker is listed for the first time. Until the row names it, a new owner would not know to ask it: nothing is
// started there before.
BOOST_AUTO_TEST_CASE(nothing_is_started_on_a_worker_the_row_does_not_name)
{
    driver d;
    d.own({});
    d.mood = table_mood::down;
    d.list({"w1"});
    d.run(500ms);
    d.mood = table_mood::up;
    d.hand_in({submit(make_job("j", 1))});
    d.mood = table_mood::down;
    BOOST_TEST(d.row_now().workers == std::vector<std::string>{"w1"}, boost::test_tools::per_element());
    BOOST_TEST(d.c.jobs().at(0).running == 1);
    d.list({"w1", "w2"});
    d.workers["w1"].leaving = true;
    d.run(4s);
    BOOST_TEST(d.workers["w2"].told<task_start>().empty());
    d.mood = table_mood::up;
    d.run(4s);
    BOOST_TEST(d.workers["w2"].told<task_start>().size() == 1U);
}

// A service's worker falls silent. Its task keeps its place there and another is started elsewhere soon; when the
// worker is back the older one is taken out of the targets first, and stopped only when entries have had time to drop
// it.
BOOST_AUTO_TEST_CASE(a_service_is_replaced_and_its_old_task_leaves_gracefully)
{
    driver d;
    wire::job_row job = make_job("news", 1);
    job.spec.__set_is_service(true);
    d.own({"w1", "w2"}, {submit(job)});
    d.run(1s);
    const std::string home = d.workers["w1"].tasks.empty() ? "w2" : "w1";
    const std::string away = home == "w1" ? "w2" : "w1";
    d.workers[home].tasks.at(0).address = net_address("127.0.0.1:80");
    d.run(3s);
    BOOST_TEST(d.c.targets().size() == 1U);
    d.workers[home].silent = true;
    d.run(config::service_replace + 2s);
    BOOST_REQUIRE_EQUAL(d.workers[away].tasks.size(), 1U);
    d.workers[home].silent = false;
    d.run(2s);
    BOOST_TEST(d.workers[home].told<task_stop>().empty());
    BOOST_TEST(d.c.targets().at(0).leaving);
    d.run(config::service_grace + 4s);
    BOOST_TEST(d.workers[home].tasks.empty());
    BOOST_TEST(d.workers[away].tasks.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
