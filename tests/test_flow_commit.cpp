// Rows of jobs that several owners write at the same time.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "flow_row_p.h"
#include "support_flow_world.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

void check_no_faults(const flow_world& w)
{
    for (const std::string& fault : w.faults()) {
        BOOST_ERROR(fault);
    }
}

// The first id from `n` on whose row is written together with those of the job.
std::string id_beside(const std::string& job, int n)
{
    std::string id = fmt::format("{:016x}", n);
    while (job_part(job_id(id)) != job_part(job_id(job))) {
        id = fmt::format("{:016x}", ++n);
    }
    return id;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_row_that_others_keep_changing_holds_up_no_other_row)
{
    // The tasks of a job run in many cells, so its row changes all the time. Another job's last task has ended, and for
    // ten seconds and more it is not shown as done, or a task of it that was given away does not arrive: the owner
    // writes rows together, and each such write was refused whole because of the one row that had changed again.
    constexpr duration between_changes = 20ms; // a write takes 16 ms and the table's answer tells the row as it is
    constexpr duration shown_most = 3s;
    flow_world w({.workers_each = 4,
                  .table_latency = std::chrono::milliseconds(16),
                  .run_time = [](const flow_task_id& t) { return duration(200ms + t.index % 11 * 30ms); }});
    w.run_for(2s);
    const std::string changing = "0000000000000001";
    const std::string waiting = id_beside(changing, 2);
    BOOST_REQUIRE(w.submit(0, changing, chain_spec(1, 900, 1500)) == caller_result::accepted);
    BOOST_REQUIRE(w.submit(0, waiting, chain_spec(1, 3, 100)) == caller_result::accepted);
    const instant begun = w.now();
    const auto in_row = [&] { return w.outcome_in_row(waiting) != 0; };
    while (!in_row() && w.now() - begun < shown_most) {
        w.touch_row(changing);
        w.run_for(between_changes);
    }
    BOOST_TEST(w.running_of(changing) > 0);
    BOOST_TEST(in_row());
    BOOST_REQUIRE(w.run_until([&] { return w.state(0, changing) == flow_state::done; }, 60s));
    check_no_faults(w);
}
