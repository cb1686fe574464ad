// Tests that no task runs twice and that lasting tasks run again in time while all entries restart or pause in turn,
// faster than an owner reads the rows of its cell.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

constexpr int entries_count = 12;
constexpr int rounds = 2;
constexpr std::uint64_t seeds_usual = 4;
constexpr duration step = 100ms;
constexpr duration restart_gap = 400ms;
constexpr duration first_restart = 10s;
constexpr duration test_duration = 50s;
constexpr duration short_job_interval = 200ms;
constexpr duration worker_trouble_interval = 700ms;
constexpr duration away_most = 9s;   // limit for a lasting task from the end of a run to its next run
constexpr duration calm_before = 7s; // an absence counts as lost only if no fault was active for this long
constexpr int lasting_jobs = 6;
constexpr int lasting_tasks = 4; // of each lasting job
constexpr std::int64_t lasting_cpu = 4000;

enum class restart_kind : std::uint8_t { killed, planned, frozen };
enum class worker_trouble : std::uint8_t { none, leave, silent, mixed, unlisted };

struct restart_case {
    restart_kind kind = restart_kind::killed;
    worker_trouble trouble = worker_trouble::none;
    duration page_time{0};    // transfer time of a page of job rows over the link of an entry
    bool owners_only = false; // restart current owners of cells instead of each entry in turn
    bool old_lists = false;   // every second entry receives the worker list 3 s late
};

struct run_tally {
    std::int64_t lost = 0;       // absences longer than `away_most`, with no fault active for `calm_before`
    std::int64_t long_away = 0;  // absences longer than `away_most`, with or without active faults
    std::int64_t never_back = 0; // lasting tasks that do not run at the end of the test
    duration longest{0};
    std::string first_lost;
};

// A site with spare capacity that runs lasting tasks and many short ones while entries and workers fail.
class busy_site {
public:
    busy_site(const restart_case& c, std::uint64_t seed)
        : case_(c), seed_(seed), random_(make_random(seed * 131)), world_(make_options(c, seed))
    {}

    // Runs the simulation for `test_duration` and returns the absences of lasting tasks.
    run_tally run()
    {
        world_.run_for(3s);
        start_lasting_jobs();
        started_at_ = world_.now();
        impaired_at_ = started_at_;
        while (world_.now() - started_at_ < test_duration) {
            const duration t = world_.now() - started_at_;
            restart(t);
            restore_entries();
            inject_worker_faults(t);
            submit_short(t);
            world_.run_for(step);
            update_tally(t);
        }
        for (const auto& [task, seen] : seen_) {
            tally_.never_back += world_.now() - seen.last > step ? 1 : 0;
        }
        BOOST_TEST_MESSAGE(fmt::format(
            "seed {}, longest away {} ms, lost {}, away too long {}, not back {}, faults {}; taken {}, owned {}, cell "
            "lost {}, "
            "accounted {}, lapsed unasked {}, short jobs {}",
            seed_, tally_.longest / 1ms, tally_.lost, tally_.long_away, tally_.never_back,
            world_.invariant_violations().size(), world_.count_log_events("cell", "taken"),
            world_.count_log_events("cell", "owned"), world_.count_log_events("cell", "lost"),
            world_.count_log_events("cell", "accounted"), world_.count_log_events("worker", "lapsed_unasked"),
            submitted_));
        check_no_violations(world_);
        return tally_;
    }

private:
    struct seen_task {
        instant last{};
        bool counted = false;      // in `long_away`
        bool counted_lost = false; // in `lost`
    };

    static flow_simulation::options make_options(const restart_case& c, std::uint64_t seed)
    {
        flow_simulation::options o;
        o.seed = seed;
        o.data_centres = {"a", "b"};
        o.entries_per_data_centre = entries_count / 2;
        o.workers_per_data_centre = 12;
        o.rack_size = 6;
        o.job_page_transfer_time = c.page_time;
        for (int i = 1; c.old_lists && i < entries_count; i += 2) {
            o.list_latency_by_entry[i] = 3s;
        }
        o.run_time = [](const flow_task_id& task) {
            return 100ms + 250ms * (static_cast<int>(std::hash<std::string>()(task.job.str()) % 6) + task.index % 2);
        };
        return o;
    }

