// Tests, in simulated time, that a changed configuration reaches every entry (an instance that accepts jobs) in 3 s:
// large configurations over narrow network links while entries restart, cannot reach the table or have an old version.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";

constexpr std::size_t large_config = 364'000; // bytes, a configuration of about 1,700 queues
constexpr double narrow_link = 1.25e6;        // bytes per second
constexpr double very_narrow_link = 0.25e6;   // bytes per second
constexpr duration propagation_limit =
    3s; // from the confirmation of a change, at entries that reach the table or a peer
constexpr double max_link_share =
    0.1; // greatest share of a link's bytes that a change may use over `link_share_seconds`
constexpr double link_share_seconds = 20;
constexpr std::int64_t entries_count = 39;

flow_simulation::options narrow_site(double link = narrow_link)
{
    flow_simulation::options o;
    o.data_centres = {"a", "b", "c"};
    o.entries_per_data_centre = 13;
    o.workers_per_data_centre = 8;
    o.link_bytes_per_s = link;
    return o;
}

std::vector<std::string> queues_with(std::initializer_list<std::string> added)
{
    std::vector<std::string> queues{"q"};
    queues.insert(queues.end(), added);
    return queues;
}

// Counts the running entries with an older version than `version`, without those started within `propagation_limit`.
// `started` has the start time of each restarted entry.
std::int64_t count_outdated(flow_simulation& w, std::int64_t version, const std::map<int, instant>& started)
{
    std::int64_t outdated = 0;
    for (int i = 0; i < entries_count; ++i) {
        const auto at = started.find(i);
        const bool just_started = at != started.end() && w.now() - at->second < propagation_limit;
        if (w.entry(i) != nullptr && !just_started && w.entry(i)->config_version() < settings_version(version)) {
            ++outdated;
        }
    }
    return outdated;
}

// Counts the entries that report ready with an older version than `version`.
std::int64_t count_ready_outdated(flow_simulation& w, std::int64_t version)
{
    std::int64_t ready = 0;
    for (int i = 0; i < entries_count; ++i) {
        flow_entry* const entry = w.entry(i);
        if (entry != nullptr && entry->ready() && entry->config_version() < settings_version(version)) {
            ++ready;
        }
    }
    return ready;
}

void check_all_ready(flow_simulation& w)
{
    for (int i = 0; i < entries_count; ++i) {
        BOOST_TEST(w.entry(i)->ready());
    }
}

std::vector<double> link_bytes(const flow_simulation& w)
{
    std::vector<double> bytes;
    bytes.reserve(entries_count);
    for (int i = 0; i < entries_count; ++i) {
        bytes.push_back(w.bytes_to(i));
    }
    return bytes;
}

void check_link_share(const flow_simulation& w, const std::vector<double>& before, double link)
{
    for (int i = 0; i < entries_count; ++i) {
        const double got = w.bytes_to(i) - before.at(static_cast<std::size_t>(i));
        BOOST_TEST(got <= link * link_share_seconds * max_link_share, "entry " << i << " was sent " << got << " bytes");
    }
}

// Entry `entries[n]` is killed `n * gap` after the start of the test phase and started again after `downtime`.
struct restart_plan {
    std::vector<int> entries;
    duration gap{0};
    duration downtime = 300ms;
};

// Runs the simulation for `total` in steps of 50 ms while entries are killed and started again by `plan`. Records the
// start times in `started` and calls `check` after each step.
void run_restarts(flow_simulation& w, const restart_plan& plan, duration total, std::map<int, instant>& started,
                  const std::function<void()>& check)
{
    const instant began_at = w.now();
    std::size_t killed = 0;
    std::map<int, instant> restart_at;
    while (w.now() - began_at < total) {
        if (killed < plan.entries.size() && w.now() - began_at >= plan.gap * static_cast<std::int64_t>(killed)) {
            w.kill_entry(plan.entries.at(killed));
            restart_at[plan.entries.at(killed)] = w.now() + plan.downtime;
            ++killed;
        }
        for (auto at = restart_at.begin(); at != restart_at.end();) {
            if (w.now() < at->second) {
                ++at;
                continue;
            }
            w.start_entry(at->first);
            started[at->first] = w.now();
            at = restart_at.erase(at);
        }
        w.run_for(50ms);
        check();
    }
}

std::vector<int> every_other_entry()
{
    std::vector<int> entries;
    for (int i = 0; i < entries_count; i += 2) {
        entries.push_back(i);
    }
    return entries;
}

} // namespace

