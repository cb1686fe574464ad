// The share of processors that lasting jobs leave free for batch work, by the measured demand of batch jobs.
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

BOOST_AUTO_TEST_CASE(the_reserve_covers_a_steady_demand_of_batch_jobs)
{
    // Batch jobs arrive at 5.5 a second with 151 processor seconds each, a third of all processors. If earlier lasting
    // jobs left only a tenth free, a fifth of the batch jobs would never be done.
    batch_demand demand;
    const double job_cpu_seconds = batch_cpu_seconds(make_job(false));
    BOOST_TEST(job_cpu_seconds == 2 * 8 * 3500 * 2.7, boost::test_tools::tolerance(1e-9));
    for (int i = 0; i < 330; ++i) {
        demand.note(begun + i * 182ms, 0ms, job_cpu_seconds);
    }
    const double reserve = batch_reserve(demand.cpu_millis(begun + 60s, begun, room), room);
    BOOST_TEST(reserve > 0.31);
    BOOST_TEST(reserve < 0.39);
}

BOOST_AUTO_TEST_CASE(without_batch_jobs_the_reserve_falls_to_its_minimum)
{
    // A new owner keeps a default share free, since it does not know the demand yet. It must not refuse lasting jobs
    // for ever in favour of batch jobs that are never submitted.
    const batch_demand demand;
    BOOST_TEST(batch_reserve(demand.cpu_millis(begun, begun, room), room) == flow_limits::default_demand_share,
               boost::test_tools::tolerance(1e-6));
    BOOST_TEST(batch_reserve(demand.cpu_millis(begun + 60s, begun, room), room) == flow_limits::min_batch_reserve);
    BOOST_TEST(batch_cpu_seconds(make_job(true)) == 0);
}

BOOST_AUTO_TEST_CASE(a_burst_of_batch_jobs_does_not_exceed_the_largest_reserve)
{
    batch_demand demand;
    for (int i = 0; i < 1000; ++i) {
        demand.note(begun, 0ms, 100'000);
    }
    BOOST_TEST(batch_reserve(demand.cpu_millis(begun, begun, room), room) == flow_limits::max_batch_reserve);
    BOOST_TEST(batch_reserve(5, 0) == flow_limits::min_batch_reserve); // no known worker
}

BOOST_AUTO_TEST_CASE(a_new_owner_counts_jobs_by_their_age)
{
    // A new owner of a cell reads the jobs of the last minute at once. If it counted them as jobs that arrived at that
    // moment, it would overestimate the demand and refuse callers after each change of owner.
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
    // A job from the future, since this clock is behind that of the process which accepted the job.
    batch_demand ahead;
    ahead.note(begun, -5s, 100'000);
    BOOST_TEST(ahead.cpu_millis(begun, begun - 1h, room) == 5000);
}
