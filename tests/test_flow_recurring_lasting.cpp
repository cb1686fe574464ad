// Tests of jobs that recur and whose occurrences never end, as a step of each lasts: more of them may be due than their
// owner, their row or their site holds.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <limits>

#include "flow_job_p.h"
#include "flow_row_join_p.h"
#include "flow_row_p.h"
#include "flow_row_pack_p.h"
#include "row_codec_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job = "00000000000000aa";
const std::string neighbour = "00000000000000bb";
const cell_id here("a");
constexpr std::size_t row_bytes_most = 65'536; // the platform's limit for a row
constexpr std::int32_t occurrences_beyond_memory = 500'000;
constexpr int neighbour_tasks = 4;

// A job of that many occurrences, all due, of tasks of 0.01 cores that last.
flow_spec lasting_occurrences(std::int32_t occurrences, int tasks = 1)
{
    flow_spec spec = lasting_spec(tasks, 10);
    spec.steps.front().need.memory_mib = 1;
    spec.occurrences = occurrences;
    return spec;
}

// Two entries, and six workers with room for 1,000 tasks of 0.01 cores each.
flow_simulation::options wide_site(std::uint64_t seed = 1)
{
    return {.seed = seed, .entries_per_data_centre = 2, .workers_per_data_centre = 6, .worker_cpu_millis = 10'000};
}

caller_bounds small_machine()
{
    caller_bounds bounds;
    bounds.shares.job_bytes = 1 << 20;
    return bounds;
}

wire::flow_job_row row_of(const flow_spec& spec)
{
    wire::flow_job_row row = make_job_row(spec);
    row.cell = here.str();
    row.cell_epoch = 3;
    return row;
}

// The row of a job whose occurrences have started on the workers of two cells, all but each seventh one.
wire::flow_job_row row_of_started(std::int32_t occurrences)
{
    constexpr int workers = 8;
    wire::flow_job_row row = row_of(lasting_occurrences(occurrences, 2));
    row.starts_noted = true;
    for (std::int32_t k = 0; k < occurrences; ++k) {
        if (k % 7 == 0) {
            continue;
        }
        wire::flow_stage_row& stage = row.stages.emplace_back();
        stage.occurrence = k;
        for (std::int32_t i = 0; i < 2; ++i) {
            wire::flow_start_row& start = stage.starts[i];
            start.worker = fmt::format("7b1d0000-51a3-4c0d-9e2f-30f5c6a7d0{:02}", (k + i) % workers);
            start.born = 1'770'000'000'000 + (k + i) % workers;
            start.run = 1 + k % 3;
        }
        if (k % 2 == 0) {
            stage.homes[1].cell = "b";
            stage.homes[1].epoch = 2;
            stage.homes[1].moves = 1;
        }
        if (k % 100 == 1) {
            stage.failed_runs[1] = {1, 2};
            stage.outlived[1] = 2;
            stage.done.assign(1, '\1');
            stage.starts.erase(0);
        }
    }
    return row;
}

wire::flow_job_row decoded(const std::string& bytes)
{
    const auto row = decode_compact<wire::flow_job_row>(bytes);
    BOOST_REQUIRE(row.has_value());
    return *row;
}

std::vector<wire::flow_stage_row> stages_of(const wire::flow_job_row& row)
{
    std::vector<wire::flow_stage_row> stages;
    for_each_stage(row, [&](const wire::flow_stage_row& stage) { stages.push_back(stage); });
    return stages;
}

// Places all tasks that wait, as the owner does whose workers have room.
void place_all(flow_job& flow)
{
    for (flow_stage& stage : flow.stages()) {
        for (flow_task& task : stage.tasks) {
            if (task.stage == flow_task_state::ready) {
                task.stage = flow_task_state::placed;
                task.runs.push_back({worker_id("w"), run_number(1)});
            }
        }
        stage.ready = 0;
    }
}

std::int64_t bytes_of_owner(flow_simulation& w, int entries)
{
    const int owner = owner_of(w, here.str(), entries);
    BOOST_REQUIRE(owner >= 0);
    return w.entry(owner)->cells().at(here)->job_bytes();
}

} // namespace

