#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "request_gate_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

const work_kind quick_check{.id = kind_id("check"), .latency_critical = true, .deadline = 1s};
const work_kind bulletin{.id = kind_id("bulletin"), .latency_critical = true, .exclusive = true, .deadline = 1s};
const work_kind digest{.id = kind_id("digest"), .idempotent = false, .deadline = 1s};

// A gate in virtual time: events go in, actions are kept by type until the test takes them.
struct gate_under_test {
    request_gate gate{service_id("tausi/news"), data_centre_id("a"), {}, 1};
    instant now{1h};
    std::vector<gate_action> actions;
    std::int64_t last_request = 0;

    explicit gate_under_test(int targets = 2, std::int32_t slots = 8, gate_settings settings = {})
        : gate(service_id("tausi/news"), data_centre_id("a"), settings, 1)
    {
        show_targets(targets, slots);
    }
    void show_targets(int targets, std::int32_t slots = 8)
    {
        targets_seen seen;
        for (int each = 0; each < targets; ++each) {
            const std::string id = "t" + std::to_string(each);
            seen.targets.push_back({target_id(id), data_centre_id("a"), net_address(id + ":80"), slots, 60});
        }
        decide(seen);
    }
    void decide(const gate_event& event) { gate.decide(now, event, actions); }
    void wait(duration time)
    {
        const instant until = now + time;
        while (gate.next_wake() <= until) {
            now = std::max(now, gate.next_wake());
            decide(gate_tick{});
        }
        now = until;
    }
    request_number ask(const work_kind& kind, const std::string& key = {}, const std::string& fingerprint = "f",
                       duration time_left = duration{0})
    {
        last_request += 1;
        const request_number request(last_request);
        decide(request_arrived{request, team_id("tausi"), kind, key, fingerprint, time_left, 10});
        return request;
    }
    void end(const send_request& sent, send_outcome outcome)
    {
        decide(target_answered{sent.request, sent.send, outcome});
    }
    // Removes and returns the actions of one type.
    template <class Action> std::vector<Action> take()
    {
        std::vector<Action> taken;
        std::vector<gate_action> rest;
        for (gate_action& action : actions) {
            if (auto* const match = std::get_if<Action>(&action)) {
                taken.push_back(*match);
            }
            else {
                rest.push_back(std::move(action));
            }
        }
        actions = std::move(rest);
        return taken;
    }
    template <class Action> Action take_one()
    {
        const auto taken = take<Action>();
        BOOST_REQUIRE_EQUAL(taken.size(), 1U);
        return taken.front();
    }
};

} // namespace

// A target answers a request that timed out earlier on the same connection, or mixes up two requests. The caller must
// not get another's answer: an answer that does not repeat our Request-Id is no answer, and whether ours ran is
// unknown.
BOOST_AUTO_TEST_CASE(a_crossed_answer_is_unknown)
{
    const target_reply crossed{.answered = true, .status = 200, .request_id = "r-8"};
    BOOST_TEST((judge_reply(crossed, "r-7") == send_outcome::unknown));
    const target_reply crossed_refusal{.answered = true, .status = 503, .request_id = "r-8", .did_not_run = true};
    BOOST_TEST((judge_reply(crossed_refusal, "r-7") == send_outcome::unknown));
}

// A short or oversized answer must never look whole, and a failure without the explicit header says nothing about
// whether the request ran.
BOOST_AUTO_TEST_CASE(only_a_whole_answer_is_done_and_only_an_explicit_refusal_did_not_run)
{
    const target_reply whole{.answered = true, .status = 200, .request_id = "r-7"};
    BOOST_TEST((judge_reply(whole, "r-7") == send_outcome::done));
    const target_reply cut{.answered = true, .status = 200, .request_id = "r-7", .oversized = true};
    BOOST_TEST((judge_reply(cut, "r-7") == send_outcome::unknown));
    BOOST_TEST((judge_reply(target_reply{}, "r-7") == send_outcome::unknown));
    const target_reply plain_failure{.answered = true, .status = 503};
    BOOST_TEST((judge_reply(plain_failure, "r-7") == send_outcome::unknown));
    const target_reply refusal{.answered = true, .status = 503, .did_not_run = true};
    BOOST_TEST((judge_reply(refusal, "r-7") == send_outcome::did_not_run));
    const target_reply not_sent{.may_have_arrived = false};
    BOOST_TEST((judge_reply(not_sent, "r-7") == send_outcome::not_sent));
}

BOOST_AUTO_TEST_CASE(a_request_is_sent_and_answered)
{
    gate_under_test t;
    const request_number request = t.ask(quick_check);
    const auto sent = t.take_one<send_request>();
    BOOST_TEST((sent.request == request));
    BOOST_TEST((sent.time_left == 1s));
    t.now += 5ms;
    t.end(sent, send_outcome::done);
    const auto answer = t.take_one<answer_request>();
    BOOST_TEST((answer.outcome == request_outcome::done));
    BOOST_TEST((answer.body_of == request));
    BOOST_TEST(answer.status == 200);
}

// The target takes a digest's bytes and the connection breaks. Whether alerts went out cannot be known, so the caller
// is told "unknown" at once and no target ever gets this digest again.
BOOST_AUTO_TEST_CASE(a_non_idempotent_request_is_never_sent_again_after_its_bytes_left)
{
    for (const work_kind& kind : {digest, bulletin}) {
        gate_under_test t;
        t.ask(kind);
        const auto sent = t.take_one<send_request>();
        BOOST_TEST(sent.send_once);
        t.end(sent, send_outcome::unknown);
        BOOST_TEST((t.take_one<answer_request>().outcome == request_outcome::unknown));
        t.wait(2s);
        BOOST_TEST(t.take<send_request>().empty());
    }
}

// The first target refuses a digest explicitly. Nothing ran, so another target may have it, and the caller sees one
// whole answer.
BOOST_AUTO_TEST_CASE(an_explicit_refusal_may_be_sent_elsewhere)
{
    gate_under_test t;
    t.ask(digest);
    const auto first = t.take_one<send_request>();
    t.end(first, send_outcome::did_not_run);
    const auto second = t.take_one<send_request>();
    BOOST_TEST((second.target != first.target));
    t.end(second, send_outcome::done);
    BOOST_TEST((t.take_one<answer_request>().outcome == request_outcome::done));
}
