#include <boost/test/unit_test.hpp>

#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <functional>
#include <thread>

#include "http_server_p.h"
#include "load_run_p.h"

using namespace skylarkhub;
using namespace skylarkhub::load;
using namespace std::chrono_literals;

namespace {

http_result answer(int status, const std::string& outcome, const std::string& body)
{
    http_result result{.answered = true, .status = status, .body = body};
    result.headers = {{"outcome", outcome}};
    return result;
}

http_response done(const std::string& body)
{
    return {200, {{"Outcome", "done"}}, "ok t/s " + body};
}

constexpr double short_run = 0.2; // seconds

load_tally run_against(const http_handler& entry, load_options o)
{
    std::string reason;
    const auto server = http_server::start({.address = net_address("127.0.0.1:0")}, entry, &reason);
    BOOST_REQUIRE_MESSAGE(server, reason);
    o.entries = {server->address()};
    return run_load(o);
}

load_tally run_against(const http_handler& entry)
{
    load_options o{.team = team_id("t"), .service = "s", .rate = 500, .seconds = short_run};
    o.deadline = 10s;
    return run_against(entry, o);
}

} // namespace

BOOST_AUTO_TEST_CASE(each_outcome_is_told_apart)
{
    const std::string expected = "ok t/s body-1";
    struct row {
        http_result result;
        load_outcome outcome;
        answer_fault fault;
    };
    const std::vector<row> rows{
        {answer(200, "done", expected), load_outcome::done, answer_fault::none},
        {answer(503, "did-not-run", ""), load_outcome::did_not_run, answer_fault::none},
        {answer(504, "unknown", ""), load_outcome::unknown, answer_fault::none},
        {{.answered = false, .may_have_arrived = true}, load_outcome::unknown, answer_fault::none},
        {{.answered = false, .may_have_arrived = false}, load_outcome::did_not_run, answer_fault::none},
        {answer(200, "done", "ok t/s body-2"), load_outcome::done, answer_fault::crossed},
        {answer(200, "done", "ok t/s bo"), load_outcome::done, answer_fault::cut},
        {answer(200, "done", expected + "x"), load_outcome::done, answer_fault::crossed},
        {answer(200, "did-not-run", ""), load_outcome::unknown, answer_fault::malformed},
        {answer(502, "done", expected), load_outcome::unknown, answer_fault::malformed},
        {answer(200, "", expected), load_outcome::unknown, answer_fault::malformed},
    };
    for (const row& r : rows) {
        const judged_answer judged = judge_answer(r.result, expected);
        BOOST_TEST((judged.outcome == r.outcome && judged.fault == r.fault), r.result.body);
    }
}

BOOST_AUTO_TEST_CASE(quantiles_are_exact)
{
    std::vector<std::int64_t> values;
    for (std::int64_t v = 1000; v > 0; --v) {
        values.push_back(v);
    }
    BOOST_TEST(find_quantile(values, 0.5) == 500);
    BOOST_TEST(find_quantile(values, 0.99) == 990);
    BOOST_TEST(find_quantile(values, 0.999) == 999);
    BOOST_TEST(find_quantile({7}, 0.999) == 7);
    BOOST_TEST(find_quantile({}, 0.5) == 0);
}

BOOST_AUTO_TEST_CASE(a_right_entry_has_no_wrong_answer)
{
    const load_tally tally =
        run_against([](const http_request& request, const http_reply& reply) { reply(done(request.body)); });
    BOOST_TEST(tally.sent > 0);
    BOOST_TEST(tally.done == tally.sent);
    BOOST_TEST(tally.wrong() == 0);
}

// A sixth of the callers of a site are refused for good once one of its six entries is gone.
BOOST_AUTO_TEST_CASE(an_entry_that_refuses_connections_costs_no_request)
{
    std::string reason;
    const auto answering = http_server::start(
        {.address = net_address("127.0.0.1:0")},
        [](const http_request& request, const http_reply& reply) { reply(done(request.body)); }, &reason);
    BOOST_REQUIRE_MESSAGE(answering, reason);
    auto leaving = http_server::start(
        {.address = net_address("127.0.0.1:0")}, [](const http_request&, const http_reply&) {}, &reason);
    BOOST_REQUIRE_MESSAGE(leaving, reason);
    load_options o{.team = team_id("t"), .service = "s", .rate = 500, .seconds = short_run};
    o.deadline = 10s;
    o.entries = {leaving->address(), answering->address()};
    leaving.reset(); // its port refuses connections from now on
    const load_tally tally = run_load(o);
    BOOST_TEST(tally.sent > 0);
    BOOST_TEST(tally.done == tally.sent);
}

// An entry mixes up two callers: each gets a whole answer, but the other one's. Both count as wrong.
BOOST_AUTO_TEST_CASE(crossed_answers_are_found)
{
    absl::Mutex mutex;
    std::function<void(const std::string&)> waiting;
    const load_tally tally = run_against([&](const http_request& request, const http_reply& reply) {
        absl::MutexLock lock(&mutex);
        if (!waiting) {
            waiting = [reply, own = request.body](const std::string& other) {
                reply(done(other.empty() ? own : other));
            };
            return;
        }
        waiting(request.body);
        waiting = nullptr;
        reply(done("load-1-0"));
    });
    BOOST_TEST(tally.crossed >= tally.sent - 1);
}

// An entry answers one request at a time and slower than they come, so that they pile up in front of the only
// connection. A tool that counts from when a request gets its connection would show 5 ms for each. Counted from when it
// was meant to leave, the last one has waited for all before it: it ends after all service times, and was meant to
// leave by 200 ms.
BOOST_AUTO_TEST_CASE(waiting_for_a_connection_counts)
{
    load_options o{.team = team_id("t"), .service = "s", .rate = 1000, .seconds = short_run, .connections = 1};
    o.deadline = 30s;
    const load_tally tally = run_against(
        [&](const http_request& request, const http_reply& reply) {
            std::this_thread::sleep_for(5ms);
            reply(done(request.body));
        },
        o);
    BOOST_TEST(tally.done == tally.sent);
    const auto longest = *std::max_element(tally.done_us.begin(), tally.done_us.end());
    BOOST_TEST(longest >= tally.done * 5000 - 200000);
    BOOST_TEST(tally.done * 5000 - 200000 > 100000);
}
