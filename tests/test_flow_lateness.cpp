// What an entry leaves out when it runs late. The pattern of load: an owner with a tenth of a core whose work for a
// second takes more than a second's processor for a while, because a burst of short tasks ends on a hundred workers or
// because a cell came to it; its queue grows by that much each second and drains afterwards.
#include <boost/test/unit_test.hpp>

#include <functional>
#include <vector>

#include "flow_lateness_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

constexpr instant begin{1000s};
constexpr duration interval = 100ms;

struct change {
    duration at{};
    flow_shed level = flow_shed::none;
};

// Steps due every 100 ms that come as late as `late_at` says; the changes of level.
std::vector<change> watch(flow_lateness& lateness, duration length, const std::function<duration(duration)>& late_at)
{
    std::vector<change> out;
    instant due = begin;
    while (due < begin + length) {
        const instant now = due + late_at(due - begin);
        if (lateness.note(due, now)) {
            out.push_back({now - begin, lateness.level()});
        }
        due = now + interval;
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_owner_in_time_leaves_nothing_out)
{
    // One step in ten waits for a long event: reading the list of workers. Were anything left out for that, paces would
    // be old all day on an entry that is well.
    flow_lateness lateness;
    int n = 0;
    const auto changes = watch(lateness, 60s, [&](duration) { return ++n % 10 == 0 ? duration(80ms) : duration(3ms); });
    BOOST_TEST(changes.empty());
    BOOST_TEST(lateness.late() < 30ms);
}

BOOST_AUTO_TEST_CASE(a_growing_queue_drops_looks_then_filling_then_exchanges)
{
    // The queue grows by 0.2 s each second. An owner that drops nothing answers its workers too late after five
    // seconds; their exchanges count as unanswered and are sent again, which is more work, and leases lapse.
    flow_lateness lateness;
    const auto changes = watch(lateness, 10s, [](duration t) { return duration(t.count() / 5); });
    BOOST_REQUIRE_EQUAL(changes.size(), 3U);
    BOOST_TEST((changes[0].level == flow_shed::looks));
    BOOST_TEST((changes[1].level == flow_shed::filling));
    BOOST_TEST((changes[2].level == flow_shed::exchanges));
    BOOST_TEST(changes[0].at < 2s);
    BOOST_TEST(changes[2].at < 6s);
}

BOOST_AUTO_TEST_CASE(a_pause_of_the_whole_process_counts_at_once_and_is_forgotten_within_seconds)
{
    // After a pause of five seconds everything that came meanwhile waits: what may be left out must be left out then,
    // not after a second of looking. Once the queue is gone, all comes back, one level at a time.
    flow_lateness lateness;
    const auto late_at = [](duration t) { return t >= 5s && t < 5100ms ? duration(5s) : duration(1ms); };
    const auto changes = watch(lateness, 30s, late_at);
    BOOST_REQUIRE_EQUAL(changes.size(), 4U);
    BOOST_TEST((changes[0].level == flow_shed::exchanges));
    BOOST_TEST(changes[0].at < 10200ms);
    BOOST_TEST((changes[1].level == flow_shed::filling));
    BOOST_TEST((changes[3].level == flow_shed::none));
    BOOST_TEST(changes[3].at < 22s);
}

BOOST_AUTO_TEST_CASE(a_lateness_about_a_threshold_does_not_flap)
{
    // What was left out comes back as load. An entry that took it up again at the first calm moment would be late again
    // a moment later, and its log would fill with levels entered and left.
    flow_lateness lateness;
    int n = 0;
    const auto changes =
        watch(lateness, 60s, [&](duration) { return ++n % 20 < 10 ? duration(160ms) : duration(60ms); });
    BOOST_REQUIRE_EQUAL(changes.size(), 1U);
    BOOST_TEST((changes[0].level == flow_shed::looks));
}
