#include <boost/test/unit_test.hpp>

#include "support_cell_hand.h"

using namespace skylarkhub;
using namespace skylarkhub::hand;

BOOST_AUTO_TEST_CASE(a_new_cell_is_taken_and_its_work_started_finished_and_forgotten)
{
    driver d;
    d.own({"w1"}, {submit(make_job("j", 1))});
    BOOST_TEST((d.c.role() == cell_role::owning));
    const auto starts = d.told<task_start>("w1");
    BOOST_REQUIRE_EQUAL(starts.size(), 1U);
    BOOST_TEST(starts[0].attempt.value() == (1 << 20) + 1);

    d.answered("w1", {.tasks = {report_task(starts[0])}});
    BOOST_TEST(d.c.jobs().at(0).running == 1);
    d.tick(2s);
    BOOST_TEST(d.told<task_renew>("w1").size() == 1U);
    d.answered("w1", {.tasks = {report_task(starts[0], task_state::finished)}});
    BOOST_TEST(d.c.jobs().at(0).finished == 1);

    // Ended, yet the worker is told to forget it only after the outcome has been written.
    d.applied();
    d.tick(2s);
    BOOST_TEST(d.told<task_forget>("w1").empty());
    d.answered("w1", {.tasks = {report_task(starts[0], task_state::finished)}});
    d.applied();
    d.tick(2s);
    BOOST_TEST(d.told<task_forget>("w1").size() == 1U);
}