    void start_lasting_jobs()
    {
        for (int i = 0; i < lasting_jobs; ++i) {
            const std::string job = fmt::format("{:016x}", 0xa00 + i);
            BOOST_REQUIRE(world_.submit(i, job, lasting_spec(lasting_tasks, lasting_cpu)) == caller_result::accepted);
        }
        BOOST_REQUIRE(
            world_.run_until([this] { return world_.count_all_running_tasks() == lasting_jobs * lasting_tasks; }, 10s));
        for (int i = 0; i < lasting_jobs; ++i) {
            for (int n = 0; n < lasting_tasks; ++n) {
                seen_[{job_id(fmt::format("{:016x}", 0xa00 + i)), 0, 0, n}].last = world_.now();
            }
        }
    }

    void restart(duration t)
    {
        while (t >= first_restart + restart_gap * restarted_ && restarted_ < rounds * entries_count) {
            const int turn = restarted_++;
            stop_entry(case_.owners_only ? pick_owner(turn) : turn % entries_count);
        }
    }

    // Returns a running owner of a cell, selected by `turn`, or entry `turn` modulo the entry count if there is none.
    int pick_owner(int turn)
    {
        std::vector<int> owners;
        for (int i = 0; i < entries_count; ++i) {
            if (away_.count(i) == 0 && world_.entry(i) != nullptr) {
                const auto& cells = world_.entry(i)->cells();
                const bool owns =
                    std::any_of(cells.begin(), cells.end(), [](const auto& c) { return c.second->owns(); });
                owners.insert(owners.end(), owns ? 1 : 0, i);
            }
        }
        return owners.empty() ? turn % entries_count : owners.at(static_cast<std::size_t>(turn) % owners.size());
    }

    // Kills, stops or pauses the entry, unless it is already down.
    void stop_entry(int entry)
    {
        if (away_.count(entry) != 0 || world_.entry(entry) == nullptr) {
            return;
        }
        switch (case_.kind) {
        case restart_kind::killed:
            world_.kill_entry(entry);
            away_[entry] = world_.now() + 800ms;
            impaired_at_ = world_.now();
            return;
        case restart_kind::planned:
            world_.entry(entry)->plan_stop(world_.now());
            world_.entry(entry)->run_deferred_work(world_.now());
            away_[entry] = world_.now() + 3s;
            return;
        case restart_kind::frozen:
            world_.pause_entry(entry);
            away_[entry] = world_.now() + std::chrono::milliseconds(absl::Uniform(random_, 500, 7000));
            return;
        }
    }

    // Starts or resumes the entries whose downtime is over.
    void restore_entries()
    {
        const bool unplanned = case_.kind != restart_kind::planned;
        impaired_at_ = unplanned && !away_.empty() ? world_.now() : impaired_at_;
        for (auto at = away_.begin(); at != away_.end();) {
            const auto [entry, until] = *at;
            if (case_.kind == restart_kind::planned && world_.entry(entry) != nullptr &&
                world_.entry(entry)->stopped()) {
                world_.kill_entry(entry);
            }
            if (world_.now() < until) {
                ++at;
                continue;
            }
            if (case_.kind == restart_kind::frozen) {
                world_.resume_entry(entry, absl::Uniform(random_, 0, 2) == 0);
            }
            else {
                world_.kill_entry(entry);
                world_.start_entry(entry);
            }
            at = away_.erase(at);
        }
    }

