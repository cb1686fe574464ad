// Tests the pending count of a queue at entries that the owner of the jobs' cell cannot reach.
#include <boost/test/unit_test.hpp>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";
const std::string job_b = "00000000000000bb";

// A spec whose only task needs more CPU than any worker has, so that its job is accepted and stays queued.
flow_spec spec_without_room()
{
    return chain_spec(1, 1, 1000000);
}

} // namespace

BOOST_AUTO_TEST_CASE(jobs_accepted_for_a_cell_whose_owner_is_cut_off_are_counted_everywhere)
{
    // Both entries of data centre b are paused, and an entry of data centre a accepts four jobs before any entry has
    // noticed. The fault: the other entry of data centre a reported none of them 2 s later, because the accepting
    // entry could not notify the owner of the cell.
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
    // The owner of a cell is killed and restarted. The fault: its peers discarded the counts of its previous
    // process, so their answers omitted its jobs until the cell had a reachable owner again.
    flow_simulation w({.data_centres = {"a", "b"}, .entries_per_data_centre = 1});
    w.run_for(3s);
    BOOST_REQUIRE(w.submit(1, job_a, spec_without_room()) == caller_result::accepted);
    BOOST_REQUIRE(w.submit(1, job_b, spec_without_room()) == caller_result::accepted);
    w.run_for(2s);
    BOOST_REQUIRE(w.pending(0) == 2);
    w.kill_entry(1);
    w.start_entry(1);
    for (int poll = 0; poll < 30; ++poll) {
        w.run_for(100ms);
        BOOST_TEST(w.pending(0) == 2);
    }
}

// Guards against omitting a job from the count once its owner has sent a start that the workers then refuse.
BOOST_AUTO_TEST_CASE(a_job_whose_start_is_refused_is_counted)
{
    flow_simulation w({.workers_per_data_centre = 2});
    w.run_for(3s);
    w.refuse_starts(true);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 1, 10000)) == caller_result::accepted);
    for (int poll = 0; poll < 60; ++poll) {
        w.run_for(100ms);
        BOOST_TEST(w.pending(0) == 1);
        BOOST_TEST(w.pending(1) == 1);
    }
    BOOST_TEST(w.count_running_tasks(job_a) == 0);
    BOOST_TEST((w.state(0, job_a) == flow_state::queued));
}

// Guards against omitting a job from the count while its start waits for a worker that does not answer.
BOOST_AUTO_TEST_CASE(a_job_whose_start_is_not_answered_is_counted)
{
    flow_simulation w({.workers_per_data_centre = 1});
    w.run_for(3s);
    w.worker(0).reachable = false;
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 1, 10000)) == caller_result::accepted);
    for (int poll = 0; poll < 50; ++poll) {
        w.run_for(100ms);
        BOOST_TEST(w.pending(0) == 1);
        BOOST_TEST(w.pending(1) == 1);
    }
}
