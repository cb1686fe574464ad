// Callers that ask again with their key, against real processes on loopback.
#include <boost/test/unit_test.hpp>

#include "support_site.h"

using namespace skylarkhub;
using namespace skylarkhub::tests;
using namespace std::chrono_literals;

namespace {

constexpr const char* request_path = "/v1/request/newsroom/bulletins";
constexpr int table_delay_ms = 300; // so that the second caller comes while the first one's claim is on its way

http_fields keyed(const std::string& key)
{
    return {{"Deadline-Ms", "5000"}, {"Idempotency-Key", key}};
}

} // namespace

BOOST_AUTO_TEST_CASE(callers_that_wait_together_all_get_the_recorded_answer)
{
    // A bulletin was built and its answer kept under its key. Two callers ask once more at the same time: the second
    // waits for the first one's claim, which finds the kept answer. Each must get the whole of it; the second has no
    // claim and no run of its own to take a body from, and was once told "done" with nothing in it.
    site s({.entries = three_entries, .workers = 2});
    s.prepare();
    s.submit("a1", "service", service_job(2));
    BOOST_REQUIRE(wait_for([&] { return request_bulletin(s, "a1", "first").outcome == "done"; }));
    const site_answer built = s.ask("a1", "POST", request_path, "page 7", keyed("k1"));
    BOOST_REQUIRE(built.outcome == "done");
    BOOST_REQUIRE(!built.text.empty());
    BOOST_REQUIRE(wait_for([&] { return s.ask("a1", "POST", request_path, "page 7", keyed("k1")).outcome == "done"; }));

    s.switch_platform({{"table_delay_ms", table_delay_ms}});
    answer_box answers;
    for (int caller = 0; caller < 3; ++caller) {
        s.send("a1", "POST", request_path, "page 7", keyed("k1"), answers.slot());
    }

    for (const site_answer& answer : answers.wait_all()) {
        BOOST_TEST(answer.outcome == "done");
        BOOST_TEST(answer.text == built.text);
    }
}
