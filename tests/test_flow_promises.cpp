// Tests of the room on workers that is promised to lasting tasks.
#include <boost/test/unit_test.hpp>

#include "flow_promises_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

const flow_task_id first{job_id("00000000000000aa"), 0, 0, 0};
const flow_task_id second{job_id("00000000000000aa"), 0, 0, 1};
const flow_task_id other_step{job_id("00000000000000aa"), 0, 1, 0};
const worker_id one("one");
const worker_id two("two");
constexpr resources small{1000, 100, 0};
constexpr resources large{4000, 700, 1};
const instant early{1s};
const instant late{2s};

} // namespace

// Room is held for a task twice, or for ever, when its promise is replaced, kept or expires.
BOOST_AUTO_TEST_CASE(the_room_on_a_worker_is_the_sum_of_its_promises)
{
    flow_promises promises;
    promises.add(first, {one, small, early});
    promises.add(second, {one, large, late});
    BOOST_TEST((promises.room_on(one) == small + large));
    BOOST_TEST((promises.room_on(one, &first) == large));
    BOOST_TEST((promises.room_on(two) == resources{}));
    promises.add(first, {two, large, early});
    BOOST_TEST((promises.room_on(one) == large));
    BOOST_TEST((promises.room_on(one, &first) == large));
    BOOST_TEST((promises.room_on(two) == large));
    BOOST_TEST(promises.remove_expired(early));
    BOOST_TEST(!promises.remove_expired(early));
    BOOST_TEST((promises.room_on(two) == resources{}));
    BOOST_TEST((promises.room_on(one) == large));
    promises.remove(second);
    BOOST_TEST((promises.room_on(one) == resources{}));
}

// A task's own promise, or one of another step, keeps it from a worker that takes one task of the step.
BOOST_AUTO_TEST_CASE(promises_to_other_tasks_of_the_stage_are_counted)
{
    flow_promises promises;
    promises.add(first, {one, small, late});
    promises.add(other_step, {one, small, late});
    BOOST_TEST(promises.count_others_of_stage(first, one) == 0);
    BOOST_TEST(promises.count_others_of_stage(second, one) == 1);
    BOOST_TEST(promises.count_others_of_stage(second, two) == 0);
    BOOST_TEST(promises.has_any_of_stage(second));
    promises.remove(first);
    BOOST_TEST(!promises.has_any_of_stage(second));
}
