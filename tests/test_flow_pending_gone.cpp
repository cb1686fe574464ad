// How many jobs of a queue wait, asked of those that are left when the entries that took the jobs are gone.
#include <boost/test/unit_test.hpp>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"
#include "support_pending.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

constexpr int data_centres = 4;
constexpr int phases = 8; // of the owner's renewals, at which it is killed
constexpr duration step = 100ms;
constexpr duration accepted_after = 20ms; // by a table that answers in 8 ms
constexpr duration killed_after = 8s;
constexpr duration asked_for = 15s;

struct gone_case {
    int entries_per_data_centre = 2; // all of a data centre are killed
    duration page_time{0};
    bool other_cut = false; // a data centre is cut off from its peers meanwhile, and reaches the table
    bool discard_change_history = false;
};

// Kills all entries of the data centre whose cell has just taken jobs, and asks the others.
void play(const gone_case& c, int phase)
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
    world.run_for(killed_after + phase * 131ms);
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
    world.run_for(accepted_after);
    check.record_accepted();
    BOOST_REQUIRE(check.accepted() == 1);
    for (int entry = 0; entry < c.entries_per_data_centre; ++entry) {
        world.kill_entry(entry);
    }
    if (c.discard_change_history) {
        world.discard_change_history();
    }
    for (duration t{0}; t < asked_for; t += step) {
        for (int entry = c.entries_per_data_centre; entry < entries; ++entry) {
            check.ask(entry);
        }
        world.run_for(step);
    }
    world.run_for(pending_count_checker::answer_time_limit);
    check_no_violations(world);
    check.check(400);
}

void play_all(const gone_case& c)
{
    for (int phase = 0; phase < phases; ++phase) {
        play(c, phase);
    }
}

} // namespace

// The count in the row of a cell whose owner is gone is taken for new, and leaves out what the owner took after it.
BOOST_AUTO_TEST_CASE(jobs_of_a_data_centre_that_is_gone_are_counted)
{
    play_all({});
}

// The same where the owner had no neighbour.
BOOST_AUTO_TEST_CASE(jobs_of_the_only_entry_of_a_data_centre_are_counted)
{
    play_all({.entries_per_data_centre = 1});
}

// The follower takes the old count for its own while it reads the rows.
BOOST_AUTO_TEST_CASE(jobs_of_a_data_centre_that_is_gone_are_counted_while_the_follower_reads)
{
    play_all({.page_time = 400ms});
}

// Whoever is cut off hears no count, and goes by the row.
BOOST_AUTO_TEST_CASE(jobs_of_a_data_centre_that_is_gone_are_counted_behind_a_cut)
{
    play_all({.page_time = 400ms, .other_cut = true});
}