// Guards against a row that outgrows the table's limit with the occurrences that run, so that none of them starts.
BOOST_AUTO_TEST_CASE(the_starts_of_many_occurrences_fit_into_a_row)
{
    wire::flow_job_row row = row_of_started(12'800);
    for (const bool has_specification : {true, false}) {
        if (!has_specification) {
            row.steps.clear();
            row.occurrences = 0;
        }
        const std::string bytes = encode_job_row(row, row_bytes_most);
        BOOST_TEST_MESSAGE("plain " << encode_compact(row).size() << " bytes, packed " << bytes.size());
        BOOST_TEST(bytes.size() <= row_bytes_most);
        wire::flow_job_row read = decoded(bytes);
        BOOST_REQUIRE(unpack_job_row(read));
        BOOST_TEST((stages_of(read) == row.stages));
        BOOST_TEST(read.starts_noted);
    }
}

// Guards against an owner of an earlier release that takes what it can't read for tasks that were never started.
BOOST_AUTO_TEST_CASE(an_earlier_release_reads_no_row_with_joined_occurrences)
{
    wire::flow_job_row read = decoded(encode_job_row(row_of_started(2'000), row_bytes_most));
    BOOST_REQUIRE(is_joined(read));
    read.joined.clear();
    read.joined_stages.clear();
    BOOST_TEST(!unpack_job_row(read));
}

// Guards against a damaged row that ends the entry or takes all its memory.
BOOST_AUTO_TEST_CASE(a_damaged_row_with_joined_occurrences_is_refused_or_read)
{
    const std::string whole = encode_job_row(row_of_started(2'000), row_bytes_most);
    for (std::size_t at = 0; at < whole.size(); at += at < 400 ? 1 : 37) {
        for (const int change : {1, 0x80, 0xff}) {
            std::string damaged = whole;
            damaged[at] = static_cast<char>(damaged[at] ^ change);
            auto row = decode_compact<wire::flow_job_row>(damaged);
            if (row && unpack_job_row(*row)) {
                BOOST_TEST(stages_of(*row).size() <= 8 * whole.size());
            }
        }
    }
}

// Guards against occurrences that never start, since those before them have lasting tasks and never end.
BOOST_AUTO_TEST_CASE(occurrences_with_lasting_tasks_do_not_wait_for_earlier_ones)
{
    constexpr std::int32_t occurrences = 2'000;
    flow_job flow(job_id(job), here, row_of(lasting_occurrences(occurrences, 2)), row_version(1));
    std::int32_t next = 0;
    while (flow.open_stages(instant{}, wall_time{})) {
        for (const flow_stage& stage : flow.stages()) {
            if (stage.ready > 0) {
                BOOST_REQUIRE(stage.occurrence == next++); // the oldest first
            }
        }
        place_all(flow);
    }
    BOOST_TEST(next == occurrences);
}

// Guards against an owner that runs out of memory over occurrences of tasks that last, all of which are due.
BOOST_AUTO_TEST_CASE(occurrences_with_lasting_tasks_are_held_as_far_as_memory_goes)
{
    const std::int64_t bytes_most = divide_machine({}).recurring_job_bytes();
    flow_job flow(job_id(job), here, row_of(lasting_occurrences(occurrences_beyond_memory)), row_version(1));
    flow.open_stages(instant{}, wall_time{});
    const std::size_t waiting = flow.stages().size();
    BOOST_TEST(flow.stages().front().occurrence == 0);
    BOOST_TEST(waiting < 1'000U); // what waits for room costs next to nothing
    flow.open_stages(instant{}, wall_time{24h});
    BOOST_TEST(flow.stages().size() == waiting);
    for (std::size_t held = 0; held != flow.stages().size();) {
        held = flow.stages().size();
        place_all(flow);
        flow.open_stages(instant{}, wall_time{});
        BOOST_REQUIRE(flow.held_bytes() <= bytes_most);
    }
    BOOST_TEST(flow.stages().size() > 10'000U);
    flow_job next(job_id(job), here, flow.current_row(), row_version(2));
    next.open_stages(instant{}, wall_time{24h});
    BOOST_TEST(next.held_bytes() <= bytes_most);
}

// Guards against occurrences that were accepted and never run, though there is room for them: nothing that their owner
// counts, and no row, keeps them.
BOOST_AUTO_TEST_CASE(lasting_occurrences_run_as_far_as_there_is_room)
{
    constexpr int entries = 2;
    for (const std::int32_t occurrences : {1'000, 5'000, occurrences_beyond_memory}) {
        BOOST_TEST_CONTEXT(occurrences << " occurrences")
        {
            flow_simulation w(wide_site());
            w.run_for(3s);
            BOOST_REQUIRE(w.submit(1, neighbour, lasting_spec(neighbour_tasks)) == caller_result::accepted);
            BOOST_REQUIRE(w.submit(0, job, lasting_occurrences(occurrences)) == caller_result::accepted);
            const std::int64_t room = std::min<std::int64_t>(occurrences, 6'000 - neighbour_tasks * 100);
            BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job) >= room; }, 20s));
            w.kill_entry(owner_of(w, here.str(), entries));
            w.run_for(15s);
            BOOST_TEST(w.count_running_tasks(job) >= room);
            BOOST_TEST(w.count_running_tasks(neighbour) == neighbour_tasks);
            BOOST_TEST(w.count_log_events("job", "row_too_large") == 0);
            check_no_violations(w);
        }
    }
}

// Guards against an owner whose row is full, and which places and gives up the same starts without end.
BOOST_AUTO_TEST_CASE(starts_that_no_row_has_room_for_are_not_tried_without_end)
{
    flow_simulation::options options = wide_site();
    options.table_row_bytes = 1'500;
    options.bounds.row_bytes = 1'500;
    flow_simulation w(options);
    w.run_for(3s);
    BOOST_REQUIRE(w.submit(0, job, lasting_occurrences(5'000)) == caller_result::accepted);
    w.run_for(20s);
    const std::int64_t running = w.count_running_tasks(job);
    BOOST_TEST(running > 500);
    const std::int64_t placed = w.count_log_events("run", "placed");
    BOOST_TEST(placed < 3 * running);
    w.run_for(30s);
    BOOST_TEST(w.count_running_tasks(job) >= running);
    BOOST_TEST(w.count_log_events("run", "placed") < placed + 100);
    BOOST_TEST(w.writes_too_large() == 0);
    check_no_violations(w);
}

// Guards against jobs that each take what an owner has for recurring jobs, so that it runs out of memory, and against
// others that are refused for what may never be held.
BOOST_AUTO_TEST_CASE(several_jobs_that_last_share_the_memory_of_their_owner)
{
    constexpr int entries = 2;
    constexpr int jobs = 6;
    flow_simulation::options options = wide_site();
    options.bounds = small_machine();
    flow_simulation w(options);
    w.run_for(3s);
    for (int i = 0; i < jobs; ++i) {
        BOOST_TEST((w.submit(i % entries, fmt::format("{:016x}", i), lasting_occurrences(occurrences_beyond_memory)) ==
                    caller_result::accepted));
        w.run_for(2s);
    }
    w.run_for(5s);
    for (int round = 0; round < 2; ++round) {
        BOOST_TEST_CONTEXT("round " << round)
        BOOST_TEST(bytes_of_owner(w, entries) <= options.bounds.shares.job_bytes);
        for (int i = 0; i < jobs; ++i) {
            BOOST_TEST(w.count_running_tasks(fmt::format("{:016x}", i)) > 0);
        }
        const int owner = owner_of(w, here.str(), entries);
        w.kill_entry(owner);
        w.run_for(12s);
        w.start_entry(owner);
        w.run_for(3s);
    }
    BOOST_TEST((w.submit(0, neighbour, lasting_spec(neighbour_tasks)) == caller_result::accepted));
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(neighbour) == neighbour_tasks; }, 5s));
    const auto running = [&](int i) { return w.count_running_tasks(fmt::format("{:016x}", i)); };
    int largest = 0;
    std::int64_t before = 0;
    for (int i = 0; i < jobs; ++i) {
        largest = running(i) > running(largest) ? i : largest;
        before += running(i);
    }
    const std::int64_t given_up = running(largest);
    BOOST_TEST((w.cancel(0, fmt::format("{:016x}", largest)) == caller_result::cancelled));
    w.run_for(20s);
    std::int64_t after = 0;
    for (int i = 0; i < jobs; ++i) {
        after += running(i);
    }
    BOOST_TEST(running(largest) == 0);
    BOOST_TEST(after > before - given_up + 100);
    check_no_violations(w);
}

// Guards against a job that is refused, or takes memory, for occurrences that are due much later.
BOOST_AUTO_TEST_CASE(a_job_that_lasts_far_into_the_future_is_accepted)
{
    flow_simulation::options options = wide_site();
    options.bounds = small_machine();
    flow_simulation w(options);
    w.run_for(3s);
    flow_spec spec = lasting_occurrences(std::numeric_limits<std::int32_t>::max());
    spec.interval = 1h;
    spec.first_due = wall_time((w.now() + 1s).time_since_epoch());
    BOOST_TEST((w.submit(0, job, spec) == caller_result::accepted));
    w.run_for(5s);
    BOOST_TEST(w.count_running_tasks(job) == 1);
    BOOST_TEST(bytes_of_owner(w, 2) < 10'000);
    w.run_for(1h);
    BOOST_TEST(w.count_running_tasks(job) == 2);
    check_no_violations(w);
}

// Guards against tasks that run on after their job was cancelled, as there are thousands of them.
BOOST_AUTO_TEST_CASE(all_occurrences_end_when_their_job_is_cancelled)
{
    flow_simulation w(wide_site());
    w.run_for(3s);
    BOOST_REQUIRE(w.submit(0, job, lasting_occurrences(5'000)) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job) == 5'000; }, 20s));
    BOOST_TEST((w.cancel(1, job) == caller_result::cancelled));
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job) == 0; }, 5s));
    w.run_for(3s);
    BOOST_TEST(w.count_running_tasks(job) == 0);
    check_no_violations(w);
}

// Guards against occurrences that never start because of what else their tasks ask for.
BOOST_AUTO_TEST_CASE(lasting_occurrences_of_other_forms_run)
{
    constexpr std::int32_t occurrences = 1'500;
    flow_spec second_step = lasting_occurrences(occurrences);
    second_step.steps.push_back(second_step.steps.front());
    second_step.steps.front().lasting = false;
    second_step.steps.back().after = {0};
    flow_spec gang = lasting_occurrences(occurrences, 3);
    gang.steps.front().gang = true;
    flow_spec apart = lasting_occurrences(occurrences, 3);
    apart.steps.front().per_worker_most = 1;
    for (const flow_spec& spec : {second_step, gang, apart}) {
        const std::int64_t tasks = occurrences * spec.steps.back().count;
        flow_simulation w(wide_site());
        w.run_for(3s);
        BOOST_REQUIRE(w.submit(0, job, spec) == caller_result::accepted);
        BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job) == tasks; }, 60s));
        w.kill_entry(owner_of(w, here.str(), 2));
        w.run_for(15s);
        BOOST_TEST(w.count_running_tasks(job) == tasks);
        check_no_violations(w);
    }
}

// Guards against a data centre that stays free while occurrences wait in another one that is full.
BOOST_AUTO_TEST_CASE(lasting_occurrences_run_in_all_data_centres_with_room)
{
    constexpr std::int32_t occurrences = 3'000;
    flow_simulation w({.data_centres = {"a", "b"},
                       .entries_per_data_centre = 2,
                       .workers_per_data_centre = 2,
                       .worker_cpu_millis = 10'000});
    w.run_for(3s);
    BOOST_REQUIRE(w.submit(0, job, lasting_occurrences(occurrences)) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job) == occurrences; }, 60s));
    BOOST_TEST_MESSAGE(w.count_running_tasks(job) << " of " << occurrences << " run");
    check_no_violations(w);
}
