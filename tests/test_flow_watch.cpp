// Tests an owner's watch of the news of jobs on a site that writes more news than one answer of the table holds. The
// answers do not say whether further changes follow.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";

constexpr int busy_site_rows_per_s = 450;              // of news; one answer each watch interval holds 250 a second
constexpr duration max_start_delay = 3s;               // one watch interval, and the start itself
constexpr duration max_cancel_delay = 4s;              // from the answer to the caller to the end of the last task
constexpr duration watched_for[] = {4s, 9s, 16s, 30s}; // how long the site has been busy

int owner_of(flow_simulation& w)
{
    return w.entry(0)->cells().at(cell_id("a"))->owns() ? 0 : 1;
}

// Returns a site that has been busy for `busy` and whose entries no longer receive each other's messages about jobs.
std::unique_ptr<flow_simulation> busy_site(flow_simulation::options o, duration busy)
{
    auto w = std::make_unique<flow_simulation>(std::move(o));
    w->run_for(2s);
    w->write_foreign_news(busy_site_rows_per_s);
    w->run_for(busy);
    return w;
}

// Checks that a job whose message is lost starts within `max_delay` of its acceptance, however long the site was busy.
void check_lost_message_start(const flow_simulation::options& options, duration max_delay)
{
    for (const duration busy : watched_for) {
        BOOST_TEST_CONTEXT("busy for " << busy / 1s << " s")
        {
            const auto w = busy_site(options, busy);
            w->drop_row_messages(true);
            const int other = 1 - owner_of(*w);
            BOOST_REQUIRE(w->submit(other, job_a, chain_spec(1, 4)) == caller_result::accepted);
            const instant accepted = w->now();
            w->run_until([&] { return w->count_job_starts(job_a) == 4; }, 30s);
            BOOST_TEST(w->count_job_starts(job_a) == 4);
            BOOST_TEST((w->now() - accepted) / 1ms <= max_delay / 1ms);
            check_no_violations(*w);
        }
    }
}

} // namespace

// Guards against a job that starts only after many seconds because its message is lost and the owner reads the news
// more slowly than the site writes them.
BOOST_AUTO_TEST_CASE(a_job_whose_message_is_lost_starts_soon_on_a_busy_site)
{
    check_lost_message_start({}, max_start_delay);
}

// Guards against tasks that run on after the cancel of their job because its message is lost and the owner reads the
// news more slowly than the site writes them.
BOOST_AUTO_TEST_CASE(a_cancel_whose_message_is_lost_stops_its_tasks_on_a_busy_site)
{
    for (const duration busy : watched_for) {
        BOOST_TEST_CONTEXT("busy for " << busy / 1s << " s")
        {
            const auto w = busy_site({.run_time = [](const flow_task_id&) { return duration(60s); }}, busy);
            const int other = 1 - owner_of(*w);
            BOOST_REQUIRE(w->submit(other, job_a, chain_spec(1, 4)) == caller_result::accepted);
            BOOST_REQUIRE(w->run_until([&] { return w->count_running_tasks(job_a) == 4; }, 3s));
            w->drop_row_messages(true);
            BOOST_REQUIRE(w->cancel(other, job_a) == caller_result::cancelled);
            const instant cancelled = w->now();
            w->run_until([&] { return w->count_running_tasks(job_a) == 0; }, 30s);
            BOOST_TEST(w->count_running_tasks(job_a) == 0);
            BOOST_TEST((w->now() - cancelled) / 1ms <= max_cancel_delay / 1ms);
            check_no_violations(*w);
        }
    }
}

// Guards against an owner that falls ever further behind because its link carries the news of the site more slowly than
// they are written.
BOOST_AUTO_TEST_CASE(a_job_whose_message_is_lost_starts_though_the_link_is_too_narrow_for_the_news)
{
    constexpr duration max_start_delay_narrow = 5s; // a round that is given up, its last answer, and the owner's rows
    check_lost_message_start({.news_row_transfer_time = 3ms}, max_start_delay_narrow);
}

// Guards against an owner that falls behind unseen.
BOOST_AUTO_TEST_CASE(an_owner_that_falls_behind_says_so)
{
    const auto wide = busy_site({}, 20s);
    BOOST_TEST(wide->entry(owner_of(*wide))->stats().news_behind_ms < 3000);
    BOOST_TEST(wide->count_log_events("table", "news_behind") == 0);
    const auto narrow = busy_site({.news_row_transfer_time = 10ms}, 20s);
    const flow_entry& owner = *narrow->entry(owner_of(*narrow));
    BOOST_TEST(narrow->run_until([&] { return owner.stats().news_behind_ms > 4000; }, 10s));
    BOOST_TEST(narrow->count_log_events("table", "news_behind") >= 1);
    BOOST_TEST(narrow->count_log_events("table", "news_behind") <= 15); // one each 2 s
}

// Guards against an owner that reads the news of a busy site without pause, since further rows are written during each
// read.
BOOST_AUTO_TEST_CASE(an_owner_reads_a_busy_site_in_few_calls)
{
    const auto w = busy_site({}, 4s);
    const int owner = owner_of(*w);
    const std::int64_t calls_before = w->job_watch_count(owner);
    const std::int64_t rows_before = w->job_watch_rows(owner);
    w->run_for(20s);
    const std::int64_t rounds = 10;
    BOOST_TEST(w->job_watch_count(owner) - calls_before <= 4 * rounds);
    BOOST_TEST(w->job_watch_rows(owner) - rows_before >= 18 * busy_site_rows_per_s);
    check_no_violations(*w);
}
