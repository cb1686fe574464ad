// What the owner of a cell answers and decides while it does not know: rows not read, workers silent, orders on their
// way.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>

#include "support_cell_hand.h"
#include "support_world.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

const cell_settings defaults;

} // namespace

// Counted as running, not as waiting, though the order to start it is still on its way to the worker.
BOOST_AUTO_TEST_CASE(a_task_whose_start_is_on_its_way_is_not_running)
{
    hand::driver d;
    d.own({"w1"});
    d.workers["w1"].slow = true;
    d.hand_in({hand::submit(hand::make_job("j", 2))});
    BOOST_REQUIRE(d.c.jobs().size() == 1);
    BOOST_REQUIRE(d.workers["w1"].tasks.empty());
    BOOST_TEST(d.c.jobs()[0].running == 0);
    BOOST_TEST(d.c.jobs()[0].queued == 2);
    BOOST_TEST(d.c.summary().running == 0);
    BOOST_TEST(d.c.summary().queued == 2);
}

// Counted as running for as long as a lease lasts, though no order to start it ever arrived.
BOOST_AUTO_TEST_CASE(a_task_whose_start_never_arrived_is_not_running)
{
    hand::driver d;
    d.own({"w1"});
    d.workers["w1"].silent = true;
    d.hand_in({hand::submit(hand::make_job("j", 1))});
    duration wrong{0};
    for (const instant end = d.now + 2 * defaults.lease_length; d.now < end; d.tick(100ms)) {
        wrong += d.c.summary().running > 0 ? duration(100ms) : duration(0);
    }
    BOOST_REQUIRE(d.workers["w1"].tasks.empty());
    BOOST_TEST(wrong.count() == 0);
}

// Waits again, and is started again, when the worker refuses it.
BOOST_AUTO_TEST_CASE(a_task_whose_start_is_refused_waits_again)
{
    hand::driver d;
    d.own({"w1"});
    d.workers["w1"].capacity = {100, 8000, 0};
    d.workers["w1"].silent = true;
    d.hand_in({hand::submit(hand::make_job("j", 1))});
    d.workers["w1"].silent = false;
    d.run(defaults.lease_renew_interval);
    BOOST_TEST(d.workers["w1"].starts_refused > 0);
    BOOST_TEST(d.c.summary().running == 0);
    BOOST_TEST(d.c.summary().queued == 1);
}

// Room of a worker that nobody can reach is told to peers as free, and draws jobs to the cell.
BOOST_AUTO_TEST_CASE(room_of_a_silent_worker_is_not_free)
{
    hand::driver d;
    d.own({"w1", "w2"});
    BOOST_REQUIRE(d.c.summary().free.cpu_millis == 8000);
    d.workers["w2"].silent = true;
    d.run(2 * defaults.lease_length);
    BOOST_TEST(d.c.summary().free.cpu_millis <= 4000);
}

// An owner that has not read its rows calls itself the owning one, so that it is asked, and says that nothing is there.
BOOST_AUTO_TEST_CASE(an_owner_that_has_not_read_its_rows_is_not_asked)
{
    hand::driver d;
    d.job_rows.push_back(
        {job_key(hand::the_cell, job_id("j")), encode_row(hand::make_job("j", 1)), row_version(1), {}});
    d.give(cell_members_seen{{hand::self}});
    d.list({"w1"});
    bool scans_fail = true;
    const auto answer = [&](const cell_action& action) {
        if (const auto* const commit = std::get_if<commit_cell>(&action)) {
            d.commit(commit->transaction);
        }
        else if (const auto* const send = std::get_if<send_worker>(&action)) {
            d.exchange(send->request);
        }
        else if (std::holds_alternative<read_cell_row>(action)) {
            d.give(cell_row_seen{true, d.read()});
        }
        else if (std::holds_alternative<read_cell_inbox>(action)) {
            d.give(cell_inbox_read{d.scan(d.inbox_rows)});
        }
        else if (std::holds_alternative<read_cell_jobs>(action)) {
            d.give(cell_jobs_read{scans_fail ? table_scan_result{"", false, {}, ""} : d.scan(d.job_rows)});
        }
    };
    const auto run = [&](duration length) {
        for (const instant end = d.now + length; d.now < end;) {
            d.now += 50ms;
            d.give(cell_tick{wall_time(d.now.time_since_epoch())});
            while (!d.pending.empty()) {
                for (const cell_action& action : std::exchange(d.pending, {})) {
                    answer(action);
                }
            }
        }
    };
    run(3 * defaults.lease_length);
    BOOST_REQUIRE(d.noticed("cell_taken"));
    BOOST_TEST((d.c.role() == cell_role::fencing));
    scans_fail = false;
    run(2 * config::commit_retry + 1s);
    BOOST_TEST((d.c.role() == cell_role::owning));
    BOOST_TEST(d.c.jobs().size() == 1);
}

