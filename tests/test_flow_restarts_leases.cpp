// How long lasting tasks of a worker that is gone stand still while all entries restart in turn, and so the owners of
// its cell follow each other faster than a lease ends or the rows are read.
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
constexpr duration still_most = 9s; // since the loss or the last taking down: one lease and a start
constexpr duration given_up = 40s;  // after the last restart
constexpr int phases = 8;
constexpr duration phase_step = 130ms;

enum class restart_kind : std::uint8_t { killed, planned };
enum class gone_kind : std::uint8_t { crashed, cut_off };

struct restart_case {
    restart_kind kind = restart_kind::killed;
    int rounds = 1;
    duration page_time{0}; // of rows of jobs, over the entry's link
    gone_kind gone = gone_kind::crashed;
    duration gone_before{0}; // the first restart; negative: while entries restart
    int phase = 0;           // of the first restart to the renewals and looks of the entries
};

// A site on which lasting tasks run, and of which one worker of each data centre goes for good.
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

    void lose_workers(gone_kind how)
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
                if (how == gone_kind::crashed) {
                    world_.crash_worker(i, false);
                }
                break;
            }
        }
        BOOST_REQUIRE(!lost_.empty());
    }

    void take_down(int entry, restart_kind kind)
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

    // Entries that are due start again.
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
        whole_at_ = !all ? instant::max() : whole_at_ == instant::max() ? world_.now() : whole_at_;
    }

    void advance_for(duration d)
    {
        const instant until = world_.now() + d;
        while (world_.now() < until) {
            advance();
        }
    }

    // The entry that owns the cell, or -1.
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

    void check(const std::string& name)
    {
        while (!away_.empty()) {
            advance();
        }
        while (whole_at_ == instant::max() && world_.now() < last_back_ + given_up) {
            advance();
        }
        advance_for(15s);
        const bool whole = whole_at_ != instant::max();
        const auto since = [&](instant from) {
            return whole ? fmt::format("{:.2f}", std::chrono::duration<double>(whole_at_ - from).count()) : "never";
        };
        std::int64_t starts = 0;
        for (const std::string& job : jobs_) {
            starts += world_.count_job_starts(job);
        }
        const auto anew = starts - tasks_all - static_cast<std::int64_t>(lost_.size());
        const std::string told =
            fmt::format("{}: whole {} s after the loss, {} s after the last taking down, {} s after the last start; "
                        "{} starts too many",
                        name, since(gone_at_), since(last_down_), since(last_back_), anew);
        BOOST_TEST_MESSAGE(told);
        BOOST_TEST((whole && whole_at_ <= std::max(gone_at_, last_down_) + still_most), told);
        BOOST_TEST(anew == 0, told);
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
    std::map<int, instant> away_; // and when it comes back
    instant gone_at_ = world_.now();
    instant last_down_{};
    instant last_back_{};
    instant whole_at_ = instant::max(); // since then all of `lost_` run elsewhere
};

void play_turns(const restart_case& c)
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
            site.take_down(restarted++ % entries_count, c.kind);
        }
        site.advance();
    }
    site.check(fmt::format("{} {} rounds, pages {} ms, {}, lost {} ms before, phase {}",
                           c.kind == restart_kind::killed ? "killed" : "planned", c.rounds, c.page_time / 1ms,
                           c.gone == gone_kind::crashed ? "crashed" : "cut off", c.gone_before / 1ms, c.phase));
}

void play_all_turns(restart_case c)
{
    for (const duration before : {duration(4s), duration(0s), duration(-2s), duration(-4s)}) {
        for (const gone_kind gone : {gone_kind::crashed, gone_kind::cut_off}) {
            for (int phase = 0; phase < phases; ++phase) {
                c.gone_before = before;
                c.gone = gone;
                c.phase = phase;
                play_turns(c);
            }
        }
    }
}

// Each owner of cell a is taken down `lives` after it has taken the cell, in the ways of `kinds` in turn.
void play_chase(const std::vector<restart_kind>& kinds, int owners, duration lives, duration page_time,
                bool worker_lost = true)
{
    for (int phase = 0; phase < phases; ++phase) {
        lasting_site site(phase, page_time);
        if (worker_lost) {
            site.lose_workers(gone_kind::crashed);
        }
        for (int i = 0; i < owners; ++i) {
            while (site.owner_of("a") < 0) {
                site.advance();
            }
            site.advance_for(lives);
            if (const int owner = site.owner_of("a"); owner >= 0) {
                site.take_down(owner, kinds.at(static_cast<std::size_t>(i) % kinds.size()));
            }
        }
        site.check(fmt::format("chased, {}, {} owners, {} ms each, pages {} ms, phase {}",
                               kinds.size() > 1                        ? "planned and killed"
                               : kinds.front() == restart_kind::killed ? "killed"
                                                                       : "planned",
                               owners, lives / 1ms, page_time / 1ms, phase));
    }
}

} // namespace