// Guards against sending so many copies of a large change to restarting entries that the links of outdated entries are
// too busy to receive one.
BOOST_AUTO_TEST_CASE(a_large_change_is_in_force_while_half_of_the_entries_restart)
{
    flow_simulation w(narrow_site());
    w.run_for(10s);
    w.write_config(queues_with({"added"}), large_config);
    const instant written = w.now();
    w.run_for(1s);
    const auto before = link_bytes(w);
    std::map<int, instant> started;
    std::int64_t max_outdated = 0;
    run_restarts(w, {every_other_entry(), 400ms}, 20s, started, [&] {
        if (w.now() - written > propagation_limit) {
            max_outdated = std::max(max_outdated, count_outdated(w, 2, started));
        }
    });
    BOOST_TEST(max_outdated == 0);
    check_link_share(w, before, narrow_link);
}

// Guards against a restarted entry that reports ready with an old version while its peers already have a newer one.
BOOST_AUTO_TEST_CASE(an_entry_that_starts_is_not_ready_with_an_older_version_than_its_peers_have)
{
    flow_simulation w(narrow_site());
    w.run_for(10s);
    for (int i = 0; i < 8; ++i) {
        w.cut_entry_from_table(i, true); // these receive the change only from peers
    }
    w.write_config(queues_with({"added"}), large_config);
    w.run_for(1s);
    std::map<int, instant> started;
    std::int64_t ready_outdated = 0;
    run_restarts(w, {{20, 22, 24, 26, 28, 30, 32, 34, 36, 38}, 100ms}, 10s, started, [&] {
        for (const auto& [entry, since] : started) {
            flow_entry* const e = w.entry(entry);
            ready_outdated += e->ready() && e->config_version() < settings_version(2) ? 1 : 0;
        }
    });
    BOOST_TEST(ready_outdated == 0);
    BOOST_TEST(count_outdated(w, 2, {}) == 0);
}

// Entries that cannot reach the table during a large change must not be sent the whole configuration by every peer at
// once, and must have it within 3 s of reaching the table again.
BOOST_AUTO_TEST_CASE(an_entry_that_misses_a_large_change_has_it_in_time)
{
    for (const int cut_off : {1, 8}) {
        flow_simulation w(narrow_site());
        w.run_for(10s);
        for (int i = 0; i < cut_off; ++i) {
            w.cut_entry_from_table(i, true);
        }
        w.run_for(1s);
        w.write_config(queues_with({"added"}), large_config);
        const auto before = link_bytes(w);
        w.run_for(1s);
        for (int i = 0; i < cut_off; ++i) {
            w.cut_entry_from_table(i, false);
        }
        w.run_for(propagation_limit);
        BOOST_TEST(count_outdated(w, 2, {}) == 0, cut_off << " missed it: " << count_outdated(w, 2, {}) << " outdated");
        w.run_for(16s);
        check_link_share(w, before, narrow_link);
    }
}

// Writes four large changes 250 ms apart, so that each is written before the one before has arrived everywhere.
BOOST_AUTO_TEST_CASE(the_last_of_several_large_changes_in_a_row_is_in_force_in_time)
{
    flow_simulation w(narrow_site());
    w.run_for(10s);
    w.cut_entry_from_table(3, true);
    for (int i = 0; i < 4; ++i) {
        w.write_config(queues_with({"added"}), large_config);
        w.run_for(250ms);
    }
    w.run_for(propagation_limit);
    BOOST_TEST(count_outdated(w, 5, {}) == 0);
}

// While the table is unreachable, entries that start must get the newest configuration from their peers.
BOOST_AUTO_TEST_CASE(entries_that_start_while_the_table_is_away_have_the_newest_version_from_peers)
{
    flow_simulation w(narrow_site());
    w.run_for(10s);
    w.write_config(queues_with({"added"}), large_config);
    w.run_for(2s);
    w.set_table_down(true);
    w.run_for(2s);
    const auto before = link_bytes(w);
    std::map<int, instant> started;
    std::int64_t max_outdated = 0;
    run_restarts(w, {{0, 5, 10, 15, 20, 25, 30, 35}, 200ms}, 20s, started,
                 [&] { max_outdated = std::max(max_outdated, count_outdated(w, 2, started)); });
    BOOST_TEST(max_outdated == 0);
    check_link_share(w, before, narrow_link);
    check_all_ready(w);
}

// An entry that cannot reach the table must get the change from a peer over a link that has little more capacity than
// one copy needs.
BOOST_AUTO_TEST_CASE(a_large_change_arrives_over_a_very_narrow_link)
{
    flow_simulation w(narrow_site(very_narrow_link));
    w.run_for(10s);
    w.cut_entry_from_table(7, true);
    w.run_for(2s);
    w.write_config(queues_with({"added"}), large_config);
    w.run_for(10s);
    BOOST_TEST(count_outdated(w, 2, {}) == 0);
}