    // Injects worker faults while entries restart: replaces, unlists or disconnects workers and fails lasting tasks.
    void inject_worker_faults(duration t)
    {
        for (auto at = silent_.begin(); at != silent_.end();) {
            impaired_at_ = world_.now();
            if (world_.now() < at->second) {
                ++at;
                continue;
            }
            world_.worker(at->first).reachable = true;
            at = silent_.erase(at);
        }
        for (auto at = unlisted_.begin(); at != unlisted_.end();) {
            const bool over = world_.now() >= at->second;
            if (over && world_.worker(at->first).up) {
                world_.set_worker_unlisted(at->first, false);
            }
            at = over ? unlisted_.erase(at) : std::next(at);
        }
        const bool restarting = t >= first_restart - 1s && t < first_restart + restart_gap * entries_count * rounds;
        if (!restarting || case_.trouble == worker_trouble::none || t < next_trouble_) {
            return;
        }
        next_trouble_ = t + worker_trouble_interval;
        const int worker = absl::Uniform(random_, 0, world_.worker_count());
        const bool leaves = case_.trouble == worker_trouble::leave ||
                            (case_.trouble == worker_trouble::mixed && absl::Uniform(random_, 0, 2) == 0);
        if (case_.trouble == worker_trouble::unlisted && world_.worker(worker).up) {
            world_.set_worker_unlisted(worker, true);
            unlisted_[worker] = world_.now() + std::chrono::milliseconds(absl::Uniform(random_, 500, 9000));
        }
        else if (leaves) {
            world_.replace_worker(worker, 2s, 500ms);
        }
        else if (world_.worker(worker).up) {
            world_.worker(worker).reachable = false;
            silent_[worker] = world_.now() + std::chrono::milliseconds(absl::Uniform(random_, 500, 9000));
        }
        auto failing = seen_.begin();
        std::advance(failing, absl::Uniform<int>(random_, 0, static_cast<int>(seen_.size())));
        world_.fail_run(failing->first);
    }

    void submit_short(duration t)
    {
        if (t < short_job_interval * submitted_ || t > test_duration - 10s) {
            return;
        }
        const int entry = static_cast<int>(submitted_ % entries_count);
        ++submitted_;
        if (away_.count(entry) == 0 && world_.entry(entry) != nullptr && world_.entry(entry)->ready()) {
            world_.send_submit(entry, fmt::format("{:016x}", 0x10000 + submitted_), chain_spec(2, 3));
        }
    }

    // Returns whether a worker runs the task under a valid lease.
    bool runs(const flow_task_id& task)
    {
        for (int i = 0; i < world_.worker_count(); ++i) {
            const flow_fake_worker& w = world_.worker(i);
            if (w.up && w.lease_until > world_.now() && w.running.count(task) != 0) {
                return true;
            }
        }
        return false;
    }

    // Updates the tally with the lasting tasks that do not run now.
    void update_tally(duration t)
    {
        const instant now = world_.now();
        for (auto& [task, seen] : seen_) {
            if (runs(task)) {
                seen = {now, false, false};
                continue;
            }
            const duration away = now - seen.last;
            tally_.longest = std::max(tally_.longest, away);
            if (away <= away_most) {
                continue;
            }
            tally_.long_away += seen.counted ? 0 : 1;
            seen.counted = true;
            if (now - impaired_at_ >= calm_before && !seen.counted_lost) {
                seen.counted_lost = true;
                ++tally_.lost;
                if (tally_.first_lost.empty()) {
                    tally_.first_lost =
                        fmt::format("{}.{} at {} ms, away {} ms", task.job.str(), task.index, t / 1ms, away / 1ms);
                }
            }
        }
    }

    restart_case case_;
    std::uint64_t seed_;
    random_source random_;
    flow_simulation world_;
    instant started_at_{};
    instant impaired_at_{};
    int restarted_ = 0;
    std::map<int, instant> away_;     // stopped or paused entries, with the time of their return
    std::map<int, instant> silent_;   // unreachable workers, with the end of the fault
    std::map<int, instant> unlisted_; // workers missing from the list, with the end of the fault
    duration next_trouble_{0};
    std::int64_t submitted_ = 0;
    std::map<flow_task_id, seen_task> seen_; // lasting tasks
    run_tally tally_;
};

// Returns the first and last seed to run. To run other seeds: test_flow_restarts_runs --run_test=NAME -- FIRST LAST
std::pair<std::uint64_t, std::uint64_t> seed_range()
{
    const auto& suite = boost::unit_test::framework::master_test_suite();
    if (suite.argc < 3) {
        return {1, seeds_usual};
    }
    return {std::strtoull(suite.argv[1], nullptr, 10), std::strtoull(suite.argv[2], nullptr, 10)};
}

void check_seed(const restart_case& c, std::uint64_t seed)
{
    BOOST_TEST_CONTEXT("seed " << seed)
    {
        const run_tally tally = busy_site(c, seed).run();
        BOOST_TEST(tally.lost == 0, tally.lost << " lost, first " << tally.first_lost);
        BOOST_TEST(tally.never_back == 0, tally.never_back << " lasting tasks do not run at the end");
    }
}

