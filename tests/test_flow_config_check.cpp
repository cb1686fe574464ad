// Tests which requests one call to the table answers, and how often the table is called for requests that the
// configuration does not allow.
#include <boost/test/unit_test.hpp>

#include "flow_config_check_p.h"
#include "flow_limits_p.h"

using namespace skylarkhub;
using namespace skylarkhub::flow_limits;
using namespace std::chrono_literals;

namespace {

constexpr instant start{100s};
constexpr instant long_after = start + 60s;

// Answers the requests and returns how many they are.
std::size_t answer_all(const std::vector<config_checks::answer>& answers, bool confirmed)
{
    for (const config_checks::answer& done : answers) {
        done(start, confirmed);
    }
    return answers.size();
}

bool add(config_checks& checks, instant now, instant give_up = long_after)
{
    return checks.add(now, give_up, [](instant, bool) {});
}

} // namespace

// Guards against answering a request by a call that was sent before the request came.
BOOST_AUTO_TEST_CASE(a_request_that_comes_during_a_call_waits_for_the_next_one)
{
    config_checks checks;
    BOOST_TEST(!checks.begin(start));
    BOOST_TEST(add(checks, start));
    BOOST_TEST(add(checks, start));
    BOOST_TEST(checks.begin(start));
    BOOST_TEST(add(checks, start + 5ms));
    BOOST_TEST(!checks.begin(start + 5ms));
    BOOST_TEST(answer_all(checks.end(start + 10ms, true), true) == 2U);
    BOOST_TEST(checks.begin(start + 10ms + config_check_pause));
    BOOST_TEST(answer_all(checks.end(start + 1s, true), true) == 1U);
    BOOST_TEST(!checks.begin(start + 5s));
}

// Guards against calls to the table at the rate at which callers ask for wrong names.
BOOST_AUTO_TEST_CASE(wrong_names_at_a_high_rate_cost_few_calls)
{
    config_checks checks;
    int calls = 0;
    for (instant now = start; now < start + 1s; now += 1ms) {
        add(checks, now);
        if (checks.begin(now)) {
            ++calls;
            answer_all(checks.end(now, true), true);
        }
    }
    BOOST_TEST(calls <= 1s / config_check_pause);
    BOOST_TEST(calls >= 5);
}

// Guards against letting callers wait, one after another, for a table that has just not answered.
BOOST_AUTO_TEST_CASE(after_a_call_that_confirmed_nothing_requests_are_answered_at_once_for_a_while)
{
    config_checks checks;
    add(checks, start);
    checks.begin(start);
    checks.end(start + 1s, false);
    BOOST_TEST(!add(checks, start + 1s));
    BOOST_TEST(add(checks, start + 1s + config_check_retry));
}

// Guards against memory that grows with the requests that wait, and against requests that wait past their time.
BOOST_AUTO_TEST_CASE(the_requests_that_wait_are_limited_in_number_and_time)
{
    config_checks checks;
    for (std::size_t i = 0; i < max_config_check_requests; ++i) {
        BOOST_REQUIRE(add(checks, start, start + 1s));
    }
    BOOST_TEST(!add(checks, start));
    checks.begin(start);
    BOOST_TEST(!add(checks, start)); // those that a call is under way for count as well
    BOOST_TEST(checks.give_up(start + 1s - 1ms).empty());
    BOOST_TEST(checks.give_up(start + 1s).size() == max_config_check_requests);
    BOOST_TEST(checks.end(start + 2s, true).empty());
}
