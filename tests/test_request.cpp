#include <boost/test/unit_test.hpp>

#include "request_gate_p.h"

using namespace skylarkhub;

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
