// Tests of what entries pay for knowing each other on a large site: hellos of all to all are the load that grows
// fastest with the number of entries.
#include <boost/test/unit_test.hpp>

#include "flow_limits_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

constexpr double link_bytes_per_s = 1e9; // counts bytes and delays none

// Bytes that one of `entries` entries gets from its peers in `length`, after `before`.
double bytes_to_an_entry(int entries, duration before, duration length)
{
    flow_simulation w(
        {.entries_per_data_centre = entries, .workers_per_data_centre = 2, .link_bytes_per_s = link_bytes_per_s});
    w.run_for(before);
    const double so_far = w.bytes_to(1);
    w.run_for(length);
    check_no_violations(w);
    return w.bytes_to(1) - so_far;
}

} // namespace

// Guards against lists of all entries in hellos of all to all: bytes by the square of the number for each entry.
BOOST_AUTO_TEST_CASE(an_entry_gets_bytes_in_proportion_to_its_peers)
{
    constexpr int few = 10;
    constexpr int many = 40;
    constexpr double growth = 1.3 * many / few; // in proportion, and a third for what is not
    BOOST_TEST(bytes_to_an_entry(many, 6s, 10s) < growth * bytes_to_an_entry(few, 6s, 10s));
    BOOST_TEST(bytes_to_an_entry(many, 0s, 6s) < growth * bytes_to_an_entry(few, 0s, 6s));
}

// Guards against hellos that fill the processor of an entry on a large site.
BOOST_AUTO_TEST_CASE(hellos_a_second_do_not_grow_beyond_a_number_of_entries)
{
    const auto hellos_a_second = [](std::size_t entries) {
        return static_cast<double>(entries) /
               std::chrono::duration<double>(flow_limits::hello_interval_of(entries)).count();
    };
    const double most = hellos_a_second(flow_limits::max_frequent_hello_entries);
    BOOST_TEST(hellos_a_second(300) <= most * 1.01);
    BOOST_TEST(hellos_a_second(1000) <= most * 1.01);
    BOOST_TEST((flow_limits::hello_interval_of(2) == flow_limits::hello_interval));
    BOOST_TEST((flow_limits::peer_timeout_of(300) > 2 * flow_limits::hello_interval_of(300)));
}

// Guards against an entry that starts while the table is away and never learns of entries that do not greet it.
BOOST_AUTO_TEST_CASE(an_entry_that_starts_without_the_table_hears_of_all_others)
{
    constexpr int entries = 8;
    flow_simulation w({.entries_per_data_centre = entries, .workers_per_data_centre = 2});
    w.run_for(4s);
    w.kill_entry(0);
    w.set_table_down(true);
    w.run_for(500ms);
    const std::int64_t heard = w.count_log_events("peer", "heard");
    w.start_entry(0);
    w.run_for(3s);
    // The others hear it, and it hears them.
    BOOST_TEST(w.count_log_events("peer", "heard") - heard >= 2 * (entries - 1));
    check_no_violations(w);
}
