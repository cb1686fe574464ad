// Tests compute_urgency(): the order in which jobs with waiting tasks get workers.
#include <boost/test/unit_test.hpp>

#include "flow_urgency_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t start_ms = 1'700'000'000'000;

wall_time at_ms(std::int64_t ms)
{
    return wall_time(std::chrono::milliseconds(start_ms + ms));
}

flow_queue make_queue()
{
    flow_queue queue;
    queue.priority = 2;
    queue.slack_factor = 2;
    queue.latency_target = 1s;
    return queue;
}

flow_job make_job(const char* id, std::int64_t accepted_ms, duration step_time, bool filling)
{
    flow_spec spec;
    for (int s = 0; s < 2; ++s) {
        flow_step step;
        step.count = 2;
        step.estimate = step_time;
        step.filling = filling;
        if (s == 1) {
            step.after = {0};
        }
        spec.steps.push_back(step);
    }
    wire::flow_job_row row = make_job_row(spec);
    row.cell = "c";
    row.accepted_ms = start_ms + accepted_ms;
    row.priority = 2;
    return {job_id(id), cell_id("c"), row, row_version(1)};
}

} // namespace

// Guards against an order of filling (deferrable) work by acceptance instead of by due time.
BOOST_AUTO_TEST_CASE(filling_work_that_is_due_first_goes_first)
{
    const flow_queue queue = make_queue();
    const flow_job wide = make_job("a", 0, 4s, true);
    const flow_job small = make_job("b", 1000, 1s, true);
    BOOST_TEST((compute_urgency(small, &queue, at_ms(1000)) < compute_urgency(wide, &queue, at_ms(1000))));
}

BOOST_AUTO_TEST_CASE(what_cannot_be_in_time_any_more_goes_after_what_can)
{
    // When jobs arrive faster than they can be completed, serving them in order of acceptance makes every one of them
    // late. A job that is late already loses nothing by waiting a few seconds more.
    const flow_queue queue = make_queue();
    const flow_job old = make_job("a", 0, 1s, true);      // due at 5 s
    const flow_job young = make_job("b", 2500, 1s, true); // due at 7.5 s
    BOOST_TEST((compute_urgency(old, &queue, at_ms(2500)) < compute_urgency(young, &queue, at_ms(2500))));
    BOOST_TEST(compute_urgency(old, &queue, at_ms(4000)).late);
    BOOST_TEST((compute_urgency(young, &queue, at_ms(4000)) < compute_urgency(old, &queue, at_ms(4000))));
}

// Guards against counting completed steps in the remaining time of a job, which would make it late too early.
BOOST_AUTO_TEST_CASE(a_step_that_is_done_is_not_waited_for_again)
{
    const flow_queue queue = make_queue();
    flow_job job = make_job("a", 0, 2s, true); // due at 9 s
    BOOST_TEST((remaining_critical_path(job) == duration(4s)));
    BOOST_TEST(compute_urgency(job, &queue, at_ms(6000)).late);
    job.note_done({job_id("a"), 0, 0, 0});
    job.note_done({job_id("a"), 0, 0, 1});
    BOOST_TEST((remaining_critical_path(job) == duration(2s)));
    BOOST_TEST(!compute_urgency(job, &queue, at_ms(6000)).late);
}

// Guards against ordering work that is not filling by due time, and against ignoring the queue's priority.
BOOST_AUTO_TEST_CASE(other_work_keeps_the_order_of_acceptance_and_priority_goes_first)
{
    flow_queue queue = make_queue();
    const flow_job first = make_job("a", 0, 4s, false);
    const flow_job second = make_job("b", 1000, 1s, false);
    BOOST_TEST((compute_urgency(first, &queue, at_ms(90'000)) < compute_urgency(second, &queue, at_ms(90'000))));
    const flow_job filling = make_job("c", 0, 1s, true);
    flow_queue urgent = queue;
    urgent.priority = 0;
    BOOST_TEST((compute_urgency(second, &urgent, at_ms(90'000)) < compute_urgency(filling, &queue, at_ms(1000))));
}
