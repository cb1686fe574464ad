#include <boost/test/unit_test.hpp>

#include "place_p.h"

using namespace skylarkhub;

namespace {

constexpr instant start{};

place_task queued(const char* job, const job_spec& spec)
{
    place_task task;
    task.task = {job_id(job), 0};
    task.spec = &spec;
    return task;
}

place_worker free_worker(const char* name)
{
    return {worker_id(name), rack_id("r1"), {4000, 8000, 0}, {}, true};
}

} // namespace

BOOST_AUTO_TEST_CASE(no_worker_is_committed_beyond_its_capacity)
{
    job_spec spec;
    spec.declared = {3000, 1000, 0};
    placement place({});
    const place_plan plan = place.plan(start, {queued("a", spec), queued("b", spec), queued("c", spec)},
                                       {free_worker("w1"), free_worker("w2")});
    BOOST_REQUIRE(plan.starts.size() == 2);
    BOOST_TEST(plan.starts[0].worker != plan.starts[1].worker);
}

// A declared size that no worker of the cell has would wait for ever; the job is parked at once with the reason.
BOOST_AUTO_TEST_CASE(a_job_larger_than_every_worker_is_parked)
{
    job_spec spec;
    spec.declared = {4001, 0, 0};
    placement place({});
    const place_plan plan = place.plan(start, {queued("a", spec)}, {free_worker("w1")});
    BOOST_TEST(plan.starts.empty());
    BOOST_REQUIRE(plan.parks.size() == 1);
    BOOST_TEST(!plan.parks[0].reason.empty());
}

// An unfenced or leaving worker may refuse or lose what it is given; nothing is started there.
BOOST_AUTO_TEST_CASE(an_unusable_worker_gets_nothing)
{
    job_spec spec;
    spec.declared = {1000, 1000, 0};
    place_worker leaving = free_worker("w1");
    leaving.usable = false;
    placement place({});
    BOOST_TEST(place.plan(start, {queued("a", spec)}, {leaving}).starts.empty());
}
