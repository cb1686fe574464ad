// Entries and workers that fail while jobs run, as real processes on loopback.
#include <boost/test/unit_test.hpp>

#include <signal.h>

#include <algorithm>
#include <set>

#include "support_site.h"

using namespace skylarkhub;
using namespace skylarkhub::tests;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int run_time_ms = 12'000; // longer than a takeover lasts, so that tasks run through it
constexpr int long_run_ms = 24'000; // its first checkpoint comes well before its end

std::string other_than(const std::vector<std::string>& names, const std::string& name)
{
    return *std::find_if(names.begin(), names.end(), [&](const std::string& n) { return n != name; });
}

// Waits until `asked` sees an owner of the cell that is not `before`, under a higher epoch.
std::string wait_new_owner(site& s, const std::string& asked, const std::string& before, std::int64_t epoch)
{
    std::string now;
    wait_for([&] {
        now = s.owner(asked);
        return !now.empty() && now != before && s.epoch(asked) > epoch;
    });
    return now;
}

json find_report(const json& inventory, const std::string& task)
{
    for (const json& report : inventory.value("tasks", json::array())) {
        if (report.value("task", "") == task) {
            return report;
        }
    }
    return json::object();
}

} // namespace

BOOST_AUTO_TEST_CASE(killed_owner_is_followed_and_its_tasks_are_adopted)
{
    // The caller sees its job finish, each task once, though the entry that placed it is gone from one moment to the
    // next. The row stands unrenewed for T_hold, a deputy takes it under a higher epoch, fences the workers and reads
    // their inventories. The leases outlast that, so it adopts what runs; a new start would be a second run.
    site s({.entries = three_entries, .workers = 2});
    s.prepare();
    const std::string job = s.submit("a1", "k1", batch_job("rebuild-1", 4, run_time_ms));
    BOOST_REQUIRE(wait_for([&] { return count_starts(s.runs(), job) == 4; }));
    const std::string old_owner = s.owner("a1");
    const std::int64_t old_epoch = s.epoch("a1");

    s.kill_entry(old_owner);
    const std::string left = other_than(three_entries, old_owner);
    const std::string owner = wait_new_owner(s, left, old_owner, old_epoch);

    BOOST_TEST(owner != old_owner);
    BOOST_TEST(s.epoch(left) > old_epoch);
    BOOST_REQUIRE(s.wait_tasks(left, job, "finished", 4));
    BOOST_TEST(find_faults(s.runs(), job, 4) == "");
    BOOST_TEST(count_starts(s.runs(), job) == 4);
}

BOOST_AUTO_TEST_CASE(frozen_owner_runs_on_and_commands_nothing)
{
    // The caller sees one run of each task. The owner is stopped in the middle of its work for longer than its hold,
    // another entry takes the cell, then the old owner runs on with all it knew. Its first look at the clock ends its
    // hold and the workers refuse its epoch, so nothing is started, renewed or stopped by it; it learns of the new
    // owner from the row.
    site s({.entries = three_entries, .workers = 2});
    s.prepare();
    const std::string job = s.submit("a1", "k1", batch_job("rebuild-1", 4, run_time_ms));
    BOOST_REQUIRE(wait_for([&] { return count_starts(s.runs(), job) == 4; }));
    const std::string old_owner = s.owner("a1");
    const std::int64_t old_epoch = s.epoch("a1");

    s.entry(old_owner).signal(SIGSTOP);
    const std::string left = other_than(three_entries, old_owner);
    const std::string owner = wait_new_owner(s, left, old_owner, old_epoch);
    BOOST_TEST(owner != old_owner);
    s.entry(old_owner).signal(SIGCONT);

    BOOST_TEST(wait_for([&] { return s.owner(old_owner) != old_owner && s.epoch(old_owner) > old_epoch; }));
    BOOST_REQUIRE(s.wait_tasks(left, job, "finished", 4));
    BOOST_TEST(find_faults(s.runs(), job, 4) == "");
    BOOST_TEST(s.owner(old_owner) == s.owner(left));
}