// Guards against answering that a new queue does not exist when the entry knows that its own configuration is outdated.
// The caller has to be asked to retry later.
BOOST_AUTO_TEST_CASE(a_queue_that_is_unknown_here_is_not_refused_while_a_newer_version_is_known_of)
{
    flow_simulation w(narrow_site(very_narrow_link));
    w.run_for(10s);
    w.cut_entry_from_table(7, true);
    w.run_for(2s);
    w.write_config(queues_with({"added"}), large_config);
    BOOST_REQUIRE(w.run_until([&] { return w.entry(7)->newest_config_version() == settings_version(2); }, 4s));
    BOOST_REQUIRE(w.entry(7)->config_version() == settings_version(1));
    BOOST_TEST((w.submit(7, job_a, chain_spec(1, 1), "added") == caller_result::retry_later));
    BOOST_TEST((w.submit(0, job_a, chain_spec(1, 1), "never-there") == caller_result::unknown_queue));
}

// Guards against an outdated entry that accepts jobs for a queue that a confirmed change has removed.
BOOST_AUTO_TEST_CASE(an_entry_that_is_behind_for_long_takes_no_jobs_by_the_old_version)
{
    flow_simulation w(narrow_site());
    w.run_for(10s);
    w.cut_entry_from_table(7, true);
    w.run_for(2s);
    w.write_config({"other"}, 10 * large_config); // one copy takes longer than `propagation_limit`
    BOOST_REQUIRE(w.run_until([&] { return w.entry(7)->newest_config_version() == settings_version(2); }, 5s));
    w.run_for(propagation_limit);
    BOOST_REQUIRE(w.entry(7)->config_version() == settings_version(1));
    BOOST_TEST((w.submit(7, job_a, chain_spec(1, 1)) != caller_result::accepted));
    w.run_for(5s);
    BOOST_TEST(w.count_job_starts(job_a) == 0);
}

// Guards against requesting an unreadable version over and over, and against replacing the readable version by it.
BOOST_AUTO_TEST_CASE(a_version_that_cannot_be_read_leaves_the_one_before_in_force)
{
    flow_simulation w(narrow_site());
    w.run_for(10s);
    w.write_config(queues_with({"added"}), large_config);
    w.run_for(3s);
    const auto before = link_bytes(w);
    w.write_unreadable_config();
    w.run_for(20s);
    check_link_share(w, before, narrow_link);
    BOOST_TEST(count_outdated(w, 2, {}) == 0);
    BOOST_TEST(count_ready_outdated(w, 2) == 0);
    check_all_ready(w);
    w.write_config(queues_with({"added", "again"}), large_config);
    w.run_for(propagation_limit);
    BOOST_TEST(count_outdated(w, 4, {}) == 0);
}

// All entries are killed at the moment in which a change is confirmed; the change must be in force after their restart.
BOOST_AUTO_TEST_CASE(a_change_outlives_the_loss_of_all_entries)
{
    flow_simulation w(narrow_site());
    w.run_for(10s);
    w.write_config(queues_with({"added"}), large_config);
    for (int i = 0; i < entries_count; ++i) {
        w.kill_entry(i);
    }
    w.run_for(500ms);
    for (int i = 0; i < entries_count; ++i) {
        w.start_entry(i);
    }
    w.run_for(propagation_limit);
    BOOST_TEST(count_outdated(w, 2, {}) == 0);
    check_all_ready(w);
}

// Entry 7 reaches only entry 20 and not the table; it must get the change from entry 20.
BOOST_AUTO_TEST_CASE(an_entry_cut_off_from_most_peers_has_the_change_from_the_one_it_reaches)
{
    flow_simulation w(narrow_site());
    w.run_for(10s);
    w.cut_entry_from_table(7, true);
    for (int i = 0; i < entries_count; ++i) {
        if (i != 7 && i != 20) {
            w.cut_entry_from_peers(i, true);
        }
    }
    w.run_for(3s);
    w.write_config(queues_with({"added"}), large_config);
    w.run_for(propagation_limit);
    BOOST_TEST((w.entry(7)->config_version() == settings_version(2)));
}

// Guards against peer messages, sent every 0.5 s, that use more than their share of a narrow link.
BOOST_AUTO_TEST_CASE(peer_messages_leave_a_narrow_link_free)
{
    flow_simulation::options o = narrow_site();
    o.workers_per_data_centre = 160;
    o.rack_size = 8;
    o.cores = {0.5, 0.5, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12};
    flow_simulation w(std::move(o));
    w.run_for(15s);
    const auto before = link_bytes(w);
    w.run_for(std::chrono::seconds(static_cast<std::int64_t>(link_share_seconds)));
    check_link_share(w, before, narrow_link);
}