// Owners that are killed in turn each wait a lease anew for a worker that is gone.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_while_entries_are_killed_in_turn)
{
    play_all_turns({.kind = restart_kind::killed});
}

// The same where an entry is killed again before what follows from the first time is over.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_while_entries_are_killed_twice)
{
    play_all_turns({.kind = restart_kind::killed, .rounds = 2});
}

// Owners that hand over do not hand on how long the lost worker's leases may last.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_while_entries_are_stopped_in_turn)
{
    play_all_turns({.kind = restart_kind::planned});
}

// The same where an entry is stopped again before what follows from the first time is over.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_while_entries_are_stopped_twice)
{
    play_all_turns({.kind = restart_kind::planned, .rounds = 2});
}

// Each owner is killed while it reads the rows, and the next begins to read anew.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_while_owners_are_killed_that_read_slowly)
{
    play_all_turns({.kind = restart_kind::killed, .page_time = 400ms});
}

// The same twice round.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_while_owners_are_killed_twice_that_read_slowly)
{
    play_all_turns({.kind = restart_kind::killed, .rounds = 2, .page_time = 400ms});
}

// Each owner is stopped while it reads the rows, and hands over nothing of what it has read.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_while_owners_are_stopped_that_read_slowly)
{
    play_all_turns({.kind = restart_kind::planned, .page_time = 400ms});
}

// The same twice round.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_while_owners_are_stopped_twice_that_read_slowly)
{
    play_all_turns({.kind = restart_kind::planned, .rounds = 2, .page_time = 400ms});
}

// An owner that is killed soon after it has taken the cell leaves no word of the workers that it cannot reach.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_though_each_owner_is_killed_at_once)
{
    for (const int owners : {1, 2, 3, 4}) {
        play_chase({restart_kind::killed}, owners, 500ms, duration(0));
    }
}

// The word that owners leave of a silent worker's leases grows by the time that their followers take to read it.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_though_owners_are_killed_that_have_left_word)
{
    for (const int owners : {1, 2, 3, 4}) {
        for (const duration lives : {2500ms, 3000ms, 3500ms}) {
            play_chase({restart_kind::killed}, owners, lives, duration(0));
        }
    }
}

// The same with rows that are read slowly: each owner is killed before it has read them.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_though_owners_are_killed_before_they_have_read)
{
    for (const int owners : {1, 2, 3}) {
        for (const duration lives : {500ms, 3500ms}) {
            play_chase({restart_kind::killed}, owners, lives, 400ms);
        }
    }
}

// Owners that follow each other faster than their first renewal of leases let all tasks of the cell lapse.
BOOST_AUTO_TEST_CASE(tasks_go_on_though_each_owner_is_stopped_before_it_renews_leases)
{
    for (const duration lives : {300ms, 500ms, 700ms, 900ms, 1100ms, 1300ms, 1500ms}) {
        play_chase({restart_kind::planned}, 14, lives, duration(0), false);
    }
}

// The same with owners that are killed.
BOOST_AUTO_TEST_CASE(tasks_go_on_though_each_owner_is_killed_before_it_renews_leases)
{
    for (const duration lives : {300ms, 700ms, 1100ms, 1500ms}) {
        play_chase({restart_kind::killed}, 8, lives, duration(0), false);
    }
}

// An owner that is killed soon after it has taken a released cell drops the word of the release.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_though_an_owner_is_killed_after_a_release)
{
    for (const int owners : {2, 4}) {
        play_chase({restart_kind::planned, restart_kind::killed}, owners, 500ms, duration(0));
    }
}

// Owners that are stopped one after another, each soon after it has taken the cell.
BOOST_AUTO_TEST_CASE(lost_tasks_start_again_though_each_owner_is_stopped_at_once)
{
    for (const int owners : {1, 2, 3, 4}) {
        play_chase({restart_kind::planned}, owners, 500ms, duration(0));
    }
}
