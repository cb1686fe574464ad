// Tests of jobs that run again and again: what an owner holds of them, what their rows hold, and that each occurrence
// runs once.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

#include "flow_job_p.h"
#include "row_codec_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const job_id job("00000000000000aa");
const std::string neighbour = "00000000000000bb";
const cell_id here("a");
const cell_id elsewhere("b");
constexpr std::int32_t minutes_of_a_year = 365 * 24 * 60;
constexpr std::size_t row_bytes_most = 65536; // the platform's limit for a row
constexpr std::size_t tasks_held_most = 1000; // of one job with small steps, however many of its occurrences are due
constexpr wall_time first_due{1h};

flow_spec recurring_spec(std::int32_t occurrences, duration interval, int steps = 1, int tasks = 2)
{
    flow_spec spec = chain_spec(steps, tasks);
    spec.occurrences = occurrences;
    spec.first_due = first_due;
    spec.interval = interval;
    return spec;
}

wire::flow_job_row row_of(const flow_spec& spec)
{
    wire::flow_job_row row = make_job_row(spec);
    row.cell = here.str();
    row.cell_epoch = 3;
    return row;
}

std::size_t tasks_held(const flow_job& flow)
{
    std::size_t tasks = 0;
    for (const flow_stage& stage : flow.stages()) {
        tasks += stage.tasks.size();
    }
    return tasks;
}

// Occurrences that have a task which waits for a worker.
std::set<std::int32_t> ready_occurrences(const flow_job& flow)
{
    std::set<std::int32_t> occurrences;
    for (const flow_stage& stage : flow.stages()) {
        if (stage.ready > 0) {
            occurrences.insert(stage.occurrence);
        }
    }
    return occurrences;
}

void write_row(flow_job& flow)
{
    flow.mark_written(flow.changes(), row_version(flow.version().value() + 1));
}

// Ends all tasks of the occurrence, in the order of its steps, and writes each step.
void finish(flow_job& flow, std::int32_t occurrence, wall_time wall)
{
    for (std::size_t step = 0; step < flow.spec().steps.size(); ++step) {
        for (std::int32_t i = 0; i < flow.spec().steps[step].count; ++i) {
            flow.note_done({job, occurrence, static_cast<std::int32_t>(step), i});
        }
        write_row(flow);
        flow.open_stages(instant{}, wall);
    }
}

} // namespace

// Guards against an owner that runs out of memory over occurrences that are due much later.
BOOST_AUTO_TEST_CASE(a_job_each_minute_for_a_year_holds_what_is_due)
{
    flow_job flow(job, here, row_of(recurring_spec(minutes_of_a_year, 1min)), row_version(1));
    BOOST_TEST(tasks_held(flow) == 0);
    BOOST_TEST(!flow.open_stages(instant{}, first_due - 1ms));
    BOOST_TEST(flow.open_stages(instant{}, first_due));
    BOOST_TEST(flow.count_ready() == 2);
    BOOST_TEST(tasks_held(flow) == 2);
    BOOST_TEST(flow.open_stages(instant{}, first_due + 2min));
    BOOST_TEST(ready_occurrences(flow) == (std::set<std::int32_t>{0, 1, 2}), boost::test_tools::per_element());
    BOOST_TEST(!flow.all_done());
}

// Guards against an owner that runs out of memory over a job whose occurrences are all due at once.
BOOST_AUTO_TEST_CASE(occurrences_that_are_due_at_once_are_held_a_few_at_a_time)
{
    constexpr std::int32_t occurrences = 5000;
    flow_job flow(job, here, row_of(recurring_spec(occurrences, 0ms, 2)), row_version(1));
    flow.open_stages(instant{}, first_due);
    std::size_t held_most = 0;
    for (std::int32_t next = 0; next < occurrences; ++next) {
        BOOST_REQUIRE(*ready_occurrences(flow).begin() == next); // the oldest first
        held_most = std::max(held_most, tasks_held(flow));
        BOOST_REQUIRE(!flow.all_done());
        finish(flow, next, first_due);
    }
    BOOST_TEST(held_most <= tasks_held_most);
    BOOST_TEST(flow.all_done());
}

// Guards against an owner that runs out of memory over occurrences most of whose tasks are done: all of them are held
// until the last one is.
BOOST_AUTO_TEST_CASE(done_tasks_of_occurrences_that_go_on_count_in_memory)
{
    flow_spec spec = recurring_spec(5000, 0ms, 2, 250);
    spec.steps.back().count = 1;
    const std::int64_t bytes_most = divide_machine({}).recurring_job_bytes();
    flow_job flow(job, here, row_of(spec), row_version(1));
    std::int32_t last = 0;
    std::int32_t next = 0;
    for (std::size_t held = 1; held != flow.stages().size();) {
        held = flow.stages().size();
        flow.open_stages(instant{}, first_due);
        last = flow.stages().back().occurrence;
        for (; next <= last; ++next) {
            for (std::int32_t i = 0; i < spec.steps.front().count; ++i) {
                flow.note_done({job, next, 0, i});
            }
        }
        BOOST_REQUIRE(flow.held_bytes() <= bytes_most);
    }
    BOOST_TEST(last > 2);
    finish(flow, 0, first_due);
    BOOST_TEST(flow.stages().back().occurrence == last + 1);
}

