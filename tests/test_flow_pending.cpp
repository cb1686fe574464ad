// How many jobs of a queue wait, asked at entries that the owner of their cell cannot tell.
#include <boost/test/unit_test.hpp>

#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";
const std::string job_b = "00000000000000bb";

// A task for which no worker has room: its job is accepted and waits.
flow_spec spec_without_room()
{
    return chain_spec(1, 1, 1000000);
}

int owner_of(flow_simulation& w, const std::string& cell, int entries)
{
    for (int entry = 0; entry < entries; ++entry) {
        if (w.entry(entry) != nullptr && w.entry(entry)->cells().at(cell_id(cell))->owns()) {
            return entry;
        }
    }
    return -1;
}

} // namespace

BOOST_AUTO_TEST_CASE(jobs_accepted_for_a_cell_whose_owner_is_cut_off_are_counted_everywhere)
{
    // A data centre is cut off. Jobs that were accepted outside for one of its cells in the moments before anybody
    // knew of it have waited for seconds, and an entry that is asked how many wait says none: only the one that had
    // accepted them knew, as the owner could not be told.
    flow_simulation w({.data_centres = {"a", "b"}});
    w.run_for(3s);
    const int accepting = owner_of(w, "a", 4);
    const int asked = accepting == 0 ? 1 : 0;
    w.pause_entry(2);
    w.pause_entry(3);
    for (const std::string& job : {job_a, job_b, std::string("00000000000000cc"), std::string("00000000000000dd")}) {
        BOOST_REQUIRE(w.submit(accepting, job, spec_without_room()) == caller_result::accepted);
    }
    w.run_for(2s);
    BOOST_TEST(w.pending(asked) == 4);
}

BOOST_AUTO_TEST_CASE(jobs_of_a_cell_whose_owner_has_just_started_anew_are_counted)
{
    // The owner of a cell loses power and starts anew. What it had told went with its earlier life, and until the cell
    // had an owner again that all could hear, its jobs were missing from what other entries said.
    flow_simulation w({.data_centres = {"a", "b"}, .entries_per_data_centre = 1});
    w.run_for(3s);
    BOOST_REQUIRE(w.submit(1, job_a, spec_without_room()) == caller_result::accepted);
    BOOST_REQUIRE(w.submit(1, job_b, spec_without_room()) == caller_result::accepted);
    w.run_for(2s);
    BOOST_REQUIRE(w.pending(0) == 2);
    w.kill_entry(1);
    w.start_entry(1);
    for (int look = 0; look < 30; ++look) {
        w.run_for(100ms);
        BOOST_TEST(w.pending(0) == 2);
    }
}

// A job that no worker has taken a task of is left out, since its owner has decided to start one.
BOOST_AUTO_TEST_CASE(a_job_whose_start_is_refused_is_counted)
{
    flow_simulation w({.workers_per_data_centre = 2});
    w.run_for(3s);
    w.refuse_starts(true);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 1, 10000)) == caller_result::accepted);
    for (int look = 0; look < 60; ++look) {
        w.run_for(100ms);
        BOOST_TEST(w.pending(0) == 1);
        BOOST_TEST(w.pending(1) == 1);
    }
    BOOST_TEST(w.count_running_tasks(job_a) == 0);
    BOOST_TEST((w.state(0, job_a) == flow_state::queued));
}

// The same while the start is on its way to a worker that does not answer.
BOOST_AUTO_TEST_CASE(a_job_whose_start_is_not_answered_is_counted)
{
    flow_simulation w({.workers_per_data_centre = 1});
    w.run_for(3s);
    w.worker(0).reachable = false;
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 1, 10000)) == caller_result::accepted);
    for (int look = 0; look < 50; ++look) {
        w.run_for(100ms);
        BOOST_TEST(w.pending(0) == 1);
        BOOST_TEST(w.pending(1) == 1);
    }
}