void check_runs(const restart_case& c)
{
    const auto [first, last] = seed_range();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        check_seed(c, seed);
    }
}

} // namespace

// Guards against a new owner starting a running task again because its predecessor's rows do not show the run, and
// against each new owner waiting another full lease for runs that the rows show.
BOOST_AUTO_TEST_CASE(what_runs_is_known_while_entries_are_killed_in_turn)
{
    check_runs({.kind = restart_kind::killed, .trouble = worker_trouble::leave});
}

// Guards against duplicate runs and repeated lease waits when owners stop by plan and hand over their cells.
BOOST_AUTO_TEST_CASE(what_runs_is_known_while_entries_are_stopped_in_turn)
{
    check_runs({.kind = restart_kind::planned, .trouble = worker_trouble::leave});
}

// Guards against a paused owner that resumes restarting tasks whose end the next owner has already recorded.
BOOST_AUTO_TEST_CASE(what_runs_is_known_while_entries_stand_still_in_turn)
{
    check_runs({.kind = restart_kind::frozen, .trouble = worker_trouble::leave});
}

// Guards against ended lasting tasks never starting again when each owner is killed before it has read the rows.
BOOST_AUTO_TEST_CASE(lasting_tasks_run_again_while_owners_are_killed_before_they_have_read)
{
    check_runs({.kind = restart_kind::killed, .trouble = worker_trouble::leave, .page_time = 400ms});
}

// Guards against ended lasting tasks never starting again when owners are stopped before they have read the rows.
BOOST_AUTO_TEST_CASE(lasting_tasks_run_again_while_owners_are_stopped_before_they_have_read)
{
    check_runs({.kind = restart_kind::planned, .trouble = worker_trouble::leave, .page_time = 400ms});
}

// Guards against ended lasting tasks never starting again when owners pause and resume while they read the rows.
BOOST_AUTO_TEST_CASE(lasting_tasks_run_again_while_owners_stand_still_before_they_have_read)
{
    check_runs({.kind = restart_kind::frozen, .trouble = worker_trouble::leave, .page_time = 400ms});
}

// Guards against the same delays when a page of rows takes 100 ms instead of 400 ms.
BOOST_AUTO_TEST_CASE(lasting_tasks_run_again_while_entries_restart_and_rows_take_a_while)
{
    for (const restart_kind kind : {restart_kind::killed, restart_kind::planned, restart_kind::frozen}) {
        check_runs({.kind = kind, .trouble = worker_trouble::leave, .page_time = 100ms});
    }
}

// Guards against a new owner treating an unreachable worker as idle, and against each new owner waiting another full
// lease for it.
BOOST_AUTO_TEST_CASE(silent_workers_are_waited_for_once_while_owners_are_killed)
{
    check_runs({.kind = restart_kind::killed, .trouble = worker_trouble::mixed, .page_time = 400ms});
}

// Guards against the same faults with unreachable workers when owners stop by plan and hand over their cells.
BOOST_AUTO_TEST_CASE(silent_workers_are_waited_for_once_while_owners_are_stopped)
{
    check_runs({.kind = restart_kind::planned, .trouble = worker_trouble::mixed, .page_time = 400ms});
}

// Guards against the same faults with unreachable workers when owners pause and resume.
BOOST_AUTO_TEST_CASE(silent_workers_are_waited_for_once_while_owners_stand_still)
{
    check_runs({.kind = restart_kind::frozen, .trouble = worker_trouble::mixed, .page_time = 400ms});
}

// Guards against duplicate runs when the current owner pauses until another entry takes over, then resumes beside it.
BOOST_AUTO_TEST_CASE(owners_that_stand_still_and_go_on_start_nothing_twice)
{
    for (const duration page_time : {duration(0), duration(100ms), duration(400ms)}) {
        check_runs({.kind = restart_kind::frozen,
                    .trouble = worker_trouble::mixed,
                    .page_time = page_time,
                    .owners_only = true});
    }
}

// Guards against a replaced owner repeating its table requests, which kept it from reading the rows when it became
// the owner again.
BOOST_AUTO_TEST_CASE(an_owner_that_leaves_ends_reads_its_rows_when_it_follows_again)
{
    for (const std::uint64_t seed : {6, 31, 55, 73}) {
        check_seed(
            {.kind = restart_kind::frozen, .trouble = worker_trouble::mixed, .page_time = 400ms, .owners_only = true},
            seed);
    }
}