// Guards against an occurrence that is too large to be held beside others, and is never made.
BOOST_AUTO_TEST_CASE(an_occurrence_of_many_tasks_is_held_alone)
{
    flow_job flow(job, here, row_of(recurring_spec(3, 0ms, 1, 4000)), row_version(1));
    for (std::int32_t next = 0; next < 3; ++next) {
        flow.open_stages(instant{}, first_due);
        BOOST_TEST(ready_occurrences(flow) == (std::set<std::int32_t>{next}), boost::test_tools::per_element());
        finish(flow, next, first_due);
    }
    BOOST_TEST(flow.all_done());
}

// Guards against a row that grows with each occurrence that is done, until the table refuses it for its size.
BOOST_AUTO_TEST_CASE(the_row_does_not_grow_with_occurrences_that_are_done)
{
    flow_job flow(job, here, row_of(recurring_spec(minutes_of_a_year, 1min)), row_version(1));
    constexpr std::int32_t ended = 20000;
    std::size_t bytes_most = 0;
    for (std::int32_t k = 0; k < ended; ++k) {
        flow.open_stages(instant{}, first_due + k * 1min);
        // Each second one ends after the one that follows it.
        if (k % 2 == 1) {
            finish(flow, k, first_due + k * 1min);
            finish(flow, k - 1, first_due + k * 1min);
        }
        if (k % 1000 == 0) {
            bytes_most = std::max(bytes_most, encode_compact(flow.current_row()).size());
        }
    }
    bytes_most = std::max(bytes_most, encode_compact(flow.current_row()).size());
    BOOST_TEST(bytes_most <= row_bytes_most / 10);
    BOOST_TEST(tasks_held(flow) <= tasks_held_most);
}

// Guards against a next owner that runs again what is done.
BOOST_AUTO_TEST_CASE(the_next_owner_goes_on_after_the_occurrences_that_are_done)
{
    for (const std::int32_t occurrences : {20, minutes_of_a_year}) {
        flow_job flow(job, here, row_of(recurring_spec(occurrences, 1min)), row_version(1));
        const wall_time wall = first_due + 9min;
        flow.open_stages(instant{}, wall);
        for (const std::int32_t k : {0, 1, 2, 5, 7}) {
            finish(flow, k, wall);
        }
        flow.note_done({job, 3, 0, 1});
        flow_job next(job, here, flow.current_row(), row_version(2));
        BOOST_TEST(!next.dirty());
        next.open_stages(instant{}, wall);
        BOOST_TEST(ready_occurrences(next) == (std::set<std::int32_t>{3, 4, 6, 8, 9}),
                   boost::test_tools::per_element());
        BOOST_TEST(next.count_ready() == 9);
        for (const std::int32_t k : {3, 4, 6, 8, 9}) {
            finish(next, k, wall);
        }
        BOOST_TEST(next.count_ready() == 0);
        BOOST_TEST(!next.all_done());
    }
}

// Guards against runs of an occurrence that a new owner, whose clock is behind, does not hold yet: they would be
// stopped, or their ends be ignored and the tasks started again.
BOOST_AUTO_TEST_CASE(ends_of_an_occurrence_that_is_not_due_here_yet_count)
{
    flow_job flow(job, here, row_of(recurring_spec(minutes_of_a_year, 1min)), row_version(1));
    flow.open_stages(instant{}, first_due);
    BOOST_REQUIRE(flow.find_task({job, 1, 0, 0}) != nullptr);
    BOOST_TEST(flow.note_done({job, 1, 0, 0}));
    BOOST_TEST(!flow.note_done({job, 1, 0, 0}));
    BOOST_TEST(flow.note_done({job, 1, 0, 1}));
    flow.open_stages(instant{}, first_due + 1min);
    BOOST_TEST(ready_occurrences(flow) == (std::set<std::int32_t>{0}), boost::test_tools::per_element());
    BOOST_TEST(flow.find_task({job, minutes_of_a_year, 0, 0}) == nullptr);
    BOOST_TEST(flow.find_task({job, -1, 0, 0}) == nullptr);
}

