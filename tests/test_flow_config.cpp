// Changes of the operator's configuration, in virtual time: large ones over narrow links, while entries restart, cannot
// reach the table, or are behind.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";

constexpr std::size_t large_config = 364'000; // bytes: some 1,700 queues
constexpr double narrow_link = 1.25e6;        // bytes a second
constexpr double very_narrow_link = 0.25e6;   // bytes a second
constexpr duration in_force_most = 3s;        // of a confirmed change, at entries in touch
constexpr double link_share_most = 0.1;       // of a link, that a change may cost over `link_share_over`
constexpr double link_share_over = 20;        // seconds
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

// The entries that do not have `version` though they should; only what is up, and since `in_force_most`, counts.
std::int64_t count_behind(flow_simulation& w, std::int64_t version, const std::map<int, instant>& started)
{
    std::int64_t behind = 0;
    for (int i = 0; i < entries_count; ++i) {
        const auto at = started.find(i);
        const bool new_here = at != started.end() && w.now() - at->second < in_force_most;
        if (w.entry(i) != nullptr && !new_here && w.entry(i)->config_version() < settings_version(version)) {
            ++behind;
        }
    }
    return behind;
}

// Ready with an older version than `version`.
std::int64_t count_ready_behind(flow_simulation& w, std::int64_t version)
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
        BOOST_TEST(got <= link * link_share_over * link_share_most, "entry " << i << " was sent " << got << " bytes");
    }
}

struct restart_plan {
    std::vector<int> entries;
    duration gap{0};
    duration away = 300ms;
};

