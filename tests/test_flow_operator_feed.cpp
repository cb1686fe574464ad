// Tests what an answer of the table about the operator's changes proves, and for which time.
#include <boost/test/unit_test.hpp>

#include "flow_limits_p.h"
#include "flow_operator_feed_p.h"

using namespace skylarkhub;
using namespace skylarkhub::flow_limits;

namespace {

constexpr instant start{100s};

operator_update state_at(std::int64_t version)
{
    operator_update state;
    state.reached = true;
    state.version = row_version(version);
    state.config = flow_config{};
    state.evacuations.whole = true;
    return state;
}

operator_update no_change(std::int64_t version)
{
    operator_update answer;
    answer.reached = true;
    answer.version = row_version(version);
    return answer;
}

operator_update compacted()
{
    operator_update answer;
    answer.reached = true;
    answer.history_compacted = true;
    return answer;
}

// A feed that has read the whole state at `start`, and knows that nothing followed.
operator_feed read_feed()
{
    operator_feed feed;
    feed.take(feed.next_call(start), start + 10ms, state_at(5));
    feed.take(feed.next_call(start), start + 20ms, no_change(5));
    return feed;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_whole_state_is_read_first_and_dated_by_its_asking)
{
    operator_feed feed;
    BOOST_TEST(!feed.complete_at().has_value());
    const auto call = feed.next_call(start);
    BOOST_TEST((call.after == row_version(0)));
    BOOST_TEST((feed.take(call, start + 3s, state_at(5)) == start));
    const auto next = feed.next_call(start + 3s);
    BOOST_TEST((next.after == row_version(5)));
    BOOST_TEST((next.wait == duration(0)));
}

// Guards against dating an answer by when it is handled, which may be long after the table wrote it.
BOOST_AUTO_TEST_CASE(an_answer_without_changes_is_dated_by_the_end_of_its_wait)
{
    operator_feed feed = read_feed();
    const auto call = feed.next_call(start + 1s);
    BOOST_TEST((call.wait == operator_wait));
    BOOST_TEST((feed.take(call, start + 9s, no_change(5)) == start + 1s + operator_wait));
}

// Guards against dating an answer by a wait that the table has cut short.
BOOST_AUTO_TEST_CASE(an_answer_that_comes_before_its_wait_is_over_is_dated_by_its_asking)
{
    operator_feed feed = read_feed();
    const auto call = feed.next_call(start + 1s);
    BOOST_TEST((feed.take(call, start + 1s + operator_wait / 2, no_change(5)) == start + 1s));
}

// Guards against taking an answer that may have been cut for all changes.
BOOST_AUTO_TEST_CASE(an_answer_that_others_may_follow_proves_no_time)
{
    operator_feed feed = read_feed();
    const auto before = feed.complete_at();
    operator_update changes = no_change(8);
    changes.more = true;
    BOOST_TEST(!feed.take(feed.next_call(start + 1s), start + 2s, changes).has_value());
    BOOST_TEST((feed.complete_at() == before));
    BOOST_TEST((feed.next_call(start + 2s).after == row_version(8)));
    BOOST_TEST((feed.next_call(start + 2s).wait == duration(0)));
}

// Guards against taking the answer that the history is gone for the answer that nothing has changed.
BOOST_AUTO_TEST_CASE(after_a_discarded_history_nothing_is_known_until_the_whole_state_is_read)
{
    operator_feed feed = read_feed();
    BOOST_TEST(!feed.take(feed.next_call(start + 1s), start + 2s, compacted()).has_value());
    BOOST_TEST(!feed.complete_at().has_value());
    const auto call = feed.next_call(start + 2s);
    BOOST_TEST((call.after == row_version(0)));
    BOOST_TEST((feed.take(call, start + 3s, state_at(9)) == start + 2s));
}

// Guards against going by the readable configuration before an unreadable one as if it were the newest.
BOOST_AUTO_TEST_CASE(an_unreadable_configuration_leaves_the_newest_one_unknown)
{
    operator_feed feed = read_feed();
    operator_update unreadable = no_change(8);
    unreadable.config_unreadable = true;
    unreadable.more = true;
    feed.take(feed.next_call(start + 1s), start + 2s, unreadable);
    feed.take(feed.next_call(start + 2s), start + 3s, no_change(8));
    BOOST_TEST(feed.complete_at().has_value()); // of evacuations, which were read
    BOOST_TEST(!feed.config_complete_at().has_value());
    feed.take(feed.next_call(start + 3s), start + 4s, state_at(11));
    BOOST_TEST(feed.config_complete_at().has_value());
}
