// Bounds on what callers may cost an entry and the owners of cells.
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

std::string number_job(int number)
{
    return fmt::format("{:016x}", number);
}

} // namespace

// Guards against requests that wait for a slow table and together take all memory: one more ends unanswered.
BOOST_AUTO_TEST_CASE(requests_that_wait_for_the_table_stay_within_their_room)
{
    caller_bounds bounds;
    bounds.shares.waiting_bytes = 10 * 64 * 1024;
    flow_simulation w({.entries_per_data_centre = 1, .bounds = bounds});
    w.run_for(3s);
    w.set_table_latency(500ms);
    for (int i = 0; i < 40; ++i) {
        w.send_submit(0, number_job(i), chain_spec(1, 1, 1000));
    }
    w.run_for(5s);
    int accepted = 0;
    int dropped = 0;
    for (const auto& [job, answers] : w.answers()) {
        BOOST_REQUIRE(answers.size() == 1U);
        accepted += answers.front() == caller_result::accepted ? 1 : 0;
        dropped += answers.front() == caller_result::dropped ? 1 : 0;
    }
    BOOST_TEST(accepted >= 10);
    BOOST_TEST(accepted + dropped == 40);
    BOOST_TEST(dropped >= 10);
    w.set_table_latency(8ms);
    w.run_for(2s);
    BOOST_TEST((w.submit(0, number_job(100), chain_spec(1, 1, 1000)) == caller_result::accepted));
    check_no_violations(w);
}

// Guards against accepted jobs that nobody owns for seconds and that together take all memory of the entry which keeps
// their rows for their owner.
BOOST_AUTO_TEST_CASE(rows_that_wait_for_their_owner_leave_less_room_for_requests)
{
    caller_bounds bounds;
    bounds.shares.waiting_bytes = 1 << 20;
    flow_simulation w({.entries_per_data_centre = 2, .bounds = bounds});
    w.run_for(3s);
    const int owner = w.entry(0)->cells().at(cell_id("a"))->owns() ? 0 : 1;
    const int other = 1 - owner;
    flow_spec spec = chain_spec(1, 1, 1000);
    spec.payload = std::string(4000, 'x');
    w.drop_row_messages(true);
    int dropped = 0;
    for (int i = 0; i < 200; ++i) {
        dropped += w.submit(other, number_job(i), spec) == caller_result::dropped ? 1 : 0;
    }
    BOOST_TEST(dropped > 0);
    BOOST_TEST(dropped < 150);
    w.drop_row_messages(false);
    w.run_for(5s);
    BOOST_TEST((w.submit(other, number_job(1000), spec) == caller_result::accepted));
    check_no_violations(w);
}

// Guards against an entry that grows with every job that it has accepted; what it forgot is read again.
BOOST_AUTO_TEST_CASE(a_job_that_was_forgotten_is_read_when_it_is_asked_for)
{
    caller_bounds bounds;
    bounds.shares.remembered_jobs = 4;
    flow_simulation w({.entries_per_data_centre = 1, .bounds = bounds});
    w.run_for(3s);
    for (int i = 0; i < 20; ++i) {
        BOOST_REQUIRE((w.submit(0, number_job(i), chain_spec(1, 1, 1000)) == caller_result::accepted));
    }
    w.run_for(10s);
    const std::int64_t reads = w.entry(0)->stats().state_reads;
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST((w.state(0, number_job(i)) == flow_state::done));
    }
    BOOST_TEST(w.entry(0)->stats().state_reads - reads >= 16);
    BOOST_TEST((w.submit(0, number_job(0), chain_spec(1, 1, 1000)) == caller_result::accepted));
    BOOST_TEST(w.entry(0)->stats().repeated == 1);
    check_no_violations(w);
}

// Guards against a short request whose tasks take more memory than any owner has.
BOOST_AUTO_TEST_CASE(a_job_of_too_many_tasks_is_refused_for_good)
{
    flow_simulation w({.entries_per_data_centre = 1});
    w.run_for(3s);
    BOOST_TEST((w.submit(0, number_job(1), chain_spec(40, 4096, 100)) == caller_result::invalid));
    BOOST_TEST((w.submit(0, number_job(2), chain_spec(1, 4096, 100)) == caller_result::accepted));
}

// Guards against jobs that are accepted beyond what their owner can hold, also by an entry that is not the owner. Each
// entry knows what it has sent itself since the owner's last hello.
BOOST_AUTO_TEST_CASE(jobs_that_no_owner_can_hold_are_refused_until_others_have_ended)
{
    caller_bounds bounds;
    constexpr int jobs_most = 5; // of 400 tasks each
    bounds.shares.job_bytes = 1 << 20;
    flow_simulation w({.entries_per_data_centre = 2, .bounds = bounds});
    w.run_for(3s);
    const int owner = w.entry(0)->cells().at(cell_id("a"))->owns() ? 0 : 1;
    const int other = 1 - owner;
    int accepted = 0;
    for (int i = 0; i < 20; ++i) {
        accepted +=
            w.submit(i % 2 == 0 ? other : owner, number_job(i), chain_spec(1, 400, 1000)) == caller_result::accepted
                ? 1
                : 0;
    }
    BOOST_TEST(accepted >= jobs_most - 1);
    BOOST_TEST(accepted <= 2 * jobs_most);
    w.run_for(60s);
    BOOST_TEST((w.submit(other, number_job(101), chain_spec(1, 400, 1000)) == caller_result::accepted));
    check_no_violations(w);
}

// Guards against "come again" for a job whose row the table never takes.
BOOST_AUTO_TEST_CASE(a_job_that_no_row_holds_is_refused_before_it_is_written)
{
    caller_bounds bounds;
    bounds.row_bytes = 2000;
    flow_simulation w({.entries_per_data_centre = 1, .bounds = bounds});
    w.run_for(3s);
    flow_spec spec = chain_spec(1, 1, 1000);
    spec.payload = std::string(2000, 'x');
    BOOST_TEST((w.submit(0, number_job(1), spec) == caller_result::invalid));
    spec.payload.resize(1000);
    BOOST_TEST((w.submit(0, number_job(1), spec) == caller_result::accepted));
}
