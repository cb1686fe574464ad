// Which connections and bodies an HTTP server gives up when there is no room, and how a machine is divided.
#include <boost/test/unit_test.hpp>

#include <deque>

#include "base_shares_p.h"
#include "flow_waiting_p.h"
#include "http_intake_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t body_most = 1000;

struct filled_intake {
    explicit filled_intake(const http_intake::limits& l) : intake(l) {}

    http_link& connect()
    {
        http_link& link = links.emplace_back();
        intake.open(link, now);
        return link;
    }
    http_link& send(std::size_t bytes)
    {
        http_link& link = connect();
        intake.begin_request(link, now);
        ended = intake.append(link, std::string(bytes, 'x'), body_most, now);
        return link;
    }

    instant now{1h};
    http_intake intake;
    std::deque<http_link> links;
    std::vector<http_link*> ended;
};

} // namespace

// Guards against bodies that together take more than the server may hold.
BOOST_AUTO_TEST_CASE(bodies_stay_within_their_room_together)
{
    filled_intake s({.connections_most = 100, .held_bytes_most = 5000});
    for (int i = 0; i < 50; ++i) {
        s.now += 10ms;
        s.send(900);
        BOOST_TEST(s.intake.held_bytes() <= 5000);
    }
}

// Guards against a crowd of bodies that stop short of their end and shut out whoever comes later.
BOOST_AUTO_TEST_CASE(a_body_that_was_held_long_goes_for_a_new_one)
{
    filled_intake s({.connections_most = 100, .held_bytes_most = 3000});
    const http_link* const first = &s.send(900);
    s.now += 1s;
    s.send(900);
    s.now += 1s;
    s.send(900);
    s.now += 1s;
    const http_link& fourth = s.send(900);
    BOOST_TEST(s.ended.size() == 1U);
    BOOST_TEST(s.ended.at(0) == first);
    BOOST_TEST(first->ending);
    BOOST_TEST(first->body.capacity() < 900U);
    BOOST_TEST(fourth.body.size() == 900U);
}

// Guards against a large body that ends small ones, which cost little.
BOOST_AUTO_TEST_CASE(the_body_that_asks_goes_if_it_is_the_largest_for_longest)
{
    filled_intake s({.connections_most = 100, .held_bytes_most = 3000});
    http_link& large = s.send(600);
    s.now += 2s;
    const http_link& small = s.send(100);
    const http_link& other = s.send(100);
    s.now += 1s;
    BOOST_TEST(s.intake.append(large, std::string(300, 'x'), body_most, s.now).empty());
    http_link& fresh = s.send(900);
    BOOST_TEST(fresh.ending == false);
    BOOST_TEST(large.ending);
    BOOST_TEST(!small.ending);
    BOOST_TEST(!other.ending);
}

// Guards against an answer that is cut off: a request that is being served goes for nobody.
BOOST_AUTO_TEST_CASE(a_request_that_is_served_is_not_ended)
{
    filled_intake s({.connections_most = 2, .held_bytes_most = 2000});
    http_link& served = s.send(900);
    BOOST_TEST(s.intake.take_request(served, s.now).value_or("").size() == 900U);
    http_link& other = s.send(900);
    BOOST_TEST(s.intake.take_request(other, s.now).has_value());
    s.now += 10s;
    BOOST_TEST(!s.intake.admit(s.now).granted);
    const http_link& third = s.send(900);
    BOOST_TEST(third.ending);
    s.intake.begin_answer(other, s.now);
    BOOST_TEST(!s.intake.admit(s.now).granted);
    s.now += 10s;
    BOOST_TEST(s.intake.admit(s.now).to_end == &other);
    s.intake.end_request(served, s.now);
    BOOST_TEST(s.intake.held_bytes() == 0);
}

