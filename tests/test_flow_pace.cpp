// Tests, in simulated time, of the paces that filling tasks are given beside serving tasks.
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "flow_limits_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string serving_job = "00000000000000aa";
const std::string filling_job = "00000000000000bb";
constexpr duration tail_target = 20ms;
constexpr std::int64_t tail_over_target_ms = 100;
constexpr int filling_tasks = 6;

flow_spec serving_spec()
{
    flow_spec spec = lasting_spec(1);
    spec.steps.front().image = "serving";
    spec.steps.front().tail_target = tail_target;
    return spec;
}

flow_spec filling_spec()
{
    flow_spec spec = chain_spec(1, filling_tasks);
    spec.steps.front().image = "filling";
    spec.steps.front().filling = true;
    return spec;
}

} // namespace

// Of filling tasks that are started together, those whose start arrives after the pace of the others run at full pace
// beside a serving task that is over its target.
BOOST_AUTO_TEST_CASE(a_run_whose_start_arrives_late_gets_its_pace)
{
    flow_simulation::options options;
    options.entries_per_data_centre = 1;
    options.workers_per_data_centre = 1;
    options.workers_keep_their_id = true; // so that starts wait for a connection to the known life
    options.run_time = [](const flow_task_id&) { return duration(60s); };
    options.measure = [](const flow_task_id& task) {
        return task.job == job_id(serving_job) ? tail_over_target_ms : std::int64_t{0};
    };
    flow_simulation w(std::move(options));
    w.run_for(4s);
    BOOST_REQUIRE((w.submit(0, serving_job, serving_spec()) == caller_result::accepted));
    w.run_for(3s);
    BOOST_REQUIRE((w.submit(0, filling_job, filling_spec()) == caller_result::accepted));
    const auto all_run = [&] { return w.count_running_tasks(filling_job) == filling_tasks; };
    BOOST_REQUIRE(w.run_until(all_run, flow_limits::fill_interference_wait + 3s));
    w.run_for(3s);
    for (const auto& [task, run] : w.worker(0).running) {
        BOOST_TEST((task.job == job_id(serving_job) || run.percent == 0));
    }
    check_no_violations(w);
}
