// Tests the text of an entry's metrics page: histogram buckets, labels and counters.
#include <boost/test/unit_test.hpp>

#include "flow_metrics_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

bool has_line(const std::string& page, const std::string& line)
{
    return page.find(line + "\n") != std::string::npos;
}

} // namespace

// Guards against histogram buckets that are not cumulative, and against losing values outside all buckets.
BOOST_AUTO_TEST_CASE(buckets_count_everything_up_to_their_end)
{
    latency_buckets counts;
    counts.add(3ms);
    counts.add(5ms);
    counts.add(200ms);
    counts.add(90s);   // beyond the last bucket
    counts.add(-20ms); // negative wait, after the wall clock was set back
    std::string page;
    counts.write(page, "wait_seconds", "cell=\"a\"");
    BOOST_TEST(has_line(page, "skylarkhub_wait_seconds_bucket{cell=\"a\",le=\"0.005\"} 3"));
    BOOST_TEST(has_line(page, "skylarkhub_wait_seconds_bucket{cell=\"a\",le=\"0.25\"} 4"));
    BOOST_TEST(has_line(page, "skylarkhub_wait_seconds_bucket{cell=\"a\",le=\"60\"} 4"));
    BOOST_TEST(has_line(page, "skylarkhub_wait_seconds_bucket{cell=\"a\",le=\"+Inf\"} 5"));
    BOOST_TEST(has_line(page, "skylarkhub_wait_seconds_count{cell=\"a\"} 5"));
    BOOST_TEST(has_line(page, "skylarkhub_wait_seconds_sum{cell=\"a\"} 90.208000"));
}

// Guards against `{}` after metric names that have no labels.
BOOST_AUTO_TEST_CASE(a_page_without_labels_has_no_empty_braces)
{
    std::string page;
    flow_entry_stats stats;
    stats.refused = 2;
    stats.news_behind_ms = 2500;
    stats.evacuated_data_centres = 2;
    stats.evacuations_age_ms = 700;
    stats.worker_list_age_ms = 800;
    stats.worker_lists_from_peers = 9;
    stats.accept_times.add(10ms);
    write_stats(page, stats);
    BOOST_TEST(has_line(page, "skylarkhub_jobs_refused_total 2"));
    BOOST_TEST(has_line(page, "skylarkhub_evacuated_data_centres 2"));
    BOOST_TEST(has_line(page, "skylarkhub_evacuations_age_ms 700"));
    BOOST_TEST(has_line(page, "skylarkhub_worker_list_age_ms 800"));
    BOOST_TEST(has_line(page, "skylarkhub_worker_lists_from_peers_total 9"));
    BOOST_TEST(has_line(page, "skylarkhub_job_news_behind_ms 2500"));
    BOOST_TEST(has_line(page, "skylarkhub_accept_seconds_bucket{le=\"0.01\"} 1"));
    BOOST_TEST(has_line(page, "skylarkhub_accept_seconds_count 1"));
    BOOST_TEST(page.find("{}") == std::string::npos);
}

// Guards against mixing the waits of different kinds of tasks in one histogram.
BOOST_AUTO_TEST_CASE(waits_are_told_by_kind_of_task)
{
    std::string page;
    flow_cell_stats stats;
    stats.waits[static_cast<std::size_t>(task_kind::filling)].add(2s);
    stats.lapsed = 3;
    write_stats(page, "kgn-a", stats);
    BOOST_TEST(has_line(page, "skylarkhub_task_wait_seconds_count{cell=\"kgn-a\",kind=\"filling\"} 1"));
    BOOST_TEST(has_line(page, "skylarkhub_task_wait_seconds_count{cell=\"kgn-a\",kind=\"short\"} 0"));
    BOOST_TEST(has_line(page, "skylarkhub_runs_ended_total{cell=\"kgn-a\",how=\"lapsed\"} 3"));
}