// Guards against duplicate runs when each owner is killed before it has sent its state to other entries.
BOOST_AUTO_TEST_CASE(owners_that_are_killed_as_soon_as_they_follow_start_nothing_twice)
{
    for (const duration page_time : {duration(0), duration(100ms), duration(400ms)}) {
        check_runs({.kind = restart_kind::killed,
                    .trouble = worker_trouble::mixed,
                    .page_time = page_time,
                    .owners_only = true});
    }
}

// Guards against duplicate runs when each owner hands over its cell before it has learned the state of the cell.
BOOST_AUTO_TEST_CASE(owners_that_are_stopped_as_soon_as_they_follow_start_nothing_twice)
{
    for (const duration page_time : {duration(0), duration(100ms), duration(400ms)}) {
        check_runs({.kind = restart_kind::planned,
                    .trouble = worker_trouble::mixed,
                    .page_time = page_time,
                    .owners_only = true});
    }
}

// Guards against ended lasting tasks never starting again when owners are stopped as soon as they take over. Workers
// are replaced, but none becomes unreachable.
BOOST_AUTO_TEST_CASE(lasting_tasks_run_again_while_owners_are_stopped_as_soon_as_they_follow)
{
    for (const duration page_time : {duration(0), duration(50ms), duration(100ms), duration(400ms)}) {
        check_runs({.kind = restart_kind::planned,
                    .trouble = worker_trouble::leave,
                    .page_time = page_time,
                    .owners_only = true});
    }
}

// Guards against treating workers that are missing from an incomplete or outdated list as idle.
BOOST_AUTO_TEST_CASE(workers_that_the_list_does_not_name_are_not_taken_for_idle)
{
    for (const restart_kind kind : {restart_kind::killed, restart_kind::planned, restart_kind::frozen}) {
        for (const duration page_time : {duration(0), duration(50ms)}) {
            check_runs({.kind = kind,
                        .trouble = worker_trouble::unlisted,
                        .page_time = page_time,
                        .owners_only = true,
                        .old_lists = true});
        }
    }
}

// Guards against duplicate runs with unreachable workers when reading the rows takes no time.
BOOST_AUTO_TEST_CASE(silent_workers_start_nothing_twice_when_rows_are_read_at_once)
{
    for (const restart_kind kind : {restart_kind::killed, restart_kind::planned, restart_kind::frozen}) {
        check_runs({.kind = kind, .trouble = worker_trouble::mixed});
    }
}

// Guards against an owner that reaches only half of the entries mistaking its own disconnection for a table outage,
// and granting leases that last longer than the next owner waits.
BOOST_AUTO_TEST_CASE(
    an_owner_that_is_cut_off_with_half_of_the_entries_gives_no_lease_that_its_follower_does_not_wait_for)
{
    for (duration worker_gone = 5s; worker_gone < 9s; worker_gone += 200ms) {
        BOOST_TEST_CONTEXT("worker gone after " << worker_gone / 1ms << " ms")
        {
            flow_simulation w({.data_centres = {"a", "b"}, .entries_per_data_centre = 1, .workers_per_data_centre = 4});
            w.run_for(3s);
            const std::string job = "0000000000000aaa";
            BOOST_REQUIRE(w.submit(1, job, lasting_spec(3, 9000)) == caller_result::accepted);
            BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job) == 3; }, 10s));
            w.run_for(3s);
            const int owner = w.entry(0)->cells().at(cell_id("b"))->owns() ? 0 : 1;
            int busy =
                w.worker_count() -
                1; // start from the last worker, so that a different worker answers the first query of the next owner
            while (w.worker(busy).data_centre != data_centre_id("b") || w.worker(busy).running.empty()) {
                BOOST_REQUIRE(--busy >= 0);
            }
            w.cut_entry_from_table(owner, true);
            w.cut_entry_from_peers(owner, true);
            w.run_for(worker_gone);
            w.worker(busy).reachable = false;
            w.run_for(15s);
            BOOST_TEST(w.count_log_events("cell", "taken") >= 3);
            check_no_violations(w);
        }
    }
}
