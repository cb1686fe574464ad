#include <boost/test/unit_test.hpp>

#include "place_crash_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t workers = 22;

std::vector<charged_crash> crashes_of(std::size_t count, duration age, double rate)
{
    return std::vector<charged_crash>(count, {age, rate});
}

wire::crash_row crash_alone(std::int64_t age_ms, bool unseen)
{
    wire::crash_row row;
    row.age_ms = age_ms;
    row.alone = true;
    row.beside = true;
    row.unseen = unseen;
    return row;
}

struct some_task {
    job_id job;
    int index = 0;
    friend auto operator<=>(const some_task&,
                            const some_task&) = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
};

// The rate of other crashes that an owner of two seconds notes with a crash, of which the owner before has told of four
// in the last 20 s.
double rate_after_takeover(crash_watch<some_task>& watch, const std::vector<wire::crash_row>& noted)
{
    const instant now(100s);
    for (int i = 0; i < 4; ++i) {
        watch.inherit({now - 18s + i * 4s, worker_id("w-" + std::to_string(i)), 1});
    }
    const crash_moment moment{now, wall_time(100s), 20s, workers};
    return watch.describe(moment, {job_id("00000000000000aa")}, worker_id("w-9"), {.age = 10ms}, noted).rate;
}

} // namespace

// Everything on a worker is charged with its crash, again and again, though one task there is known to crash workers.
BOOST_AUTO_TEST_CASE(the_crash_is_charged_to_those_charged_most)
{
    const std::vector<bool> charged = charge_crash(
        {{.age = 2s}, {.age = 10ms, .crashes = 1}, {.age = 3s, .crashes = 1}, {.age = 1min, .crashes = 1}});
    BOOST_TEST((charged == std::vector<bool>{false, true, true, false}));
}

// A rack loses power, and all its tasks are charged.
BOOST_AUTO_TEST_CASE(a_crash_among_many_is_charged_to_nobody)
{
    BOOST_TEST(!charge_crash({{.age = 10ms, .in_a_wave = true}}).front());
    BOOST_TEST(!charge_crash({{.age = 5s, .crashes = 2, .alone = true, .in_a_wave = true}}).front());
    BOOST_TEST(charge_crash({{.age = 10ms, .crashes = 2, .alone = true, .in_a_wave = true}}).front());
}

// A task under suspicion is charged with what was started beside it.
BOOST_AUTO_TEST_CASE(what_was_not_alone_is_not_charged_further)
{
    BOOST_TEST(!charge_crash({{.age = 10ms, .crashes = 2}}).front());
    BOOST_TEST(!charge_crash({{.crashes = 2, .alone = true}}).front()); // its age is not known
    BOOST_TEST(charge_crash({{.age = 10ms, .crashes = 2, .alone = true}}).front());
}

BOOST_AUTO_TEST_CASE(three_crashes_at_the_start_are_beyond_doubt_where_few_crash)
{
    const double calm = crash_rate(0, workers, 20s);
    BOOST_TEST(!is_given_up(crashes_of(2, 10ms, calm)));
    BOOST_TEST(is_given_up(crashes_of(3, 10ms, calm)));
    BOOST_TEST(is_given_up(crashes_of(5, 5s, calm)));
}

// An innocent task has many crashes behind it where every worker crashes each few seconds.
BOOST_AUTO_TEST_CASE(crashes_that_chance_explains_add_up_to_nothing)
{
    const double restless = crash_rate(workers, workers, 10s);
    BOOST_TEST(!is_given_up(crashes_of(3, 3s, restless)));
    BOOST_TEST(!is_given_up(crashes_of(40, 3s, restless)));
    BOOST_TEST(!is_given_up(crashes_of(5, 20s, crash_rate(4, workers, 30s))));
}

// A follower knows neither how soon a worker crashed whose owner was killed, nor of the crashes before: two such
// crashes may be chance, but not one of them beside four that were seen, all of them at the start.
BOOST_AUTO_TEST_CASE(one_of_two_crashes_alone_may_be_unseen)
{
    const wire::crash_row seen = crash_alone(10, false);
    const wire::crash_row unseen = crash_alone(1000, true);
    wire::crash_row beside;
    beside.beside = true;
    wire::crash_row late = beside;
    late.age_ms = 4000;
    BOOST_TEST(crashes_its_workers({beside, seen, seen}));
    BOOST_TEST(crashes_its_workers({beside, beside, beside, unseen, seen}));
    BOOST_TEST(crashes_its_workers({beside, beside, beside, seen, unseen}));
    BOOST_TEST(!crashes_its_workers({beside, beside, unseen, seen}));
    BOOST_TEST(!crashes_its_workers({beside, late, beside, unseen, seen}));
    BOOST_TEST(!crashes_its_workers({beside, beside, beside, unseen, unseen}));
    BOOST_TEST(!crashes_its_workers({beside, beside, beside, beside, unseen}));
    BOOST_TEST(!crashes_its_workers({beside, beside, beside, crash_alone(1000, false), seen}));
    BOOST_TEST(!crashes_its_workers({unseen, seen}));
}

// The rate of other crashes begins anew with each owner of a cell.
BOOST_AUTO_TEST_CASE(crashes_that_the_owner_before_told_of_count_as_others)
{
    crash_watch<some_task> watch;
    BOOST_TEST(rate_after_takeover(watch, {}) == crash_rate(2, workers, crash_seen_before));
    wire::crash_row first;
    first.at_ms = 85'000;
    first.worker = "w-1";
    first.born = 1;
    crash_watch<some_task> other;
    BOOST_TEST(rate_after_takeover(other, {first}) == crash_rate(3, workers, 25s)); // not the one under the task itself
}

// A worker that did not answer the owner before does not answer its follower either, which is one crash.
BOOST_AUTO_TEST_CASE(a_crash_that_the_owner_before_told_of_is_not_counted_twice)
{
    crash_watch<some_task> watch;
    watch.inherit({instant(90s), worker_id("w-1"), 1});
    watch.note(instant(95s), instant(95s), worker_id("w-1"), {}, 1);
    BOOST_TEST(watch.newest(10).size() == 1);
    watch.note(instant(95s), instant(95s), worker_id("w-1"), {}, 2);
    watch.note(instant(95s), instant(95s), worker_id("w-2"), {}, 1);
    BOOST_TEST(watch.newest(10).size() == 3);
    BOOST_TEST(watch.newest(2).size() == 2);
}