// Goes on for `total`, in steps, while entries are killed in turn and start again. `check` runs each step.
void run_restarts(flow_simulation& w, const restart_plan& plan, duration total, std::map<int, instant>& started,
                  const std::function<void()>& check)
{
    const instant begun = w.now();
    std::size_t killed = 0;
    std::map<int, instant> coming;
    while (w.now() - begun < total) {
        if (killed < plan.entries.size() && w.now() - begun >= plan.gap * static_cast<std::int64_t>(killed)) {
            w.kill_entry(plan.entries.at(killed));
            coming[plan.entries.at(killed)] = w.now() + plan.away;
            ++killed;
        }
        for (auto at = coming.begin(); at != coming.end();) {
            if (w.now() < at->second) {
                ++at;
                continue;
            }
            w.start_entry(at->first);
            started[at->first] = w.now();
            at = coming.erase(at);
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

// Copies of a large change to entries that restart leave the link of each entry that is behind no room for any.
BOOST_AUTO_TEST_CASE(a_large_change_is_in_force_while_half_of_the_entries_restart)
{
    flow_simulation w(narrow_site());
    w.run_for(10s);
    w.write_config(queues_with({"added"}), large_config);
    const instant written = w.now();
    w.run_for(1s);
    const auto before = link_bytes(w);
    std::map<int, instant> started;
    std::int64_t behind_most = 0;
    run_restarts(w, {every_other_entry(), 400ms}, 20s, started, [&] {
        if (w.now() - written > in_force_most) {
            behind_most = std::max(behind_most, count_behind(w, 2, started));
        }
    });
    BOOST_TEST(behind_most == 0);
    check_link_share(w, before, narrow_link);
}

// Entries that restart while their peers have a newer version are ready with the older one that some of them still had.
BOOST_AUTO_TEST_CASE(an_entry_that_starts_is_not_ready_with_an_older_version_than_its_peers_have)
{
    flow_simulation w(narrow_site());
    w.run_for(10s);
    for (int i = 0; i < 8; ++i) {
        w.cut_entry_from_table(i, true); // they hear of the change from peers alone
    }
    w.write_config(queues_with({"added"}), large_config);
    w.run_for(1s);
    std::map<int, instant> started;
    std::int64_t ready_most = 0;
    run_restarts(w, {{20, 22, 24, 26, 28, 30, 32, 34, 36, 38}, 100ms}, 10s, started, [&] {
        for (const auto& [entry, since] : started) {
            flow_entry* const e = w.entry(entry);
            ready_most += e->ready() && e->config_version() < settings_version(2) ? 1 : 0;
        }
    });
    BOOST_TEST(ready_most == 0);
    BOOST_TEST(count_behind(w, 2, {}) == 0);
}

// One entry does not hear the table around a large change: it is sent the whole configuration by every peer at once.
BOOST_AUTO_TEST_CASE(an_entry_that_misses_a_large_change_has_it_in_time)
{
    for (const int missing : {1, 8}) {
        flow_simulation w(narrow_site());
        w.run_for(10s);
        for (int i = 0; i < missing; ++i) {
            w.cut_entry_from_table(i, true);
        }
        w.run_for(1s);
        w.write_config(queues_with({"added"}), large_config);
        const auto before = link_bytes(w);
        w.run_for(1s);
        for (int i = 0; i < missing; ++i) {
            w.cut_entry_from_table(i, false);
        }
        w.run_for(in_force_most);
        BOOST_TEST(count_behind(w, 2, {}) == 0, missing << " missed it: " << count_behind(w, 2, {}) << " behind");
        w.run_for(16s);
        check_link_share(w, before, narrow_link);
    }
}

// The second and third change come before the first has arrived everywhere.
BOOST_AUTO_TEST_CASE(the_last_of_several_large_changes_in_a_row_is_in_force_in_time)
{
    flow_simulation w(narrow_site());
    w.run_for(10s);
    w.cut_entry_from_table(3, true);
    for (int i = 0; i < 4; ++i) {
        w.write_config(queues_with({"added"}), large_config);
        w.run_for(250ms);
    }
    w.run_for(in_force_most);
    BOOST_TEST(count_behind(w, 5, {}) == 0);
}

// A table that stays away is no source at all: entries that start have the configuration from peers.
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
    std::int64_t behind_most = 0;
    run_restarts(w, {{0, 5, 10, 15, 20, 25, 30, 35}, 200ms}, 20s, started,
                 [&] { behind_most = std::max(behind_most, count_behind(w, 2, started)); });
    BOOST_TEST(behind_most == 0);
    check_link_share(w, before, narrow_link);
    check_all_ready(w);
}

// An entry that the table turns away gets the change from a peer, over a link that bears little more than one copy.
BOOST_AUTO_TEST_CASE(a_large_change_comes_over_a_very_narrow_link)
{
    flow_simulation w(narrow_site(very_narrow_link));
    w.run_for(10s);
    w.cut_entry_from_table(7, true);
    w.run_for(2s);
    w.write_config(queues_with({"added"}), large_config);
    w.run_for(10s);
    BOOST_TEST(count_behind(w, 2, {}) == 0);
}

// A caller of a new queue is told that there is none, though the entry has heard that its configuration is old.
BOOST_AUTO_TEST_CASE(a_queue_that_is_unknown_here_is_not_refused_while_a_newer_version_is_known_of)
{
    flow_simulation w(narrow_site(very_narrow_link));
    w.run_for(10s);
    w.cut_entry_from_table(7, true);
    w.run_for(2s);
    w.write_config(queues_with({"added"}), large_config);
    BOOST_REQUIRE(w.run_until([&] { return w.entry(7)->newest_config_version(w.now()) == settings_version(2); }, 4s));
    BOOST_REQUIRE(w.entry(7)->config_version() == settings_version(1));
    BOOST_TEST((w.submit(7, job_a, chain_spec(1, 1), "added") == caller_result::retry_later));
    BOOST_TEST((w.submit(0, job_a, chain_spec(1, 1), "never-there") == caller_result::unknown_queue));
}

// An entry that stays behind takes jobs of a queue that a confirmed change has dropped.
BOOST_AUTO_TEST_CASE(an_entry_that_is_behind_for_long_takes_no_jobs_by_the_old_version)
{
    flow_simulation w(narrow_site());
    w.run_for(10s);
    w.cut_entry_from_table(7, true);
    w.run_for(2s);
    w.write_config({"other"}, 10 * large_config); // a copy takes longer than a change may
    BOOST_REQUIRE(w.run_until([&] { return w.entry(7)->newest_config_version(w.now()) == settings_version(2); }, 5s));
    w.run_for(in_force_most);
    BOOST_REQUIRE(w.entry(7)->config_version() == settings_version(1));
    BOOST_TEST((w.submit(7, job_a, chain_spec(1, 1)) != caller_result::accepted));
    w.run_for(5s);
    BOOST_TEST(w.count_job_starts(job_a) == 0);
}

// A version that cannot be read is asked for again and again, or takes the place of the one that can.
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
    BOOST_TEST(count_behind(w, 2, {}) == 0);
    BOOST_TEST(count_ready_behind(w, 2) == 0);
    check_all_ready(w);
    w.write_config(queues_with({"added", "again"}), large_config);
    w.run_for(in_force_most);
    BOOST_TEST(count_behind(w, 4, {}) == 0);
}

// All entries are lost in the moment in which a change is confirmed.
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
    w.run_for(in_force_most);
    BOOST_TEST(count_behind(w, 2, {}) == 0);
    check_all_ready(w);
}

// An entry that reaches one peer alone, and not the table, stays without the change.
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
    w.run_for(in_force_most);
    BOOST_TEST((w.entry(7)->config_version() == settings_version(2)));
}

// What peers tell each other each half second takes the place of everything else on a narrow link.
BOOST_AUTO_TEST_CASE(what_peers_tell_each_other_leaves_a_narrow_link_free)
{
    flow_simulation::options o = narrow_site();
    o.workers_per_data_centre = 160;
    o.rack_size = 8;
    o.cores = {0.5, 0.5, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12};
    flow_simulation w(std::move(o));
    w.run_for(15s);
    const auto before = link_bytes(w);
    w.run_for(std::chrono::seconds(static_cast<std::int64_t>(link_share_over)));
    check_link_share(w, before, narrow_link);
}
