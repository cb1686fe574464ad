#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

#include "burn_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

const service_id pages("news/pages");
const team_id news("news");

double objective(const service_id&)
{
    return 0.99;
}

void record_many(burn_recorder& recorder, instant at, int count, service_outcome outcome, duration latency)
{
    for (int i = 0; i < count; ++i) {
        recorder.record(at, pages, news, outcome, latency, 100ms);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(refused_unknown_and_late_requests_use_up_the_budget_and_are_told_apart)
{
    burn_recorder recorder;
    const instant now(10h);
    record_many(recorder, now, 96, service_outcome::done, 50ms);
    record_many(recorder, now, 1, service_outcome::done, 150ms);
    record_many(recorder, now, 1, service_outcome::refused, 1ms);
    record_many(recorder, now, 2, service_outcome::unknown, 1s);
    const burn_report report = recorder.report(now, objective);
    BOOST_REQUIRE(report.services.size() == 1U);
    const burn_counts& counts = report.services[0].windows[0];
    BOOST_TEST(counts.done == 97);
    BOOST_TEST(counts.late == 1);
    BOOST_TEST(counts.refused == 1);
    BOOST_TEST(counts.unknown == 2);
    BOOST_TEST(*burn_rate(counts, 0.99) == 4.0, boost::test_tools::tolerance(1e-9));
}

// A burst that is over must not keep an alert up, and a short one that does not matter must not raise it: the short and
// the long window both have to burn.
BOOST_AUTO_TEST_CASE(an_alert_needs_a_short_and_a_long_window)
{
    burn_recorder recorder;
    const instant start(10h);
    record_many(recorder, start, 10000, service_outcome::done, 10ms);
    record_many(recorder, start + 50min, 100, service_outcome::refused, 1ms);
    BOOST_TEST(standing_alerts(recorder.report(start + 50min, objective).services[0]).empty());
    record_many(recorder, start + 51min, 4000, service_outcome::refused, 1ms);
    const auto alerts = standing_alerts(recorder.report(start + 51min, objective).services[0]);
    BOOST_TEST((std::find(alerts.begin(), alerts.end(), "fast_burn") != alerts.end()));
    record_many(recorder, start + 58min, 1000, service_outcome::done, 10ms);
    const auto later = standing_alerts(recorder.report(start + 58min, objective).services[0]);
    BOOST_TEST((std::find(later.begin(), later.end(), "fast_burn") == later.end()));
}

BOOST_AUTO_TEST_CASE(a_window_forgets_and_an_idle_service_goes)
{
    burn_recorder recorder;
    const instant start(10h);
    record_many(recorder, start, 10, service_outcome::done, 10ms);
    const auto after = recorder.report(start + 7min, objective).services[0];
    BOOST_TEST(after.windows[0].total() == 0);
    BOOST_TEST(after.windows[1].total() == 10);
    BOOST_TEST(recorder.report(start + 8h, objective).services.empty());
}

// Two entries answer different shares at different speeds. The percentile of all must come out as if one entry had
// counted everything; the mean of the two percentiles would be far off.
BOOST_AUTO_TEST_CASE(percentiles_of_a_merge_are_those_of_all_requests)
{
    std::mt19937 random(7);
    std::lognormal_distribution<double> fast(9, 0.3);
    std::lognormal_distribution<double> slow(12, 0.5);
    burn_recorder one;
    burn_recorder two;
    std::vector<double> all;
    const instant now(1h);
    for (int i = 0; i < 2000; ++i) {
        const bool is_fast = i % 10 != 0;
        const double micros = is_fast ? fast(random) : slow(random);
        all.push_back(micros);
        (is_fast ? one : two).record(now, pages, news, service_outcome::done, duration(std::llround(micros)), 0us);
    }
    burn_report merged = one.report(now, objective);
    merge_report(merged, two.report(now, objective));
    BOOST_REQUIRE(merged.services.size() == 1U);
    std::sort(all.begin(), all.end());
    for (const double p : {0.5, 0.9, 0.99}) {
        const double exact = all[static_cast<std::size_t>(p * static_cast<double>(all.size())) - 1];
        const auto found = static_cast<double>(merged.services[0].latency.percentile(p)->count());
        BOOST_TEST(found == exact, boost::test_tools::tolerance(0.06));
    }
}

// A data centre is cut off while a report is made. What its entries counted is not in it, and the report must say so
// rather than look whole.
BOOST_AUTO_TEST_CASE(a_report_names_the_entries_that_are_missing_from_it)
{
    burn_recorder recorder;
    recorder.add_batch(news, {5, 3, 1, 0, 2, 12.5});
    recorder.add_watches(news, {4, 3, 1});
    record_many(recorder, instant(1h), 3, service_outcome::done, 10ms);
    burn_report report = recorder.report(instant(1h), objective);
    report.sources.push_back({"e1", "a", wall_time(1s), wall_time(2s), false, ""});
    burn_report absent;
    absent.sources.push_back({"e2", "b", {}, wall_time(2s), true, "no answer"});
    merge_report(report, absent);

    const nlohmann::json json = format_report(report);
    BOOST_TEST(!json["complete"].get<bool>());
    std::string reason;
    const auto back = parse_report(json.dump(), &reason);
    BOOST_REQUIRE_MESSAGE(back.has_value(), reason);
    BOOST_TEST(format_report(*back).dump() == json.dump());
    BOOST_TEST(back->sources[1].missing);
    BOOST_TEST(back->batch.at("news").evictions == 2);
    BOOST_TEST(!parse_report("{}", &reason).has_value());
}
