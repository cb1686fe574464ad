// The list of workers, which others write as well: entries that name no worker, and entries that turn so.
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

// An entry like that of worker `n`, under another name.
flow_listed_worker copy_of(const flow_simulation& w, int n, const std::string& name)
{
    flow_listed_worker entry = w.listing_of(n);
    entry.worker = worker_id(name);
    return entry;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_unusable_entry_is_news_once_and_again_when_its_reason_changes)
{
    unusable_entries known;
    instant now{100s};
    BOOST_TEST(known.take(now, {{worker_id("w"), "zone"}, {worker_id("v"), "room"}}).size() == 2);
    BOOST_TEST(known.take(now += 1s, {{worker_id("w"), "zone"}, {worker_id("v"), "room"}}).empty());
    BOOST_TEST(known.take(now += 1s, {{worker_id("w"), "room"}}).size() == 1);
    BOOST_TEST(known.take(now += 1s, {}).empty());
    BOOST_TEST(known.take(now += 1s, {{worker_id("w"), "room"}}).empty()); // two writers in turns
    now += flow_limits::unusable_retention + 1s;
    BOOST_TEST(known.take(now, {}).empty());
    BOOST_TEST(known.take(now += 1s, {{worker_id("w"), "room"}}).size() == 1);
}

BOOST_AUTO_TEST_CASE(entries_of_other_writers_leave_the_other_workers_in_use)
{
    // The list holds entries that cannot be read, one of a service that nobody has configured, and one with a name of
    // its own at a good worker's address. Jobs run as if they were not there, each is logged once, and the good worker
    // does not count as dead, which would start its tasks a second time beside themselves.
    flow_simulation w({.run_time = [](const flow_task_id&) { return duration(4s); }});
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 9)) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 9; }, 5s));
    w.worker(1).draining = true; // what counted as lost there would start on another worker
    w.run_for(1500ms);
    w.add_unusable_listing({worker_id("other-1"), "not a JSON object"});
    w.add_unusable_listing({worker_id("other-2"), "address is not IP:port"});
    flow_listed_worker stranger = copy_of(w, 0, "other-3");
    stranger.service = "unheard-of";
    w.add_foreign_listing(stranger);
    w.add_foreign_listing(copy_of(w, 1, "other-4"));
    w.add_foreign_listing(copy_of(w, 2, "a-other-5")); // a name before the worker's own
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(1, job_b, chain_spec(2, 9)) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return w.state(0, job_b) == flow_state::done; }, 20s));
    BOOST_TEST((w.state(1, job_a) == flow_state::done));
    BOOST_TEST(w.count_job_starts(job_a) == 9);
    BOOST_TEST(w.count_job_starts(job_b) == 18);
    BOOST_TEST(w.count_log_events("worker", "entry_unusable") == 2 * 3); // by each of two instances, once an entry
    BOOST_TEST(w.entry(0)->stats().unusable_entries == 3);
    BOOST_TEST(w.count_log_events("worker", "listed") <= 2 * 3 + 2 * 3);
    check_no_violations(w);
}

BOOST_AUTO_TEST_CASE(a_worker_whose_entry_turns_unreadable_keeps_its_tasks_and_gets_no_others)
{
    // Another writer overwrites a worker's entry while tasks run there. The worker is as if it were not listed: its
    // tasks go on under its owner and end there, new ones go elsewhere, until the entry can be read again.
    flow_simulation w({.run_time = [](const flow_task_id& t) { return duration(t.job.str() == job_a ? 9s : 1s); }});
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 9)) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 9; }, 5s));
    w.worker(1).listing_malformed = true;
    w.run_for(1500ms);
    const std::int64_t before = w.worker(1).starts;
    BOOST_REQUIRE(w.submit(1, job_b, chain_spec(1, 9)) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return w.state(0, job_b) == flow_state::done; }, 20s));
    BOOST_TEST(w.worker(1).starts == before);
    BOOST_TEST(w.run_until([&] { return w.state(0, job_a) == flow_state::done; }, 20s));
    BOOST_TEST(w.count_job_starts(job_a) == 9);
    w.worker(1).listing_malformed = false;
    w.run_for(1500ms);
    BOOST_REQUIRE(w.submit(1, "00000000000000cc", chain_spec(1, 30)) == caller_result::accepted);
    BOOST_TEST(w.run_until([&] { return w.state(0, "00000000000000cc") == flow_state::done; }, 20s));
    BOOST_TEST(w.worker(1).starts > before);
    check_no_violations(w);
}

BOOST_AUTO_TEST_CASE(a_worker_that_is_listed_again_at_any_moment_is_in_use_again)
{
    // A worker falls out of the list while tasks run there, they end, and it is listed again at about that moment. If
    // the last exchange has just found it idle and unlisted, and nothing begins another, its tasks' ends would never be
    // heard.
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
