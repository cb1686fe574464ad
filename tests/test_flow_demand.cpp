// What lasting jobs leave to work that ends: as much as such work was seen to need.
#include <boost/test/unit_test.hpp>

#include "flow_demand_p.h"
#include "flow_limits_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t room = 2'400'000; // thousandths of a processor
const instant begun = instant{} + 100s;

flow_job make_job(bool lasting)
{
    flow_spec spec;
    for (int s = 0; s < 2; ++s) {
        flow_step step;
        step.count = 8;
        step.need.cpu_millis = 3500;
        step.estimate = 2700ms;
        step.lasting = lasting;
        spec.steps.push_back(step);
    }
    wire::flow_job_row row = make_job_row(spec);
    row.cell = "c";
    return {job_id("j"), cell_id("c"), row, row_version(1)};
}

} // namespace

BOOST_AUTO_TEST_CASE(lasting_jobs_leave_what_a_steady_flow_of_rebuilds_needs)
{
    // A fifth of the rebuilds is never done: they ask for a third of all processors, five and a half jobs a second of
    // 151 processor seconds each, and lasting jobs that came before them left a tenth.
    batch_demand demand;
    const double each = batch_cpu_seconds(make_job(false));
    BOOST_TEST(each == 2 * 8 * 3500 * 2.7, boost::test_tools::tolerance(1e-9));
    for (int i = 0; i < 330; ++i) {
        demand.note(begun + i * 182ms, 0ms, each);
    }
    const double reserve = batch_reserve(demand.cpu_millis(begun + 60s, begun, room), room);
    BOOST_TEST(reserve > 0.31);
    BOOST_TEST(reserve < 0.39);
}

BOOST_AUTO_TEST_CASE(where_nothing_ends_lasting_jobs_get_the_room)
{
    // An owner keeps a share free from its first moment, as it can't know yet what comes. It must not refuse watches
    // for ever on behalf of rebuilds that nobody hands in.
    const batch_demand demand;
    BOOST_TEST(batch_reserve(demand.cpu_millis(begun, begun, room), room) == flow_limits::default_demand_share,
               boost::test_tools::tolerance(1e-6));
    BOOST_TEST(batch_reserve(demand.cpu_millis(begun + 60s, begun, room), room) == flow_limits::min_batch_reserve);
    BOOST_TEST(batch_cpu_seconds(make_job(true)) == 0);
}

BOOST_AUTO_TEST_CASE(a_rush_of_work_that_ends_does_not_shut_lasting_jobs_out)
{
    batch_demand demand;
    for (int i = 0; i < 1000; ++i) {
        demand.note(begun, 0ms, 100'000);
    }
    BOOST_TEST(batch_reserve(demand.cpu_millis(begun, begun, room), room) == flow_limits::max_batch_reserve);
    BOOST_TEST(batch_reserve(5, 0) == flow_limits::min_batch_reserve); // no worker is known
}

BOOST_AUTO_TEST_CASE(a_follower_counts_jobs_by_their_age)
{
    // Callers are refused after each takeover: the follower reads the jobs of the last minute at once, and took them
    // for as many that came in within a moment.
    batch_demand seen;
    batch_demand read;
    for (int i = 0; i < 60; ++i) {
        seen.note(begun + i * 1s, 0ms, 100'000);
        read.note(begun + 59s, (59 - i) * 1s, 100'000);
    }
    const auto late = begun + 59s;
    BOOST_TEST(static_cast<double>(read.cpu_millis(late, late - 1h, room)) ==
                   static_cast<double>(seen.cpu_millis(late, late - 1h, room)),
               boost::test_tools::tolerance(1e-3));
    // A clock that is behind the one that accepted the job.
    batch_demand ahead;
    ahead.note(begun, -5s, 100'000);
    BOOST_TEST(ahead.cpu_millis(begun, begun - 1h, room) == 5000);
}