// Guards against ends that a former owner does not leave to the next one, since it held their occurrence no more when
// it lost the cell, and had not written them.
BOOST_AUTO_TEST_CASE(ends_that_are_not_written_are_held)
{
    flow_job flow(job, here, row_of(recurring_spec(minutes_of_a_year, 1min)), row_version(1));
    flow.open_stages(instant{}, first_due);
    flow.note_done({job, 0, 0, 0});
    const std::uint64_t first_end = flow.changes();
    flow.note_done({job, 0, 0, 1});
    flow.mark_written(first_end, row_version(2));
    flow.open_stages(instant{}, first_due);
    BOOST_TEST(tasks_held(flow) == 2);
    write_row(flow);
    flow.open_stages(instant{}, first_due);
    BOOST_TEST(tasks_held(flow) == 0);
    BOOST_TEST(flow.find_task({job, 0, 0, 1}) == nullptr);
}

// Guards against an occurrence that is done and is started again, since a row that was written before it ended is read
// later.
BOOST_AUTO_TEST_CASE(an_older_row_does_not_reopen_what_is_done)
{
    flow_job flow(job, here, row_of(recurring_spec(minutes_of_a_year, 1min)), row_version(1));
    flow.open_stages(instant{}, first_due);
    flow.note_done({job, 0, 0, 0});
    const wire::flow_job_row older = flow.current_row();
    finish(flow, 0, first_due);
    flow.merge(instant{}, older, row_writer_kind::other_cell);
    flow.open_stages(instant{}, first_due);
    BOOST_TEST(flow.count_ready() == 0);
    flow_job next(job, here, older, row_version(1));
    next.merge(instant{}, flow.current_row(), row_writer_kind::own);
    next.open_stages(instant{}, first_due);
    BOOST_TEST(next.count_ready() == 0);
}

// Guards against a cell that holds, and writes, each occurrence of which it was ever given a task.
BOOST_AUTO_TEST_CASE(a_cell_that_is_given_tasks_holds_those_occurrences_only)
{
    flow_job home(job, here, row_of(recurring_spec(minutes_of_a_year, 1min)), row_version(1));
    flow_job other(job, elsewhere, row_of(recurring_spec(minutes_of_a_year, 1min)), row_version(0));
    constexpr std::int32_t ended = 3000;
    for (std::int32_t k = 0; k < ended; ++k) {
        const wall_time wall = first_due + k * 1min;
        home.open_stages(instant{}, wall);
        home.hand_off_task({job, k, 0, 1}, elsewhere, epoch(1), epoch(3));
        other.merge(instant{}, home.current_row(), row_writer_kind::other_cell);
        other.open_stages(instant{}, wall);
        BOOST_REQUIRE(other.count_ready() == 1);
        BOOST_REQUIRE(tasks_held(other) <= 4);
        other.note_done({job, k, 0, 1});
        write_row(other);
        home.note_done({job, k, 0, 0});
        home.merge(instant{}, other.current_row(), row_writer_kind::other_cell);
        write_row(home);
    }
    BOOST_TEST(encode_compact(other.current_row()).size() <= row_bytes_most / 10);
    home.open_stages(instant{}, first_due + ended * 1min);
    BOOST_TEST(ready_occurrences(home) == (std::set<std::int32_t>{ended}), boost::test_tools::per_element());
}

// Guards against an entry of an earlier release, which knows bits only, that starts again what is done.
BOOST_AUTO_TEST_CASE(an_earlier_release_reads_what_is_done)
{
    flow_job flow(job, here, row_of(recurring_spec(20, 1min, 2)), row_version(1));
    flow.open_stages(instant{}, first_due + 2min);
    finish(flow, 0, first_due + 2min);
    finish(flow, 2, first_due + 2min);
    std::set<std::pair<std::int32_t, std::int32_t>> done;
    for (const wire::flow_stage_row& stage : flow.current_row().stages) {
        BOOST_TEST(stage.done == std::string(1, '\x03'));
        done.insert({stage.occurrence, stage.step});
    }
    BOOST_TEST((done == std::set<std::pair<std::int32_t, std::int32_t>>{{0, 0}, {0, 1}, {2, 0}, {2, 1}}));
}

// Guards against an overflow where the time of a late occurrence is beyond what a clock can tell.
BOOST_AUTO_TEST_CASE(an_interval_beyond_all_clocks_is_never_over)
{
    flow_job flow(job, here, row_of(recurring_spec(minutes_of_a_year, std::chrono::hours(24 * 365 * 200000))),
                  row_version(1));
    flow.open_stages(instant{}, first_due + 24h);
    BOOST_TEST(ready_occurrences(flow) == (std::set<std::int32_t>{0}), boost::test_tools::per_element());
}

