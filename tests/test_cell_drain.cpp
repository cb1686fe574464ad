// Services on workers that leave, on the product's own path; driven by hand in virtual time.
#include <boost/test/unit_test.hpp>

#include "support_cell_hand.h"

using namespace skylarkhub;
using namespace skylarkhub::hand;

namespace {

constexpr duration down_most = 9s; // that a lasting task may be down
constexpr duration step = 50ms;
constexpr std::int64_t whole_worker = 4000; // thousandths of a processor

table_row submit_service(const std::string& id, std::int64_t cpu = whole_worker)
{
    wire::job_row job = make_job(id, 1, cpu);
    job.spec.__set_is_service(true);
    return submit(job);
}

// The worker that runs the service; empty while it is down.
std::string home_of(driver& d, const std::string& service)
{
    for (auto& [name, worker] : d.workers) {
        const task_report* const task = worker.find({job_id(service), 0});
        if (task != nullptr && task->state == task_state::running) {
            return name;
        }
    }
    return "";
}

// The longest time for which the service is down.
duration longest_down(driver& d, const std::string& service, duration length)
{
    duration longest{0};
    duration down{0};
    for (const instant end = d.now + length; d.now < end;) {
        d.tick(step);
        down = home_of(d, service).empty() ? down + step : duration(0);
        longest = std::max(longest, down);
    }
    return longest;
}

} // namespace

// A service on a leaving worker was stopped although no other worker had room for it.
BOOST_AUTO_TEST_CASE(a_service_stays_on_its_leaving_worker_until_another_has_room)
{
    driver d;
    d.own({"w1", "w2"}, {submit_service("news"), submit_service("mail")});
    const std::string home = home_of(d, "news");
    BOOST_REQUIRE(!home.empty());
    BOOST_REQUIRE(!home_of(d, "mail").empty());
    d.workers[home].leaving = true;
    BOOST_TEST(longest_down(d, "news", 20s) == duration(0));
    BOOST_TEST(d.workers[home].told<task_stop>().empty());
    d.hand_in({cancel("mail")});
    BOOST_TEST(longest_down(d, "news", 20s) <= down_most);
    BOOST_TEST(home_of(d, "news") == (home == "w1" ? "w2" : "w1"));
}

// Entries took a service that runs on a leaving worker out of use although it had no other place.
BOOST_AUTO_TEST_CASE(a_service_that_stays_on_its_leaving_worker_is_used)
{
    driver d;
    d.own({"w1"}, {submit_service("news")});
    d.workers["w1"].find({job_id("news"), 0})->address = net_address("127.0.0.1:80");
    d.workers["w1"].leaving = true;
    d.run(10s);
    BOOST_REQUIRE_EQUAL(d.c.targets().size(), 1U);
    BOOST_TEST(!d.c.targets().at(0).leaving);
}

// The place for which a service was stopped went to work that came meanwhile.
BOOST_AUTO_TEST_CASE(the_place_of_a_service_that_moves_goes_to_no_other)
{
    driver d;
    d.own({"w1"}, {submit_service("news")});
    d.list({"w1", "w2"});
    d.run(1s);
    d.workers["w1"].leaving = true;
    d.run(1s);
    d.hand_in({submit_service("mail"), submit(make_job("crawl", 4))});
    BOOST_TEST(longest_down(d, "news", 20s) <= down_most);
    BOOST_TEST(home_of(d, "news") == "w2");
    BOOST_TEST(home_of(d, "mail").empty());
}

// Two services were stopped for one place.
BOOST_AUTO_TEST_CASE(one_place_is_counted_on_for_one_service)
{
    driver d;
    d.own({"w1", "w2"}, {submit_service("news"), submit_service("mail")});
    d.list({"w1", "w2", "w3"});
    d.run(1s);
    d.workers["w1"].leaving = true;
    d.workers["w2"].leaving = true;
    for (const instant end = d.now + 20s; d.now < end;) {
        d.tick(step);
        BOOST_REQUIRE(!home_of(d, "news").empty() || !home_of(d, "mail").empty());
    }
    BOOST_TEST(!home_of(d, "news").empty());
    BOOST_TEST(!home_of(d, "mail").empty());
    BOOST_TEST((home_of(d, "news") == "w3" || home_of(d, "mail") == "w3"));
}

// A service was stopped before the short work had gone that was to make room for it.
BOOST_AUTO_TEST_CASE(a_service_runs_on_while_room_is_made_for_it)
{
    driver d;
    d.own({"w1"}, {submit_service("news")});
    d.list({"w1", "w2"});
    d.run(1s);
    d.hand_in({submit(make_job("crawl", 4))});
    BOOST_REQUIRE_EQUAL(d.workers["w2"].tasks.size(), 4U);
    d.workers["w1"].leaving = true;
    while (d.workers["w1"].told<task_stop>().empty()) {
        BOOST_REQUIRE(d.now < instant(1100s));
        d.tick(step);
        const bool full = std::any_of(d.workers["w2"].tasks.begin(), d.workers["w2"].tasks.end(),
                                      [](const task_report& task) { return task.state == task_state::running; });
        BOOST_REQUIRE((!full || !home_of(d, "news").empty()));
    }
    BOOST_TEST(longest_down(d, "news", 20s) <= down_most);
    BOOST_TEST(home_of(d, "news") == "w2");
}

// Work beside it grew into the place for which a service was stopped.
BOOST_AUTO_TEST_CASE(nothing_grows_into_the_place_of_a_service_that_moves)
{
    driver d;
    d.own({"w1"}, {submit_service("news", 3000)});
    d.workers["w2"].capacity = {5000, 8000, 0};
    d.list({"w1", "w2"});
    d.run(1s);
    d.hand_in({submit_service("mail", 2000)});
    BOOST_REQUIRE(home_of(d, "mail") == "w2");
    d.workers["w1"].leaving = true;
    d.run(1s);
    d.workers["w2"].tasks.at(0).used = {5000, 100, 0};
    BOOST_TEST(longest_down(d, "news", 20s) <= down_most);
    BOOST_TEST(home_of(d, "news") == "w2");
}

// A service was stopped where its team's quota, lowered since, let it start nowhere.
BOOST_AUTO_TEST_CASE(a_service_beyond_its_quota_stays_on_its_leaving_worker)
{
    driver d;
    d.own({"w1"}, {submit_service("news")});
    cell_settings settings;
    settings.teams = {{team_id("t"), 1, {whole_worker - 1, 0, 0}}};
    d.c.change_settings(settings);
    d.list({"w1", "w2"});
    d.run(1s);
    d.workers["w1"].leaving = true;
    BOOST_TEST(longest_down(d, "news", 20s) == duration(0));
}

// A service on a leaving worker was kept there in an evacuated data centre.
BOOST_AUTO_TEST_CASE(an_evacuated_data_centre_empties_its_leaving_workers)
{
    driver d;
    d.own({"w1"}, {submit_service("news")});
    cell_settings settings;
    settings.starts = start_permission::evacuated;
    d.c.change_settings(settings);
    d.workers["w1"].leaving = true;
    d.run(config::service_grace + 4s);
    BOOST_TEST(home_of(d, "news").empty());
}
