// Tests of jobs whose state does not fit the table's limits in its plain form: on the size of a row, and on the size of
// a transaction.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>

#include "flow_job_p.h"
#include "flow_row_p.h"
#include "flow_row_pack_p.h"
#include "row_codec_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string large = "00000000000000aa";

// Returns the ids of `n` jobs whose rows are in the same part of the table as those of the large job.
std::vector<std::string> ids_beside_large(int n)
{
    std::vector<std::string> ids;
    for (int i = 1; static_cast<int>(ids.size()) < n; ++i) {
        const std::string id = fmt::format("{:016x}", 0x1000 + i);
        if (job_part(job_id(id)) == job_part(job_id(large))) {
            ids.push_back(id);
        }
    }
    return ids;
}

flow_spec small_tasks(flow_spec spec)
{
    for (flow_step& step : spec.steps) {
        step.need = {10, 1, 0};
    }
    return spec;
}

// Accepts a large job and then small ones whose rows are in the same part, and checks that all tasks of these run.
void check_others_run(flow_simulation& w)
{
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, large, small_tasks(lasting_spec(2'000))) == caller_result::accepted);
    w.run_for(2s);
    const std::vector<std::string> others = ids_beside_large(3);
    for (const std::string& other : others) {
        BOOST_REQUIRE(w.submit(0, other, small_tasks(lasting_spec(4))) == caller_result::accepted);
    }
    w.run_for(3s);
    for (const std::string& other : others) {
        BOOST_TEST(w.count_running_tasks(other) == 4);
    }
    check_no_violations(w);
}

// Options for a site whose workers have room for thousands of small tasks.
flow_simulation::options wide_site()
{
    return {.entries_per_data_centre = 2, .workers_per_data_centre = 6, .worker_cpu_millis = 100'000};
}

constexpr std::size_t row_bytes_most = 65'536; // the platform's limit for a row
constexpr int tasks_per_step = 4'000;

// Returns a flow of that many tasks in steps that do not wait for each other.
flow_spec wide_spec(int tasks, bool lasting)
{
    flow_spec spec;
    spec.payload = "payload";
    for (; tasks > 0; tasks -= tasks_per_step) {
        flow_step step;
        step.count = std::min(tasks, tasks_per_step);
        step.need = {10, 1, 0};
        step.lasting = lasting;
        spec.steps.push_back(step);
    }
    return spec;
}

// Returns the row of a job of 20,000 tasks that have run under several owners on the workers of a large cell, a quarter
// of them in other cells.
wire::flow_job_row row_of_a_large_job(const flow_spec& spec)
{
    constexpr int workers = 30;
    constexpr int cells = 4;
    constexpr int owners = 3;
    wire::flow_job_row row = make_job_row(spec);
    row.cell = "a";
    for (std::size_t s = 0; s < spec.steps.size(); ++s) {
        wire::flow_stage_row& stage = row.stages.emplace_back();
        stage.step = static_cast<std::int32_t>(s);
        stage.done.assign(static_cast<std::size_t>(spec.steps[s].count + 7) / 8, '\0');
        for (int i = 0; i < spec.steps[s].count; ++i) {
            wire::flow_start_row& start = stage.starts[i];
            start.worker = fmt::format("tausi-runner-{:02}", i % workers);
            start.run = i % owners * 1'000 + i % 5 + 1;
            start.born = 1'770'000'000'000 + i % workers * 1'237;
            if (i % 4 == 0) {
                wire::flow_home_row& home = stage.homes[i];
                home.cell = fmt::format("b.{}", i % cells);
                home.epoch = 1 + i % owners;
                home.run_floor = i % owners * 1'000;
                home.moves = 1;
            }
            if (i % 10 == 0) {
                stage.failed_runs[i] = {1, 1'001};
                stage.outlived[i] = 1'001;
            }
        }
    }
    return row;
}

wire::flow_job_row unpacked(const std::string& bytes)
{
    auto row = decode_compact<wire::flow_job_row>(bytes);
    BOOST_REQUIRE(row.has_value());
    BOOST_REQUIRE(unpack_job_row(*row));
    return *row;
}

} // namespace

// Guards against a job's row that outgrows the table's limit with the number of tasks, so that none of them starts.
BOOST_AUTO_TEST_CASE(the_starts_of_twenty_thousand_tasks_fit_into_a_row)
{
    const wire::flow_job_row row = row_of_a_large_job(wide_spec(20'000, true));
    const std::string bytes = encode_job_row(row, row_bytes_most);
    BOOST_TEST_MESSAGE("plain " << encode_compact(row).size() << " bytes, packed " << bytes.size());
    BOOST_TEST(bytes.size() <= row_bytes_most);
    BOOST_TEST((unpacked(bytes) == row));
}

// Guards against packed starts that an entry of an earlier release, which does not read them, takes for starts that
// never were.
BOOST_AUTO_TEST_CASE(a_packed_row_does_not_tell_earlier_releases_that_starts_are_noted)
{
    const wire::flow_job_row row = row_of_a_large_job(wide_spec(4'000, true));
    BOOST_TEST(row.starts_noted);
    const auto as_written = decode_compact<wire::flow_job_row>(encode_job_row(row, row_bytes_most));
    BOOST_REQUIRE(as_written.has_value());
    BOOST_TEST(!as_written->starts_noted);
}

// Entries of an earlier release read the rows of all but large jobs.
BOOST_AUTO_TEST_CASE(the_row_of_a_small_job_stays_plain)
{
    const wire::flow_job_row row = row_of_a_large_job(wide_spec(500, true));
    BOOST_TEST((encode_job_row(row, row_bytes_most) == encode_compact(row)));
    BOOST_TEST((unpacked(encode_compact(row)) == row));
}

// Guards against checkpoints that keep the ends of a job's tasks from being written.
BOOST_AUTO_TEST_CASE(checkpoints_that_do_not_fit_are_left_out_and_the_other_facts_kept)
{
    wire::flow_job_row row = row_of_a_large_job(wide_spec(20'000, false));
    for (wire::flow_stage_row& stage : row.stages) {
        for (int i = 0; i < tasks_per_step; ++i) {
            stage.checkpoints[i] = fmt::format("{:016x}", i);
        }
    }
    const std::string bytes = encode_job_row(row, row_bytes_most);
    BOOST_TEST(bytes.size() <= row_bytes_most);
    wire::flow_job_row read = unpacked(bytes);
    BOOST_TEST(!read.stages.front().checkpoints.empty());
    for (std::size_t s = 0; s < row.stages.size(); ++s) {
        read.stages[s].checkpoints = row.stages[s].checkpoints;
    }
    BOOST_TEST((read == row));
}

// Guards against a gang some members of which resume from a checkpoint and others from the beginning.
BOOST_AUTO_TEST_CASE(the_members_of_a_gang_keep_their_checkpoints_together)
{
    flow_spec spec = wide_spec(8'000, false);
    spec.steps.back().gang = true;
    wire::flow_job_row row = make_job_row(spec);
    for (std::int32_t s = 0; s < 2; ++s) {
        wire::flow_stage_row& stage = row.stages.emplace_back();
        stage.step = s;
        for (int i = 0; i < tasks_per_step; ++i) {
            stage.checkpoints[i] = fmt::format("{:016x}", 7);
        }
    }
    const std::string bytes = encode_job_row(row, row_bytes_most);
    BOOST_TEST(bytes.size() <= row_bytes_most);
    BOOST_TEST(unpacked(bytes).stages.back().checkpoints.empty());
}

// Guards against a damaged packed row that ends the entry or takes all its memory.
BOOST_AUTO_TEST_CASE(a_damaged_packed_row_is_refused_or_read)
{
    const std::string whole = encode_job_row(row_of_a_large_job(wide_spec(4'000, true)), row_bytes_most);
    for (std::size_t at = 0; at < whole.size(); at += at < 2'000 ? 1 : 97) {
        for (const int change : {1, 0x80, 0xff}) {
            std::string damaged = whole;
            damaged[at] = static_cast<char>(damaged[at] ^ change);
            auto row = decode_compact<wire::flow_job_row>(damaged);
            const bool read = row && unpack_job_row(*row);
            BOOST_TEST((!read || row->stages.size() <= whole.size()));
        }
    }
}

// Guards against jobs that never start, or never end, for the number of their tasks: each runs, also under the owner
// that follows the first one, and rows of no more than the table takes are written.
BOOST_AUTO_TEST_CASE(jobs_of_any_size_run_through_a_takeover)
{
    for (const int tasks : {1, 500, 4'000, 20'000}) {
        for (const bool lasting : {true, false}) {
            BOOST_TEST_CONTEXT(tasks << " tasks" << (lasting ? " that last" : ""))
            {
                flow_simulation::options site = wide_site();
                site.run_time = [](const flow_task_id& t) { return duration(3s + t.index % 11 * 60ms); };
                flow_simulation w(site);
                w.run_for(2s);
                BOOST_REQUIRE(w.submit(0, large, wide_spec(tasks, lasting)) == caller_result::accepted);
                const std::int64_t half = (tasks + 1) / 2;
                BOOST_TEST(w.run_until([&] { return w.count_job_starts(large) >= half; }, 20s));
                const int owner = owner_of(w, "a", 2);
                w.kill_entry(owner);
                w.run_for(1s);
                w.start_entry(owner);
                const auto runs = [&] { return w.count_running_tasks(large) == tasks; };
                const auto over = [&] { return w.stored_outcome(large) == 1; };
                BOOST_TEST((lasting ? w.run_until(runs, 30s) : w.run_until(over, 40s)));
                if (lasting) {
                    BOOST_TEST((w.cancel(1 - owner, large) == caller_result::cancelled));
                    BOOST_TEST(w.run_until([&] { return w.stored_outcome(large) == 3; }, 20s));
                }
                BOOST_TEST_MESSAGE(tasks << (lasting ? " lasting" : "") << " tasks: " << w.job_writes() << " writes, "
                                         << w.count_job_starts(large) << " starts");
                BOOST_TEST(w.writes_too_large() == 0);
                check_no_violations(w);
            }
        }
    }
}

// Guards against a job whose row the table refuses for its size and that keeps the other jobs of its part from being
// written: none of them ever starts.
BOOST_AUTO_TEST_CASE(a_row_that_is_too_large_does_not_stop_the_others_of_its_part)
{
    flow_simulation::options site = wide_site();
    site.table_row_bytes = site.bounds.row_bytes = 1'000;
    flow_simulation w(site);
    check_others_run(w);
    BOOST_TEST(w.writes_too_large() == 0);
    BOOST_TEST(w.count_running_tasks(large) > 0);
}

// Guards against a job that runs in part, since its row has no room for more, and that cannot be cancelled or is run
// twice by the owner that follows.
BOOST_AUTO_TEST_CASE(a_job_that_runs_in_part_is_taken_over_and_cancelled)
{
    flow_simulation::options site = wide_site();
    site.table_row_bytes = site.bounds.row_bytes = 1'000;
    flow_simulation w(site);
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, large, small_tasks(lasting_spec(2'000))) == caller_result::accepted);
    w.run_for(3s);
    const std::int64_t running = w.count_running_tasks(large);
    BOOST_TEST(running > 0);
    const int owner = owner_of(w, "a", 2);
    w.kill_entry(owner);
    w.run_for(1s);
    w.start_entry(owner);
    w.run_for(20s);
    BOOST_TEST(w.count_running_tasks(large) >= running);
    BOOST_TEST((w.cancel(1 - owner, large) == caller_result::cancelled));
    BOOST_TEST(w.run_until([&] { return w.stored_outcome(large) == 3; }, 20s));
    BOOST_TEST(w.count_all_running_tasks() == 0);
    BOOST_TEST(w.writes_too_large() == 0);
    check_no_violations(w);
}

// Guards against the same where the table takes less than the entries were told.
BOOST_AUTO_TEST_CASE(a_row_that_the_table_refuses_for_its_size_does_not_stop_the_others_of_its_part)
{
    flow_simulation::options site = wide_site();
    site.bounds.row_bytes = 1 << 20; // so that the row is not packed, and stays too large
    site.table_row_bytes = 1'000;
    flow_simulation w(site);
    check_others_run(w);
    BOOST_TEST(w.count_log_events("job", "row_too_large") > 0);
    BOOST_TEST(w.writes_too_large() <= 20);
}