// Guards against occurrences that run twice, or never, and jobs beside them that wait, while owners are killed.
BOOST_AUTO_TEST_CASE(each_occurrence_runs_once_while_owners_are_killed)
{
    constexpr std::int32_t occurrences = 150;
    constexpr int entries = 3;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            flow_simulation w({.seed = seed,
                               .data_centres = {"a", "b"},
                               .entries_per_data_centre = entries,
                               .worker_cpu_millis = 4000,
                               .run_time = [](const flow_task_id& t) { return duration(100ms * (1 + t.index % 7)); }});
            w.run_for(4s);
            flow_spec spec = recurring_spec(occurrences, 200ms, 2, 3);
            spec.first_due = wall_time((w.now() + 1s).time_since_epoch());
            BOOST_REQUIRE(w.submit(0, job.str(), spec) == caller_result::accepted);
            BOOST_REQUIRE(w.submit(1, neighbour, lasting_spec(4)) == caller_result::accepted);
            for (int round = 0; round < 3; ++round) {
                w.run_for(6s + seed * 137ms);
                for (const bool first : {true, false}) {
                    const std::string cell = first ? "a" : "b";
                    const int owner = owner_of(w, cell, 2 * entries);
                    if (owner >= 0 && (seed + static_cast<std::uint64_t>(round)) % 2 == (first ? 0 : 1)) {
                        w.kill_entry(owner);
                        w.run_for(3s);
                        w.start_entry(owner);
                    }
                }
            }
            BOOST_TEST(w.run_until([&] { return w.stored_outcome(job.str()) != 0; }, 90s));
            BOOST_TEST(w.stored_outcome(job.str()) == 1);
            BOOST_TEST(w.count_job_starts(job.str()) >= occurrences * 6);
            BOOST_TEST(w.count_running_tasks(neighbour) == 4);
            check_no_violations(w);
        }
    }
}

// Guards against an owner of a job for a year that serves its neighbours no more, and occurrences that are not run.
BOOST_AUTO_TEST_CASE(a_job_for_a_year_runs_beside_its_neighbours)
{
    flow_simulation w({.entries_per_data_centre = 2});
    w.run_for(3s);
    flow_spec spec = recurring_spec(minutes_of_a_year, 1min);
    spec.first_due = wall_time((w.now() + 2s).time_since_epoch());
    BOOST_REQUIRE(w.submit(0, job.str(), spec) == caller_result::accepted);
    BOOST_REQUIRE(w.submit(1, neighbour, lasting_spec(4)) == caller_result::accepted);
    w.run_for(4s);
    BOOST_TEST(w.count_job_starts(job.str()) == 2);
    BOOST_TEST(w.count_running_tasks(neighbour) == 4);
    w.kill_entry(owner_of(w, "a", 2));
    w.run_for(61s);
    BOOST_TEST(w.count_job_starts(job.str()) == 4);
    BOOST_TEST(w.count_running_tasks(neighbour) == 4);
    check_no_violations(w);
}

// Guards against each owner in turn that runs out of memory over a row which an earlier release has accepted.
BOOST_AUTO_TEST_CASE(owners_hold_of_an_accepted_job_that_lasts_what_they_have_memory_for)
{
    constexpr int entries = 2;
    caller_bounds bounds;
    bounds.shares.job_bytes = 1 << 20;
    flow_simulation w({.entries_per_data_centre = entries, .bounds = bounds});
    w.run_for(3s);
    BOOST_REQUIRE(w.submit(1, neighbour, lasting_spec(4)) == caller_result::accepted);
    w.run_for(2s);
    flow_spec spec = lasting_spec(1, 10);
    spec.occurrences = 20000;
    w.insert_unannounced_job(job.str(), here, spec);
    for (int round = 0; round < 2; ++round) {
        const int owner = owner_of(w, here.str(), entries);
        BOOST_REQUIRE(owner >= 0);
        w.kill_entry(owner);
        w.run_for(12s);
        w.start_entry(owner);
        const int next = owner_of(w, here.str(), entries);
        BOOST_REQUIRE(next >= 0);
        BOOST_TEST(w.entry(next)->cells().at(here)->job_bytes() <= bounds.shares.job_bytes);
        BOOST_TEST(w.count_running_tasks(neighbour) == 4);
        w.run_for(3s);
    }
    BOOST_TEST(w.count_job_starts(job.str()) > 0);
    check_no_violations(w);
}

// Guards against a caller who is told that a job never runs which an earlier release has accepted.
BOOST_AUTO_TEST_CASE(an_accepted_job_that_lasts_too_often_is_not_refused_later)
{
    caller_bounds bounds;
    bounds.shares.job_bytes = 1 << 20;
    flow_simulation w({.entries_per_data_centre = 1, .bounds = bounds});
    w.run_for(3s);
    flow_spec spec = lasting_spec(1, 10);
    spec.occurrences = 5000;
    w.insert_unannounced_job(job.str(), here, spec);
    BOOST_TEST((w.submit(0, job.str(), spec) == caller_result::accepted));
}