// Stopped as a task of no job, though its job's row is there and only cannot be read.
BOOST_AUTO_TEST_CASE(a_task_whose_job_cannot_be_read_is_not_stopped)
{
    hand::driver d;
    d.job_rows.push_back({job_key(hand::the_cell, job_id("j")), "not a row", row_version(1), {}});
    task_report running;
    running.task = {job_id("j"), 0};
    running.attempt = attempt_number(1);
    running.committed = {1000, 100, 0};
    d.workers["w1"].tasks.push_back(running);
    d.own({"w1"});
    d.run(2 * defaults.lease_renew_interval);
    BOOST_REQUIRE((d.c.role() == cell_role::owning));
    BOOST_TEST(d.workers["w1"].told<task_stop>().empty());
}

// A cancel left for a job that the cell does not know is dropped after a while, and no line says so.
BOOST_AUTO_TEST_CASE(a_cancel_that_is_dropped_is_told)
{
    hand::driver d;
    d.own({"w1"});
    d.hand_in({hand::cancel("j")});
    d.run(2 * config::unknown_job_kept);
    BOOST_REQUIRE(d.inbox_rows.empty());
    const auto notices = d.all<cell_notice>();
    BOOST_TEST(std::any_of(notices.begin(), notices.end(),
                           [](const cell_notice& n) { return n.detail.find('j') != std::string::npos; }));
}

namespace {

// A worker is lost for good and the owner killed, then `kills` - 1 more owners, each 10 s after it took the cell. How
// long a job that was accepted after the first of them waits for its start.
std::optional<duration> wait_over_restarts(std::uint64_t seed, int kills)
{
    test::world_options o;
    o.seed = seed;
    test::world w(o);
    w.run_for(20s);
    BOOST_REQUIRE(w.owner());
    w.lose_worker(0, 10min);
    const wall_time lost = w.now();
    w.kill(*w.owner(), 1s);
    job_spec spec;
    spec.team = team_id("team");
    spec.name = "batch";
    spec.kind = kind_id("rebuild");
    spec.run_time = 5min;
    spec.declared = {1000, 100, 0};
    w.submit("j", spec);
    std::map<int, wall_time> took;
    while (w.now() < lost + 3min) {
        w.run_for(250ms);
        for (int e = 0; e < w.entry_count(); ++e) {
            const cell_stats* const stats = w.stats(e);
            if (stats == nullptr || stats->takeovers == 0) {
                took.erase(e);
                continue;
            }
            if (stats->starts > 0) {
                return w.now() - lost;
            }
            if (w.now() - took.try_emplace(e, w.now()).first->second >= 10s && --kills > 0) {
                w.kill(e, 1s);
                took.erase(e);
            }
        }
    }
    return std::nullopt;
}

constexpr duration wait_most = 45s; // the lease that was given last, a takeover or two, and then some

} // namespace

// The wait of one takeover grows beyond a lease and the time to take over, which the case below compares with.
BOOST_AUTO_TEST_CASE(one_takeover_waits_for_one_lease)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto waited = wait_over_restarts(seed, 1);
        BOOST_REQUIRE(waited);
        BOOST_TEST_MESSAGE("seed " << seed << ": begun after " << std::chrono::duration<double>(*waited).count()
                                   << " s");
        BOOST_TEST((*waited <= wait_most));
    }
}

// Each owner waits a whole lease anew for a worker that was silent before it, so a row of restarts stops the queue.
BOOST_AUTO_TEST_CASE(owners_in_a_row_do_not_each_wait_anew)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto waited = wait_over_restarts(seed, 8);
        BOOST_REQUIRE(waited);
        BOOST_TEST_MESSAGE("seed " << seed << ": begun after " << std::chrono::duration<double>(*waited).count()
                                   << " s");
        BOOST_TEST((*waited <= wait_most));
    }
}