BOOST_AUTO_TEST_CASE(tasks_of_a_killed_worker_resume_from_their_checkpoint)
{
    // The caller sees each task finish once, and not all of its work done twice. A worker dies with what it runs; its
    // leases lapse, and only then are the tasks placed elsewhere, from the newest checkpoint that the owner was told
    // of. A task that began afresh could never be further than the time it has run.
    site s({.entries = three_entries, .workers = 2});
    s.prepare();
    const std::string job = s.submit("a1", "k1", batch_job("rebuild-1", 1, long_run_ms));
    const std::string task = job + "/0";
    std::string worker;
    json before;
    BOOST_REQUIRE(wait_for([&] {
        for (const std::string& name : s.worker_names()) {
            before = find_report(s.inventory(name), task);
            if (before.value("checkpoint_progress", 0.0) > 0) {
                worker = name;
                return true;
            }
        }
        return false;
    }));
    // Two renewals later the answer that told of the checkpoint has been taken in: a worker is asked one at a time.
    for (int renewals = 0; renewals < 2; ++renewals) {
        const std::int64_t lease = find_report(s.inventory(worker), task).value("lease_until", std::int64_t{0});
        BOOST_REQUIRE(wait_for(
            [&] { return find_report(s.inventory(worker), task).value("lease_until", std::int64_t{0}) > lease; }));
    }

    s.kill_worker(worker);

    const std::string other = s.worker_names().front();
    json inventory;
    BOOST_REQUIRE(wait_for([&] {
        inventory = s.inventory(other);
        return find_report(inventory, task).value("progress", 0.0) > 0;
    }));
    const json after = find_report(inventory, task);
    const auto ran_us = inventory.at("now").get<std::int64_t>() - after.at("started").get<std::int64_t>();
    const double afresh = static_cast<double>(ran_us) / (long_run_ms * 1000.0);
    BOOST_TEST(after.value("progress", 0.0) > afresh + before.value("checkpoint_progress", 0.0) / 2);
    BOOST_REQUIRE(s.wait_tasks("a1", job, "finished", 1));
    BOOST_TEST(find_faults(s.runs(), job, 1) == "");
}

// A worker that is back under its id and address before its leases are over passes for the life before: its tasks are
// taken for running, or run twice at a time.
BOOST_AUTO_TEST_CASE(tasks_of_workers_that_start_again_under_their_ids_finish_once)
{
    site s({.entries = three_entries, .workers = 2});
    s.prepare();
    const std::string job = s.submit("a1", "k1", batch_job("rebuild-1", 4, run_time_ms));
    BOOST_REQUIRE(wait_for([&] { return count_starts(s.runs(), job) == 4; }));
    std::set<std::string> boots;
    for (const std::string& worker : s.worker_names()) {
        boots.insert(s.inventory(worker).value("boot", ""));
        s.restart_worker(worker);
        boots.insert(s.inventory(worker).value("boot", ""));
    }
    BOOST_TEST(boots.size() == 4U);
    BOOST_REQUIRE(s.wait_tasks("a1", job, "finished", 4));
    BOOST_TEST(find_faults(s.runs(), job, 4) == "");
    int killed = 0;
    for (const auto& [task, runs] : s.runs()) {
        killed += static_cast<int>(
            std::count_if(runs.begin(), runs.end(), [](const site_run& run) { return run.end == "killed"; }));
    }
    BOOST_TEST(killed >= 4);
    BOOST_TEST(count_starts(s.runs(), job) == 4 + killed);
}

BOOST_AUTO_TEST_CASE(a_cancelled_job_ends_and_stays_ended)
{
    // The caller cancels a running job through an entry that does not own its cell, twice under one key. Instructions
    // go through the table: one that cannot be told apart from others by a lasting row was refused at once, so no
    // cancel was ever accepted. Accepted, it stops the tasks, and nothing of the job starts again.
    site s({.entries = three_entries, .workers = 2});
    s.prepare();
    const std::string job = s.submit("a1", "k1", batch_job("rebuild-1", 3, long_run_ms));
    BOOST_REQUIRE(wait_for([&] { return count_starts(s.runs(), job) == 3; }));
    const std::string other = other_than(three_entries, s.owner("a1"));

    for (int i = 0; i < 2; ++i) {
        const site_answer answer = s.ask(other, "DELETE", "/v1/jobs/" + job, {}, {{"Operation-Key", "c1"}});
        BOOST_TEST(answer.status == 202);
    }

    BOOST_REQUIRE(s.wait_tasks(other, job, "cancelled", 3));
    BOOST_TEST(count_starts(s.runs(), job) == 3);
}
