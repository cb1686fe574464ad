// Tests how soon the lasting tasks of a lost worker run on other workers while all entries restart in turn, so that
// the ownership of its cell changes faster than a lease expires or the rows of the cell are read.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

constexpr int entries_count = 12;
constexpr int workers_per_data_centre = 12;
constexpr int jobs_count = 6;
constexpr int tasks_each = 6;
constexpr int tasks_all = jobs_count * tasks_each;
constexpr duration step = 50ms;
constexpr duration restart_gap = 400ms;
// Limit from the later of the worker loss and the last stop of an entry: one lease and a start.
constexpr duration recovery_limit = 9s;
constexpr duration recovery_timeout = 40s; // after the last entry restart
constexpr int phases = 8;                  // offsets of the first restart at which each case runs
constexpr duration phase_step = 130ms;

enum class restart_kind : std::uint8_t { killed, planned };
enum class loss_kind : std::uint8_t { crashed, cut_off };

struct restart_case {
    restart_kind kind = restart_kind::killed;
    int rounds = 1;
    duration page_time{0}; // transfer time of a page of job rows over the link of an entry
    loss_kind gone = loss_kind::crashed;
    duration gone_before{0}; // time from the worker loss to the first restart; negative: the loss comes after it
    int phase = 0; // offset of the first restart from the lease renewals and table polls, in units of `phase_step`
};

// A site that runs lasting tasks. A test can remove one worker of each data centre for good and restart entries.
class lasting_site {
public:
    lasting_site(int phase, duration page_time) : world_(make_options(page_time))
    {
        world_.run_for(3s);
        for (int i = 0; i < jobs_count; ++i) {
            jobs_.push_back(fmt::format("{:016x}", 0xaa + i));
            const int entry = i * entries_count / jobs_count;
            BOOST_REQUIRE(world_.submit(entry, jobs_.back(), lasting_spec(tasks_each, 4000)) ==
                          caller_result::accepted);
        }
        BOOST_REQUIRE(world_.run_until([this] { return world_.count_all_running_tasks() == tasks_all; }, 10s));
        world_.run_for(3s + phase * phase_step);
    }

    flow_simulation& world() { return world_; }

    // Removes one busy worker of each data centre: it crashes or becomes unreachable.
    void lose_workers(loss_kind how)
    {
        gone_at_ = world_.now();
        for (const char* data_centre : {"a", "b"}) {
            for (int i = 0; i < world_.worker_count(); ++i) {
                flow_fake_worker& w = world_.worker(i);
                if (w.running.empty() || w.data_centre.str() != data_centre) {
                    continue;
                }
                for (const auto& [task, run] : w.running) {
                    lost_.insert(task);
                }
                w.reachable = false;
                w.listed = false;
                if (how == loss_kind::crashed) {
                    world_.crash_worker(i, false);
                }
                break;
            }
        }
        BOOST_REQUIRE(!lost_.empty());
    }

    // Kills the entry for 800 ms, or stops it by plan for 3 s.
    void stop_entry(int entry, restart_kind kind)
    {
        last_down_ = world_.now();
        if (kind == restart_kind::killed) {
            world_.kill_entry(entry);
            away_[entry] = world_.now() + 800ms;
            return;
        }
        world_.entry(entry)->plan_stop(world_.now());
        world_.entry(entry)->run_deferred_work(world_.now());
        away_[entry] = world_.now() + 3s;
    }

    // Runs the simulation for one step, restarts the entries whose downtime is over, and records when all lost tasks
    // run.
    void advance()
    {
        world_.run_for(step);
        for (auto at = away_.begin(); at != away_.end();) {
            flow_entry* const entry = world_.entry(at->first);
            if (entry != nullptr && entry->stopped()) {
                world_.kill_entry(at->first);
            }
            if (world_.now() < at->second) {
                ++at;
                continue;
            }
            world_.kill_entry(at->first);
            world_.start_entry(at->first);
            last_back_ = world_.now();
            at = away_.erase(at);
        }
        const std::set<flow_task_id> running = running_elsewhere();
        const bool all = std::includes(running.begin(), running.end(), lost_.begin(), lost_.end());
        recovered_at_ = !all ? instant::max() : recovered_at_ == instant::max() ? world_.now() : recovered_at_;
    }

    void advance_for(duration d)
    {
        const instant until = world_.now() + d;
        while (world_.now() < until) {
            advance();
        }
    }

    // Returns the index of a running entry that owns the cell, or -1.
    int owner_of(const char* cell)
    {
        for (int i = 0; i < entries_count; ++i) {
            if (world_.entry(i) == nullptr) {
                continue;
            }
            const auto at = world_.entry(i)->cells().find(cell_id(cell));
            if (at != world_.entry(i)->cells().end() && at->second->owns() && away_.count(i) == 0) {
                return i;
            }
        }
        return -1;
    }

