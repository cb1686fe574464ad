#include <boost/test/unit_test.hpp>

#include <absl/synchronization/notification.h>

#include <string>

#include "support_fake_target.h"
#include "target_client_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;
using test::after_answer;
using test::fake_answer;
using test::fake_target;
using test::refusal;
using test::whole_answer;

namespace {

constexpr duration patient = 10s; // never reached
constexpr duration impatient = 100ms;

struct asking {
    std::string id = "r-7";
    duration time_left = patient;
    bool send_once = false;
    std::string key;
    std::int64_t answer_bytes_most = 1000;
};

target_answer ask(http_client& http, const net_address& address, const asking& a = {})
{
    target_request request{.address = address, .request_id = a.id, .idempotency_key = a.key, .body = "body"};
    request.time_left = a.time_left;
    request.send_once = a.send_once;
    request.answer_bytes_most = a.answer_bytes_most;
    target_answer answer;
    absl::Notification answered;
    send_to_target(http, std::move(request), [&](target_answer got) {
        answer = std::move(got);
        answered.Notify();
    });
    answered.WaitForNotification();
    return answer;
}

target_answer ask_once(const fake_answer& planned, const asking& a = {})
{
    const fake_target target([&](int) { return planned; });
    http_client http;
    return ask(http, target.address(), a);
}

struct broken_answer {
    const char* name;
    std::string bytes;
    after_answer after = after_answer::close;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_whole_answer_to_our_request_is_done)
{
    const fake_target target([](int) { return fake_answer{whole_answer("ok news/pages body")}; });
    http_client http;
    const target_answer answer = ask(http, target.address(), {.key = "k1"});
    BOOST_TEST((answer.outcome == send_outcome::done));
    BOOST_TEST(answer.body == "ok news/pages body");
    const std::string request = target.last_request();
    BOOST_TEST(request.find("POST /run HTTP/1.1\r\n") == 0U);
    BOOST_TEST(request.find("\r\nRequest-Id: r-7\r\n") != std::string::npos);
    BOOST_TEST(request.find("\r\nDeadline-Ms: 10000\r\n") != std::string::npos);
    BOOST_TEST(request.find("\r\nIdempotency-Key: k1\r\n") != std::string::npos);
}

// Something comes back, but not the whole answer to this request: cut short, framed in a way that hides a cut, too
// large, or meant for another request. The caller must get none of it, and since the request has left, nobody may say
// that it did not run.
BOOST_AUTO_TEST_CASE(whatever_is_not_our_whole_answer_is_unknown)
{
    const std::string ours = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n";
    const std::string theirs = "HTTP/1.1 200 OK\r\nRequest-Id: r-8\r\n";
    const std::vector<broken_answer> cases{
        {"nothing, then closed", ""},
        {"half a header", "HTTP/1.1 200 OK\r\nRequest-"},
        {"short body", ours + "Content-Length: 10\r\n\r\nshort"},
        {"no length", ours + "\r\nbody"},
        {"chunked", ours + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
        {"chunked with a length",
         ours + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
        {"cut chunk", ours + "Transfer-Encoding: chunked\r\n\r\n9\r\nbody"},
        {"two lengths", ours + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody"},
        {"oversized", whole_answer(std::string(1001, 'x'))},
        {"crossed", whole_answer("body", "r-8")},
        {"id with more behind it", whole_answer("body", "r-7 ,r-8")},
        {"id in another case", whole_answer("body", "R-7")},
        {"no id", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"},
        {"two ids", whole_answer("body", "{id}", "Request-Id: r-8\r\n")},
        {"two ids, ours last", whole_answer("body", "r-8", "Request-Id: {id}\r\n")},
        {"our id on an interim answer",
         "HTTP/1.1 103 Early Hints\r\nRequest-Id: {id}\r\n\r\n" + whole_answer("x", "r-8")},
        {"our id in a trailer", theirs + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nRequest-Id: {id}\r\n\r\n"},
        {"redirect", "HTTP/1.1 302 Found\r\nLocation: /run\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"},
        {"failure", "HTTP/1.1 500 No\r\nDid-Not-Run: true\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"},
        {"refusal that does not say so", "HTTP/1.1 503 No\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"},
        {"refusal that says no", "HTTP/1.1 503 No\r\nDid-Not-Run: false\r\nContent-Length: 0\r\n\r\n"},
        {"crossed refusal", refusal("Request-Id: r-8\r\n")},
        {"refusal with two ids", refusal("Request-Id: {id}\r\nRequest-Id: r-8\r\n")},
        {"cut refusal", "HTTP/1.1 503 No\r\nDid-Not-Run: true\r\nRequest-Id: {id}\r\nContent-Length: 9\r\n\r\nx"},
        {"not HTTP", "SSH-2.0-x\r\n"},
    };
    for (const broken_answer& c : cases) {
        for (const bool send_once : {false, true}) {
            const target_answer answer = ask_once({c.bytes, c.after}, {.send_once = send_once});
            BOOST_TEST((answer.outcome == send_outcome::unknown), c.name);
            BOOST_TEST(answer.body.empty(), c.name);
            BOOST_TEST(!answer.reason.empty(), c.name);
        }
    }
}

// What an interim answer says belongs to it alone: another's id there does not spoil our whole answer.
BOOST_AUTO_TEST_CASE(an_interim_answer_changes_nothing)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nRequest-Id: r-8\r\nContent-Length: 9\r\n\r\n";
    BOOST_TEST((ask_once({interim + whole_answer("x")}).outcome == send_outcome::done));
}

// The target is killed once it has read the request: the connection is reset, and whether it ran is open.
BOOST_AUTO_TEST_CASE(a_reset_after_reading_is_unknown)
{
    BOOST_TEST((ask_once({std::nullopt, after_answer::reset}).outcome == send_outcome::unknown));
    BOOST_TEST((ask_once({"HTTP/1.1 200 OK\r\n", after_answer::reset}).outcome == send_outcome::unknown));
}

// The target is killed just after its whole answer left: the answer counts, the broken connection does not.
BOOST_AUTO_TEST_CASE(an_answer_before_the_end_of_its_target_counts)
{
    BOOST_TEST((ask_once({whole_answer("x"), after_answer::close}).outcome == send_outcome::done));
}

// The target was killed before: nothing listens, no byte has left, and the request may go elsewhere.
BOOST_AUTO_TEST_CASE(a_dead_target_was_sent_nothing)
{
    net_address gone;
    {
        const fake_target target([](int) { return fake_answer{}; });
        gone = target.address();
    }
    http_client http;
    BOOST_TEST((ask(http, gone).outcome == send_outcome::not_sent));
}

// A frozen target: its kernel accepts the connection and takes the request in, its process does neither. When the time
// is over the request may still run later, so that it is unknown.
BOOST_AUTO_TEST_CASE(a_frozen_or_silent_target_is_unknown)
{
    const fake_target frozen([](int) { return fake_answer{}; }, false);
    http_client http;
    BOOST_TEST((ask(http, frozen.address(), {.time_left = impatient}).outcome == send_outcome::unknown));
    BOOST_TEST((ask_once({}, {.time_left = impatient}).outcome == send_outcome::unknown));
    const fake_answer half{"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 10\r\n\r\nshort"};
    BOOST_TEST((ask_once(half, {.time_left = impatient}).outcome == send_outcome::unknown));
}

BOOST_AUTO_TEST_CASE(an_explicit_refusal_did_not_run)
{
    const target_answer refused = ask_once({refusal("Request-Id: {id}\r\nRetry-After-Ms: 250\r\n")});
    BOOST_TEST((refused.outcome == send_outcome::did_not_run));
    BOOST_TEST((refused.retry_after == 250ms));
    BOOST_TEST((ask_once({refusal("")}).outcome == send_outcome::did_not_run));
}

// A target answers one request twice on a kept connection. The second answer must not become the answer to the next
// request, nor a refusal without a name pass for the next request's.
BOOST_AUTO_TEST_CASE(a_doubled_answer_reaches_nobody_else)
{
    for (const std::string& second : {whole_answer("again"), refusal(), refusal("")}) {
        const fake_target target([&](int number) {
            return number == 1 ? fake_answer{whole_answer("first") + second} : fake_answer{whole_answer("second")};
        });
        http_client http;
        BOOST_TEST(ask(http, target.address(), {.id = "r-1"}).body == "first");
        const target_answer next = ask(http, target.address(), {.id = "r-2"});
        const bool own_or_none = next.body == "second" || next.outcome == send_outcome::unknown;
        BOOST_TEST(own_or_none);
        BOOST_TEST((next.outcome != send_outcome::did_not_run));
    }
}

// The answers of two requests on one kept connection come in the wrong order: the second request is answered with a
// refusal that names nobody. It may be the late answer to the first, so that it proves nothing.
BOOST_AUTO_TEST_CASE(a_nameless_refusal_on_a_kept_connection_is_unknown)
{
    const fake_target target(
        [](int number) { return number == 1 ? fake_answer{whole_answer("first")} : fake_answer{refusal("")}; });
    http_client http;
    BOOST_TEST((ask(http, target.address(), {.id = "r-1"}).outcome == send_outcome::done));
    BOOST_TEST((ask(http, target.address(), {.id = "r-2"}).outcome == send_outcome::unknown));
    BOOST_TEST(target.connections() == 1);
}

// A kept connection closes after the second request was read and before its answer. libcurl would send the request
// again by itself: it would run twice, and a refusal of the second copy would say "did not run" of a request that ran.
// It must be sent once, whether or not it asked for a connection of its own.
BOOST_AUTO_TEST_CASE(a_request_is_never_sent_again_by_itself)
{
    for (const bool send_once : {false, true}) {
        const fake_target target([](int number) {
            return number == 1   ? fake_answer{whole_answer("first")}
                   : number == 2 ? fake_answer{std::nullopt, after_answer::close}
                                 : fake_answer{refusal()};
        });
        http_client http;
        BOOST_TEST((ask(http, target.address(), {.id = "r-1"}).outcome == send_outcome::done));
        const target_answer second = ask(http, target.address(), {.id = "r-2", .send_once = send_once});
        BOOST_TEST((second.outcome == send_outcome::unknown));
        BOOST_TEST(target.requests_read() == 2);
        BOOST_TEST((!send_once || target.connections() == 2));
    }
}

// A caller's key with a line break would add headers, such as another Request-Id, to the request.
BOOST_AUTO_TEST_CASE(a_key_with_a_line_break_is_not_sent)
{
    const fake_target target([](int) { return fake_answer{whole_answer("x")}; });
    http_client http;
    const target_answer answer = ask(http, target.address(), {.key = "k\r\nRequest-Id: r-8"});
    BOOST_TEST((answer.outcome == send_outcome::not_sent));
    BOOST_TEST(target.requests_read() == 0);
}

// A target that sends headers without end must not fill the entry's memory.
BOOST_AUTO_TEST_CASE(headers_without_end_are_cut_off)
{
    std::string bytes = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n";
    for (int i = 0; i < 4000; ++i) {
        bytes += "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaa\r\n";
    }
    const target_answer answer = ask_once({bytes + "Content-Length: 1\r\n\r\nx"});
    BOOST_TEST((answer.outcome == send_outcome::unknown));
    BOOST_TEST(answer.reason == "headers are larger than the limit");
}

BOOST_AUTO_TEST_CASE(a_health_check_tells_healthy_leaving_and_unreachable)
{
    const auto check = [](const fake_answer& planned) {
        const fake_target target([&](int) { return planned; });
        http_client http;
        probe_outcome outcome = probe_outcome::unreachable;
        absl::Notification answered;
        check_target(http, target.address(), patient, [&](probe_outcome got) {
            outcome = got;
            answered.Notify();
        });
        answered.WaitForNotification();
        return outcome;
    };
    BOOST_TEST((check({whole_answer("ok")}) == probe_outcome::healthy));
    BOOST_TEST((check({refusal()}) == probe_outcome::leaving));
    BOOST_TEST((check({std::nullopt, after_answer::close}) == probe_outcome::unreachable));
}
