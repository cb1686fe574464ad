// Tests of jobs whose state does not fit the table's limits in its plain form: on the size of a row, and on the size of
// a transaction.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "flow_row_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string large = "00000000000000aa";

// Returns the ids of `n` jobs whose rows are in the same part of the table as those of the large job.
std::vector<std::string> ids_beside_large(int n)
{
    std::vector<std::string> ids;
    for (int i = 1; static_cast<int>(ids.size()) < n; ++i) {
        const std::string id = fmt::format("{:016x}", 0x1000 + i);
        if (job_part(job_id(id)) == job_part(job_id(large))) {
            ids.push_back(id);
        }
    }
    return ids;
}

flow_spec small_tasks(flow_spec spec)
{
    for (flow_step& step : spec.steps) {
        step.need = {10, 1, 0};
    }
    return spec;
}

// Accepts a large job and then small ones whose rows are in the same part, and checks that all tasks of these run.
void check_others_run(flow_simulation& w)
{
    w.run_for(2s);
    BOOST_REQUIRE(w.submit(0, large, small_tasks(lasting_spec(2'000))) == caller_result::accepted);
    w.run_for(2s);
    const std::vector<std::string> others = ids_beside_large(3);
    for (const std::string& other : others) {
        BOOST_REQUIRE(w.submit(0, other, small_tasks(lasting_spec(4))) == caller_result::accepted);
    }
    w.run_for(3s);
    for (const std::string& other : others) {
        BOOST_TEST(w.count_running_tasks(other) == 4);
    }
    check_no_violations(w);
}

// Options for a site whose workers have room for thousands of small tasks.
flow_simulation::options wide_site()
{
    return {.entries_per_data_centre = 2, .workers_per_data_centre = 6, .worker_cpu_millis = 100'000};
}

} // namespace

// Guards against a job whose row the table refuses for its size and that keeps the other jobs of its part from being
// written: none of them ever starts.
BOOST_AUTO_TEST_CASE(a_row_that_is_too_large_does_not_stop_the_others_of_its_part)
{
    flow_simulation::options site = wide_site();
    site.table_row_bytes = site.bounds.row_bytes = 1'000;
    flow_simulation w(site);
    check_others_run(w);
    BOOST_TEST(w.writes_too_large() == 0);
    BOOST_TEST(w.count_running_tasks(large) > 0);
}

// Guards against the same where the table takes less than the entries were told.
BOOST_AUTO_TEST_CASE(a_row_that_the_table_refuses_for_its_size_does_not_stop_the_others_of_its_part)
{
    flow_simulation::options site = wide_site();
    site.table_row_bytes = 1'000;
    flow_simulation w(site);
    check_others_run(w);
    BOOST_TEST(w.count_log_events("job", "row_too_large") > 0);
    BOOST_TEST(w.writes_too_large() <= 20);
}