    // Waits for all restarts and checks that the lost tasks run again within `recovery_limit` and that no task was
    // started more often than needed.
    void check(const std::string& name)
    {
        while (!away_.empty()) {
            advance();
        }
        while (recovered_at_ == instant::max() && world_.now() < last_back_ + recovery_timeout) {
            advance();
        }
        advance_for(15s);
        const bool recovered = recovered_at_ != instant::max();
        const auto since = [&](instant from) {
            return recovered ? fmt::format("{:.2f}", std::chrono::duration<double>(recovered_at_ - from).count())
                             : "never";
        };
        std::int64_t starts = 0;
        for (const std::string& job : jobs_) {
            starts += world_.count_job_starts(job);
        }
        const auto surplus_starts = starts - tasks_all - static_cast<std::int64_t>(lost_.size());
        const std::string summary = fmt::format(
            "{}: all lost tasks run {} s after the loss, {} s after the last stop, {} s after the last restart; "
            "{} surplus starts",
            name, since(gone_at_), since(last_down_), since(last_back_), surplus_starts);
        BOOST_TEST_MESSAGE(summary);
        BOOST_TEST((recovered && recovered_at_ <= std::max(gone_at_, last_down_) + recovery_limit), summary);
        BOOST_TEST(surplus_starts == 0, summary);
        check_no_violations(world_);
    }

private:
    static flow_simulation::options make_options(duration page_time)
    {
        flow_simulation::options o;
        o.data_centres = {"a", "b"};
        o.entries_per_data_centre = entries_count / 2;
        o.workers_per_data_centre = workers_per_data_centre;
        o.rack_size = 6;
        o.job_page_transfer_time = page_time;
        return o;
    }

    // Returns the tasks that run on reachable workers.
    std::set<flow_task_id> running_elsewhere()
    {
        std::set<flow_task_id> running;
        for (int i = 0; i < world_.worker_count(); ++i) {
            const flow_fake_worker& w = world_.worker(i);
            for (const auto& [task, run] : w.running) {
                if (w.up && w.reachable) {
                    running.insert(task);
                }
            }
        }
        return running;
    }

    flow_simulation world_;
    std::vector<std::string> jobs_;
    std::set<flow_task_id> lost_;
    std::map<int, instant> away_; // stopped entries, with the time of their restart
    instant gone_at_ = world_.now();
    instant last_down_{};
    instant last_back_{};
    instant recovered_at_ = instant::max(); // time since which all tasks in `lost_` run on other workers
};

// Restarts all entries in turn, `restart_gap` apart, and removes the workers at the time that the case gives.
void restart_in_turn(const restart_case& c)
{
    lasting_site site(c.phase, c.page_time);
    const instant first = site.world().now() + std::max<duration>(c.gone_before, duration(0));
    const instant gone = first - c.gone_before;
    int restarted = 0;
    bool lost = false;
    while (restarted < c.rounds * entries_count || !lost) {
        if (!lost && site.world().now() >= gone) {
            lost = true;
            site.lose_workers(c.gone);
        }
        if (restarted < c.rounds * entries_count && site.world().now() >= first + restarted * restart_gap) {
            site.stop_entry(restarted++ % entries_count, c.kind);
        }
        site.advance();
    }
    site.check(fmt::format("{} {} rounds, pages {} ms, {}, lost {} ms before, phase {}",
                           c.kind == restart_kind::killed ? "killed" : "planned", c.rounds, c.page_time / 1ms,
                           c.gone == loss_kind::crashed ? "crashed" : "cut off", c.gone_before / 1ms, c.phase));
}

// Runs the case for every time of the loss, kind of loss and phase.
void restart_in_turn_all_cases(restart_case c)
{
    for (const duration before : {duration(4s), duration(0s), duration(-2s), duration(-4s)}) {
        for (const loss_kind gone : {loss_kind::crashed, loss_kind::cut_off}) {
            for (int phase = 0; phase < phases; ++phase) {
                c.gone_before = before;
                c.gone = gone;
                c.phase = phase;
                restart_in_turn(c);
            }
        }
    }
}

// Stops `owners` successive owners of cell a, each `owner_lifetime` after it has acquired the cell. The kinds of
// restart in `kinds` alternate.
void stop_successive_owners(const std::vector<restart_kind>& kinds, int owners, duration owner_lifetime,
                            duration page_time, bool worker_lost = true)
{
    for (int phase = 0; phase < phases; ++phase) {
        lasting_site site(phase, page_time);
        if (worker_lost) {
            site.lose_workers(loss_kind::crashed);
        }
        for (int i = 0; i < owners; ++i) {
            while (site.owner_of("a") < 0) {
                site.advance();
            }
            site.advance_for(owner_lifetime);
            if (const int owner = site.owner_of("a"); owner >= 0) {
                site.stop_entry(owner, kinds.at(static_cast<std::size_t>(i) % kinds.size()));
            }
        }
        site.check(fmt::format("successive owners, {}, {} owners, {} ms each, pages {} ms, phase {}",
                               kinds.size() > 1                        ? "planned and killed"
                               : kinds.front() == restart_kind::killed ? "killed"
                                                                       : "planned",
                               owners, owner_lifetime / 1ms, page_time / 1ms, phase));
    }
}

} // namespace

