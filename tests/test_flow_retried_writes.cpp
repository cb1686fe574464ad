// Tests that a write which an entry finds applied, because its answer was lost or another entry wrote it, has all of
// its effects. The watches that would make up for a lost message are not answered in these tests.
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "flow_row_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";

int owner_of(flow_simulation& w)
{
    for (int i = 0; i < 3; ++i) {
        if (w.entry(i) != nullptr && w.entry(i)->cells().at(cell_id("a"))->owns()) {
            return i;
        }
    }
    BOOST_FAIL("nobody owns the cell");
    return -1;
}

bool writes_cancel(const store_transaction& t)
{
    return std::any_of(t.puts.begin(), t.puts.end(),
                       [](const store_put& put) { return put.key == index_cancel_key(job_id(job_a)); });
}

// Three entries, one of which owns the cell and runs twelve tasks of a job. The watches are lost from then on.
struct running_job {
    flow_simulation w{{.entries_per_data_centre = 3}};
    int owner = -1;
    int first = -1; // the other entries
    int second = -1;

    running_job()
    {
        w.run_for(2s);
        owner = owner_of(w);
        first = (owner + 1) % 3;
        second = (owner + 2) % 3;
        BOOST_REQUIRE(w.submit(first, job_a, lasting_spec(12)) == caller_result::accepted);
        BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 12; }, 3s));
        w.drop_job_watches(true);
        w.run_for(2s); // a watch that was sent before has been answered
    }
    // Returns how many tasks still run after the time that an owner that was told of the cancel needs at most.
    std::int64_t tasks_left()
    {
        w.run_until([&] { return w.count_running_tasks(job_a) == 0; }, 1s);
        return w.count_running_tasks(job_a);
    }
};

} // namespace

// The answer to the write of a cancel is lost, and the entry takes the cancel that it finds at its next try for done.
BOOST_AUTO_TEST_CASE(a_cancel_whose_answer_is_lost_reaches_the_owner)
{
    running_job r;
    r.w.drop_next_answers_to(1, writes_cancel);
    BOOST_TEST((r.w.cancel(r.first, job_a) == caller_result::cancelled));
    BOOST_TEST(r.tasks_left() == 0);
    check_no_violations(r.w);
}

// The entry that wrote a cancel is killed before the answer comes, and the caller repeats the cancel at another one.
BOOST_AUTO_TEST_CASE(a_cancel_that_is_repeated_at_another_entry_reaches_the_owner)
{
    running_job r;
    r.w.drop_next_answers_to(1, writes_cancel);
    r.w.send_cancel(r.first, job_a);
    r.w.run_for(50ms);
    r.w.kill_entry(r.first);
    BOOST_TEST((r.w.cancel(r.second, job_a) == caller_result::cancelled));
    BOOST_TEST(r.tasks_left() == 0);
    check_no_violations(r.w);
}

// A cancel that callers repeat at every entry is taken for a new one by the owner that has carried it out.
BOOST_AUTO_TEST_CASE(a_repeated_cancel_changes_nothing_at_an_owner_that_knows_it)
{
    running_job r;
    BOOST_TEST((r.w.cancel(r.first, job_a) == caller_result::cancelled));
    BOOST_TEST(r.tasks_left() == 0);
    const std::int64_t starts = r.w.count_job_starts(job_a);
    const std::int64_t writes = r.w.count_log_events("job", "cancelled");
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST((r.w.cancel(i, job_a) == caller_result::cancelled));
        r.w.run_for(500ms);
    }
    BOOST_TEST(r.w.count_log_events("job", "cancelled") == writes);
    BOOST_TEST(r.w.count_job_starts(job_a) == starts);
    check_no_violations(r.w);
}
