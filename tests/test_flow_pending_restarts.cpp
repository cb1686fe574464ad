// Tests the pending count of a queue at every entry while all entries restart in turn, faster than an owner reads the
// rows of its cell.
#include <boost/test/unit_test.hpp>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"
#include "support_pending.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

constexpr int entries_count = 12;
constexpr duration poll_interval = 100ms;
constexpr duration submit_interval = 400ms;
constexpr duration restart_gap = 400ms;
constexpr duration first_restart = 8s;
constexpr duration test_duration = 40s;

enum class restart_kind : std::uint8_t { killed, planned };

struct restart_case {
    restart_kind kind = restart_kind::killed;
    int rounds = 1;
    duration page_time{0};       // transfer time of a page of job rows over the link of an entry
    duration table_away_from{0}; // from the start of the test
    duration table_away_until{0};
    double link_bytes_per_s = 0;
};

// A site whose entries restart in turn. All of its jobs stay queued, because no worker has room for them.
class waiting_site {
public:
    explicit waiting_site(const restart_case& c) : case_(c), world_(make_options(c)), counts_(world_) {}

    // Submits jobs, restarts entries, and checks the pending counts of all ready entries.
    void run()
    {
        started_at_ = world_.now();
        while (world_.now() - started_at_ < test_duration) {
            const duration t = world_.now() - started_at_;
            world_.set_table_down(t >= case_.table_away_from && t < case_.table_away_until);
            restart(t);
            submit(t);
            counts_.record_accepted();
            for (int entry = 0; entry < entries_count; ++entry) {
                if (is_asked(entry)) {
                    counts_.ask(entry);
                }
            }
            world_.run_for(poll_interval);
        }
        world_.run_for(pending_count_checker::answer_time_limit);
        check_no_violations(world_);
        counts_.check(1500);
    }

private:
    static flow_simulation::options make_options(const restart_case& c)
    {
        flow_simulation::options o;
        o.data_centres = {"a", "b"};
        o.entries_per_data_centre = entries_count / 2;
        o.workers_per_data_centre = 12;
        o.rack_size = 6;
        o.job_page_transfer_time = c.page_time;
        o.link_bytes_per_s = c.link_bytes_per_s;
        return o;
    }

    // Stops the entries that are due at `t`, and starts those whose downtime is over.
    void restart(duration t)
    {
        const int due = static_cast<int>((t - first_restart) / restart_gap) + 1;
        while (t >= first_restart && restarted_ < due && restarted_ < case_.rounds * entries_count) {
            stop_entry(restarted_++ % entries_count);
        }
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
            counts_.record_killed(at->first);
            world_.start_entry(at->first);
            at = away_.erase(at);
        }
    }

    // Kills the entry for 800 ms, or stops it by plan for 3 s.
    void stop_entry(int entry)
    {
        if (case_.kind == restart_kind::killed) {
            world_.kill_entry(entry);
            away_[entry] = world_.now() + 800ms;
            return;
        }
        world_.entry(entry)->plan_stop(world_.now());
        world_.entry(entry)->run_deferred_work(world_.now());
        away_[entry] = world_.now() + 3s;
    }

    bool is_asked(int entry)
    {
        return away_.count(entry) == 0 && world_.entry(entry) != nullptr && world_.entry(entry)->ready();
    }

    // Submits the next job if it is due at `t`; skips it if its entry is not ready.
    void submit(duration t)
    {
        if (t < 2s || t < submit_interval * submitted_) {
            return;
        }
        const int entry = static_cast<int>(submitted_++ % entries_count);
        if (is_asked(entry)) {
            counts_.submit(entry);
        }
    }

    restart_case case_;
    flow_simulation world_;
    instant started_at_{};
    int restarted_ = 0;
    std::map<int, instant> away_; // stopped entries, with the time of their restart
    std::int64_t submitted_ = 0;  // including jobs skipped because their entry was not ready
    pending_count_checker counts_;
};

void check_counts(const restart_case& c)
{
    waiting_site(c).run();
}

} // namespace

// Guards against a restarted entry omitting jobs from the count that it has not learned of yet.
BOOST_AUTO_TEST_CASE(jobs_that_wait_are_counted_while_entries_are_killed_in_turn)
{
    check_counts({.kind = restart_kind::killed});
}

// Guards against omitted jobs when owners stop by plan and hand over their cells.
BOOST_AUTO_TEST_CASE(jobs_that_wait_are_counted_while_entries_are_stopped_in_turn)
{
    check_counts({.kind = restart_kind::planned});
}

// Guards against incomplete counts when each owner of a cell is killed before it has read the rows, so that no entry
// has a complete count.
BOOST_AUTO_TEST_CASE(jobs_that_wait_are_counted_while_owners_are_killed_before_they_have_read)
{
    check_counts({.kind = restart_kind::killed, .page_time = 400ms});
}

// Guards against incomplete counts when each owner is stopped by plan before it has read the rows.
BOOST_AUTO_TEST_CASE(jobs_that_wait_are_counted_while_owners_are_stopped_before_they_have_read)
{
    check_counts({.kind = restart_kind::planned, .page_time = 400ms});
}

// Guards against omitted jobs when entries start during a table outage and can learn counts only from their peers.
BOOST_AUTO_TEST_CASE(jobs_that_wait_are_counted_while_the_table_is_away_and_entries_are_killed)
{
    check_counts({.kind = restart_kind::killed, .table_away_from = 10s, .table_away_until = 14s});
}

// Guards against omitted jobs when owners stop by plan during a table outage and cannot release their cells.
BOOST_AUTO_TEST_CASE(jobs_that_wait_are_counted_while_the_table_is_away_and_entries_are_stopped)
{
    check_counts({.kind = restart_kind::planned, .table_away_from = 10s, .table_away_until = 14s});
}

// Guards against omitted jobs when entries restart again before the site has recovered from the first round.
BOOST_AUTO_TEST_CASE(jobs_that_wait_are_counted_while_entries_restart_twice)
{
    check_counts({.kind = restart_kind::planned, .rounds = 2, .page_time = 400ms});
    check_counts({.kind = restart_kind::killed, .rounds = 2, .page_time = 400ms});
}

// Guards against omitted jobs when messages about cells arrive late over saturated links.
BOOST_AUTO_TEST_CASE(jobs_that_wait_are_counted_over_narrow_links)
{
    check_counts({.kind = restart_kind::planned, .page_time = 100ms, .link_bytes_per_s = 0.25e6});
    check_counts({.kind = restart_kind::killed, .page_time = 100ms, .link_bytes_per_s = 0.25e6});
}