// Guards against each owner waiting another full lease for a lost worker when entries are killed in turn.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_while_entries_are_killed_in_turn)
{
    restart_in_turn_all_cases({.kind = restart_kind::killed});
}

// Guards against each owner waiting another full lease when entries are killed again before the site has recovered
// from the first round.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_while_entries_are_killed_twice)
{
    restart_in_turn_all_cases({.kind = restart_kind::killed, .rounds = 2});
}

// Guards against an owner that stops by plan not passing the lease end of a lost worker to the next owner.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_while_entries_are_stopped_in_turn)
{
    restart_in_turn_all_cases({.kind = restart_kind::planned});
}

// Guards against losing the lease end of a lost worker when entries are stopped by plan again before the site has
// recovered from the first round.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_while_entries_are_stopped_twice)
{
    restart_in_turn_all_cases({.kind = restart_kind::planned, .rounds = 2});
}

// Guards against lost tasks waiting too long when each owner is killed while it reads the rows, so that the next owner
// reads them from the beginning.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_while_owners_are_killed_that_read_slowly)
{
    restart_in_turn_all_cases({.kind = restart_kind::killed, .page_time = 400ms});
}

// Guards against lost tasks waiting too long when owners are killed during slow reads of the rows in two rounds.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_while_owners_are_killed_twice_that_read_slowly)
{
    restart_in_turn_all_cases({.kind = restart_kind::killed, .rounds = 2, .page_time = 400ms});
}

// Guards against lost tasks waiting too long when each owner is stopped by plan while it reads the rows, and passes
// nothing that it has read to the next owner.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_while_owners_are_stopped_that_read_slowly)
{
    restart_in_turn_all_cases({.kind = restart_kind::planned, .page_time = 400ms});
}

// Guards against lost tasks waiting too long when owners are stopped by plan during slow reads in two rounds.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_while_owners_are_stopped_twice_that_read_slowly)
{
    restart_in_turn_all_cases({.kind = restart_kind::planned, .rounds = 2, .page_time = 400ms});
}

// Guards against repeated lease waits when an owner is killed 500 ms after it has acquired the cell, before it has
// recorded which workers it cannot reach.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_though_each_owner_is_killed_at_once)
{
    for (const int owners : {1, 2, 3, 4}) {
        stop_successive_owners({restart_kind::killed}, owners, 500ms, duration(0));
    }
}

// Guards against the recorded lease end of an unreachable worker moving later with each owner, by the time that the
// next owner takes to read it.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_though_owners_are_killed_that_have_left_word)
{
    for (const int owners : {1, 2, 3, 4}) {
        for (const duration owner_lifetime : {2500ms, 3000ms, 3500ms}) {
            stop_successive_owners({restart_kind::killed}, owners, owner_lifetime, duration(0));
        }
    }
}

// Guards against repeated lease waits when each owner is killed before it has read its rows, which takes 400 ms a page.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_though_owners_are_killed_before_they_have_read)
{
    for (const int owners : {1, 2, 3}) {
        for (const duration owner_lifetime : {500ms, 3500ms}) {
            stop_successive_owners({restart_kind::killed}, owners, owner_lifetime, 400ms);
        }
    }
}

// Guards against the leases of all tasks of a cell expiring when each owner is stopped by plan before it first renews
// them.
BOOST_AUTO_TEST_CASE(tasks_go_on_though_each_owner_is_stopped_before_it_renews_leases)
{
    for (const duration owner_lifetime : {300ms, 500ms, 700ms, 900ms, 1100ms, 1300ms, 1500ms}) {
        stop_successive_owners({restart_kind::planned}, 14, owner_lifetime, duration(0), false);
    }
}

// Guards against the leases of all tasks of a cell expiring when each owner is killed before it first renews them.
BOOST_AUTO_TEST_CASE(tasks_go_on_though_each_owner_is_killed_before_it_renews_leases)
{
    for (const duration owner_lifetime : {300ms, 700ms, 1100ms, 1500ms}) {
        stop_successive_owners({restart_kind::killed}, 8, owner_lifetime, duration(0), false);
    }
}

// Guards against losing the lease ends that a planned release recorded, when the next owner is killed 500 ms after it
// has acquired the cell.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_though_an_owner_is_killed_after_a_release)
{
    for (const int owners : {2, 4}) {
        stop_successive_owners({restart_kind::planned, restart_kind::killed}, owners, 500ms, duration(0));
    }
}

// Guards against repeated lease waits when each owner is stopped by plan 500 ms after it has acquired the cell.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_though_each_owner_is_stopped_at_once)
{
    for (const int owners : {1, 2, 3, 4}) {
        stop_successive_owners({restart_kind::planned}, owners, 500ms, duration(0));
    }
}
