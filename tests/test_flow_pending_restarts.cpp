// How many jobs of a queue wait, asked at every entry while all entries restart in turn, faster than an owner reads the
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
constexpr duration step = 100ms; // each entry is asked this often
constexpr duration submit_interval = 400ms;
constexpr duration restart_gap = 400ms;
constexpr duration first_restart = 8s;
constexpr duration played = 40s;

enum class restart_kind : std::uint8_t { killed, planned };

struct restart_case {
    restart_kind kind = restart_kind::killed;
    int rounds = 1;
    duration page_time{0};       // of rows of jobs, over the entry's link
    duration table_away_from{0}; // after the start
    duration table_away_until{0};
    double link_bytes_per_s = 0;
};

// A site on which all jobs wait, since no worker has room for them, and whose entries restart in turn.
class waiting_site {
public:
    explicit waiting_site(const restart_case& c) : case_(c), world_(make_options(c)), counts_(world_) {}

    void play()
    {
        begun_ = world_.now();
        while (world_.now() - begun_ < played) {
            const duration t = world_.now() - begun_;
            world_.set_table_down(t >= case_.table_away_from && t < case_.table_away_until);
            restart(t);
            submit(t);
            counts_.record_accepted();
            for (int entry = 0; entry < entries_count; ++entry) {
                if (is_asked(entry)) {
                    counts_.ask(entry);
                }
            }
            world_.run_for(step);
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

    void restart(duration t)
    {
        const int due = static_cast<int>((t - first_restart) / restart_gap) + 1;
        while (t >= first_restart && restarted_ < due && restarted_ < case_.rounds * entries_count) {
            take_down(restarted_++ % entries_count);
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

    void take_down(int entry)
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
    instant begun_{};
    int restarted_ = 0;
    std::map<int, instant> away_; // and when it comes back
    std::int64_t submitted_ = 0;  // or due while the entry was away
    pending_count_checker counts_;
};

void check_counts(const restart_case& c)
{
    waiting_site(c).play();
}

} // namespace

// An entry that has just started counts jobs as not there that it has not heard of.
BOOST_AUTO_TEST_CASE(jobs_that_wait_are_counted_while_entries_are_killed_in_turn)
{
    check_counts({.kind = restart_kind::killed});
}

// The same with owners that hand over.
BOOST_AUTO_TEST_CASE(jobs_that_wait_are_counted_while_entries_are_stopped_in_turn)
{
    check_counts({.kind = restart_kind::planned});
}

// Each owner of a cell is killed before it has read the rows, so nobody tells a whole count.
BOOST_AUTO_TEST_CASE(jobs_that_wait_are_counted_while_owners_are_killed_before_they_have_read)
{
    check_counts({.kind = restart_kind::killed, .page_time = 400ms});
}

// The same with owners that hand over what they have not read.
BOOST_AUTO_TEST_CASE(jobs_that_wait_are_counted_while_owners_are_stopped_before_they_have_read)
{
    check_counts({.kind = restart_kind::planned, .page_time = 400ms});
}

// An entry that starts while the table is away has nobody to ask but its peers.
BOOST_AUTO_TEST_CASE(jobs_that_wait_are_counted_while_the_table_is_away_and_entries_are_killed)
{
    check_counts({.kind = restart_kind::killed, .table_away_from = 10s, .table_away_until = 14s});
}

// The same with owners that cannot release their cells.
BOOST_AUTO_TEST_CASE(jobs_that_wait_are_counted_while_the_table_is_away_and_entries_are_stopped)
{
    check_counts({.kind = restart_kind::planned, .table_away_from = 10s, .table_away_until = 14s});
}

// Entries that restart again before all that follow from the first time is over.
BOOST_AUTO_TEST_CASE(jobs_that_wait_are_counted_while_entries_restart_twice)
{
    check_counts({.kind = restart_kind::planned, .rounds = 2, .page_time = 400ms});
    check_counts({.kind = restart_kind::killed, .rounds = 2, .page_time = 400ms});
}

// News of cells come late over a full link.
BOOST_AUTO_TEST_CASE(jobs_that_wait_are_counted_over_narrow_links)
{
    check_counts({.kind = restart_kind::planned, .page_time = 100ms, .link_bytes_per_s = 0.25e6});
    check_counts({.kind = restart_kind::killed, .page_time = 100ms, .link_bytes_per_s = 0.25e6});
}
