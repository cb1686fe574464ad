// Tests the pending count of a queue at the remaining entries after the entries that accepted the jobs were killed.
#include <boost/test/unit_test.hpp>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"
#include "support_pending.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

constexpr int data_centres = 4;
constexpr int phases = 8; // offsets, in the owner's renewal cycle, at which the owner is killed
constexpr duration poll_interval = 100ms;
constexpr duration acceptance_wait = 20ms; // the table answers in 8 ms
constexpr duration kill_time = 8s;
constexpr duration poll_duration = 15s;

struct gone_case {
    int entries_per_data_centre = 2; // all entries of the first data centre are killed
    duration page_time{0};           // transfer time of a page of job rows over the link of an entry
    bool other_cut = false;          // the last data centre is cut off from its peers, but not from the table
    bool discard_change_history = false;
};

// Kills all entries of the first data centre 20 ms after its owner was sent a job, and checks the pending counts that
// the other entries report.
void check_counts_after_kill(const gone_case& c, int phase)
{
    flow_simulation::options o;
    o.seed = static_cast<std::uint64_t>(phase) + 1;
    o.data_centres = {"a", "b", "c", "d"};
    o.entries_per_data_centre = c.entries_per_data_centre;
    o.workers_per_data_centre = 12;
    o.rack_size = 6;
    o.job_page_transfer_time = c.page_time;
    flow_simulation world(o);
    const int entries = data_centres * c.entries_per_data_centre;
    world.run_for(kill_time + phase * 131ms);
    int owner = 0;
    for (int entry = 0; entry < c.entries_per_data_centre; ++entry) {
        const auto& cells = world.entry(entry)->cells();
        if (std::any_of(cells.begin(), cells.end(), [](const auto& cell) { return cell.second->owns(); })) {
            owner = entry;
        }
    }
    for (int entry = entries - c.entries_per_data_centre; c.other_cut && entry < entries; ++entry) {
        world.cut_entry_from_peers(entry, true);
    }
    pending_count_checker check(world);
    check.submit(owner);
    world.run_for(acceptance_wait);
    check.record_accepted();
    BOOST_REQUIRE(check.accepted() == 1);
    for (int entry = 0; entry < c.entries_per_data_centre; ++entry) {
        world.kill_entry(entry);
    }
    if (c.discard_change_history) {
        world.discard_change_history();
    }
    for (duration t{0}; t < poll_duration; t += poll_interval) {
        for (int entry = c.entries_per_data_centre; entry < entries; ++entry) {
            check.ask(entry);
        }
        world.run_for(poll_interval);
    }
    world.run_for(pending_count_checker::answer_time_limit);
    check_no_violations(world);
    check.check(400);
}

// Runs the case at every phase.
void check_all_phases(const gone_case& c)
{
    for (int phase = 0; phase < phases; ++phase) {
        check_counts_after_kill(c, phase);
    }
}

} // namespace

// Guards against treating the count in the row of a cell as current after its owner was killed. That count omits the
// jobs that the owner accepted after it wrote the row.
BOOST_AUTO_TEST_CASE(jobs_of_a_data_centre_that_is_gone_are_counted)
{
    check_all_phases({});
}

// Guards against the same outdated count when the owner was the only entry of its data centre.
BOOST_AUTO_TEST_CASE(jobs_of_the_only_entry_of_a_data_centre_are_counted)
{
    check_all_phases({.entries_per_data_centre = 1});
}

// Guards against the next owner reporting the outdated count of its predecessor while it reads the job rows.
BOOST_AUTO_TEST_CASE(jobs_of_a_data_centre_that_is_gone_are_counted_while_the_follower_reads)
{
    check_all_phases({.page_time = 400ms});
}

// Guards against entries that are cut off from their peers relying on the outdated count in the row of the cell.
BOOST_AUTO_TEST_CASE(jobs_of_a_data_centre_that_is_gone_are_counted_behind_a_cut)
{
    check_all_phases({.page_time = 400ms, .other_cut = true});
}