// Guards against a body over the limit that goes on being held or read.
BOOST_AUTO_TEST_CASE(a_body_over_its_limit_ends_and_holds_nothing)
{
    filled_intake s({.connections_most = 2, .held_bytes_most = 20'000});
    const http_link& link = s.send(1001);
    BOOST_TEST(link.ending);
    BOOST_TEST(s.intake.held_bytes() == 0);
}

// Guards against a crowd of connections that stand still and shut out whoever comes later.
BOOST_AUTO_TEST_CASE(the_connection_that_has_stood_still_longest_goes_for_a_new_one)
{
    filled_intake s({.connections_most = 3, .held_bytes_most = 20'000});
    http_link& idle = s.send(10);
    s.intake.take_request(idle, s.now);
    s.intake.end_request(idle, s.now);
    s.now += 1s;
    const http_link* const still = &s.connect();
    s.now += 5s;
    const http_link* const fresh = &s.send(10);
    http_intake::admission admission = s.intake.admit(s.now);
    BOOST_TEST(admission.granted);
    BOOST_TEST(admission.to_end == still);
    s.connect();
    admission = s.intake.admit(s.now);
    BOOST_TEST(admission.to_end == &idle);
    BOOST_TEST(!fresh->ending);
}

BOOST_AUTO_TEST_CASE(a_connection_that_closes_gives_all_back)
{
    filled_intake s({.connections_most = 1, .held_bytes_most = 2000});
    http_link& link = s.send(900);
    BOOST_TEST(s.intake.admit(s.now).to_end == &link);
    s.intake.close(link);
    BOOST_TEST(s.intake.connections() == 0U);
    BOOST_TEST(s.intake.held_bytes() == 0);
    BOOST_TEST(s.intake.admit(s.now).to_end == nullptr);
}

// Guards against shares that together are more than the machine, and against a machine so small that nobody is served.
BOOST_AUTO_TEST_CASE(the_shares_of_a_machine_stay_within_it)
{
    for (const std::int64_t mib : {64, 96, 160, 260, 512}) {
        for (const std::int64_t descriptors : {300, 600, 4100, 8192}) {
            const machine_limits machine{mib << 20, descriptors};
            const machine_shares shares = divide_machine(machine);
            const auto probes = static_cast<std::int64_t>(shares.probes.connections);
            const auto callers = static_cast<std::int64_t>(shares.callers.connections);
            const auto peers = static_cast<std::int64_t>(shares.peers.connections);
            BOOST_TEST(callers * connection_bytes + shares.callers.body_bytes + peers * connection_buffer_bytes +
                           shares.peers.body_bytes + 2 * (probes * connection_bytes + shares.probes.body_bytes) +
                           shares.waiting_bytes + shares.job_bytes <=
                       machine.memory_bytes * 7 / 8);
            BOOST_TEST(callers + peers + 2 * probes <= descriptors);
            BOOST_TEST(shares.callers.body_bytes >= std::int64_t{1} << 20);
        }
    }
}

// Guards against requests that wait for a slow table and together take all memory.
BOOST_AUTO_TEST_CASE(waiting_requests_count_until_the_last_copy_has_gone)
{
    waiting_requests waiting(100);
    waiting_requests::charge first = waiting.take(60);
    const waiting_requests::charge copy = first;
    BOOST_TEST((waiting.take(50) == nullptr));
    first.reset();
    BOOST_TEST((waiting.take(50) == nullptr));
    BOOST_TEST(waiting.bytes() == 60);
    BOOST_TEST((waiting.take(40) != nullptr));
    BOOST_TEST(waiting.bytes() == 60);
}

// Guards against a job of many short steps that is counted by the length of its text.
BOOST_AUTO_TEST_CASE(a_job_of_many_steps_counts_by_what_it_takes_in_memory)
{
    flow_spec spec;
    spec.steps.resize(1000);
    BOOST_TEST(estimate_waiting_bytes(spec) >= static_cast<std::int64_t>(1000 * sizeof(flow_step)));
    spec.steps.front().after.resize(1000);
    BOOST_TEST(estimate_waiting_bytes(spec) >= static_cast<std::int64_t>(1000 * (sizeof(flow_step) + 4)));
}
