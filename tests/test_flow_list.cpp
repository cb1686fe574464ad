// Tests of the worker list, to which other programs write as well: entries that name no usable worker from the start,
// and entries that become unreadable or disappear while tasks run.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "flow_limits_p.h"
#include "flow_unusable_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";
const std::string job_b = "00000000000000bb";

// Returns a copy of the list entry of worker `n` under the name `name`.
flow_listed_worker copy_of(const flow_simulation& w, int n, const std::string& name)
{
    flow_listed_worker entry = w.listing_of(n);
    entry.worker = worker_id(name);
    return entry;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_unusable_entry_is_reported_once_and_again_when_its_reason_changes)
{
    unusable_entries known;
    instant now{100s};
    BOOST_TEST(known.take(now, {{worker_id("w"), "zone"}, {worker_id("v"), "room"}}).size() == 2);
    BOOST_TEST(known.take(now += 1s, {{worker_id("w"), "zone"}, {worker_id("v"), "room"}}).empty());
    BOOST_TEST(known.take(now += 1s, {{worker_id("w"), "room"}}).size() == 1);
    BOOST_TEST(known.take(now += 1s, {}).empty());
    // Two writers that overwrite the entry in turn cause only one report.
    BOOST_TEST(known.take(now += 1s, {{worker_id("w"), "room"}}).empty());
    now += flow_limits::unusable_retention + 1s;
    BOOST_TEST(known.take(now, {}).empty());
    BOOST_TEST(known.take(now += 1s, {{worker_id("w"), "room"}}).size() == 1);
}

BOOST_AUTO_TEST_CASE(entries_of_other_writers_leave_the_other_workers_in_use)
{
    // The list contains unreadable entries, one of a service that is not configured, and two that repeat the address of
    // a usable worker under another name. Jobs have to run as without these entries, and each instance logs each
    // unusable entry once. The usable worker must not be taken for dead: its tasks would be started a second time.
    flow_simulation w({.run_time = [](const flow_task_id&) { return duration(4s); }});
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 9)) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 9; }, 5s));
    w.worker(1).draining = true; // tasks taken for lost there would be started on another worker
    w.run_for(1500ms);
    w.add_unusable_listing({worker_id("other-1"), "not a JSON object"});
    w.add_unusable_listing({worker_id("other-2"), "address is not IP:port"});
    flow_listed_worker unknown_service = copy_of(w, 0, "other-3");
    unknown_service.service = "unheard-of";
    w.add_foreign_listing(unknown_service);
    w.add_foreign_listing(copy_of(w, 1, "other-4"));
    w.add_foreign_listing(copy_of(w, 2, "a-other-5")); // a name that sorts before the worker's own
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(1, job_b, chain_spec(2, 9)) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return w.state(0, job_b) == flow_state::done; }, 20s));
    BOOST_TEST((w.state(1, job_a) == flow_state::done));
    BOOST_TEST(w.count_job_starts(job_a) == 9);
    BOOST_TEST(w.count_job_starts(job_b) == 18);
    // Each of the two instances logs each of the three entries once.
    BOOST_TEST(w.count_log_events("worker", "entry_unusable") == 2 * 3);
    BOOST_TEST(w.entry(0)->stats().unusable_entries == 3);
    BOOST_TEST(w.count_log_events("worker", "listed") <= 2 * 3 + 2 * 3);
    check_no_violations(w);
}

BOOST_AUTO_TEST_CASE(a_worker_whose_entry_turns_unreadable_keeps_its_tasks_and_gets_no_others)
{
    // Another program overwrites a worker's list entry while tasks run on the worker. The worker is treated as
    // unlisted: its tasks continue to their end, and new tasks start on other workers until the entry is readable
    // again.
    flow_simulation w({.run_time = [](const flow_task_id& t) { return duration(t.job.str() == job_a ? 9s : 1s); }});
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 9)) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 9; }, 5s));
    w.worker(1).listing_malformed = true;
    w.run_for(1500ms);
    const std::int64_t starts_before = w.worker(1).starts;
    BOOST_REQUIRE(w.submit(1, job_b, chain_spec(1, 9)) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return w.state(0, job_b) == flow_state::done; }, 20s));
    BOOST_TEST(w.worker(1).starts == starts_before);
    BOOST_TEST(w.run_until([&] { return w.state(0, job_a) == flow_state::done; }, 20s));
    BOOST_TEST(w.count_job_starts(job_a) == 9);
    w.worker(1).listing_malformed = false;
    w.run_for(1500ms);
    BOOST_REQUIRE(w.submit(1, "00000000000000cc", chain_spec(1, 30)) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return w.state(0, "00000000000000cc") == flow_state::done; }, 20s));
    BOOST_TEST(w.worker(1).starts > starts_before);
    check_no_violations(w);
}

BOOST_AUTO_TEST_CASE(a_worker_that_is_listed_again_at_any_moment_is_in_use_again)
{
    // A worker disappears from the list while a task runs on it and is listed again at about the moment the task ends.
    // If the last exchange found the worker idle and unlisted and no further exchange begins, the owner never learns
    // that the task ended.
    for (int phase = 0; phase < 40; ++phase) {
        BOOST_TEST_CONTEXT("phase " << phase)
        {
            const duration run_time = 2500ms + 25ms * phase;
            flow_simulation w({.workers_per_data_centre = 1,
                               .list_latency = 90ms,
                               .run_time = [run_time](const flow_task_id&) { return run_time; }});
            w.run_for(2s);
            BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 1)) == caller_result::accepted);
            BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 1; }, 5s));
            w.set_worker_unlisted(0, true);
            w.run_for(run_time - 60ms);
            w.set_worker_unlisted(0, false);
            w.run_for(3s);
            BOOST_REQUIRE(w.submit(0, job_b, chain_spec(1, 2)) == caller_result::accepted);
            BOOST_TEST(w.run_until([&] { return w.state(0, job_b) == flow_state::done; }, 6s));
            check_no_violations(w);
        }
    }
}
