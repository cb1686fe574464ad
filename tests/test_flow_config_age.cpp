// Tests what an entry (an instance that accepts jobs) concludes from the table's answers about the configuration: a
// queue may be refused as unknown only while an answer proves that there is no newer configuration.
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

constexpr int asked_entry = 7;
constexpr std::size_t large_config = 364'000; // bytes, a configuration of about 1,700 queues
constexpr double narrow_link = 1.25e6;        // bytes per second
constexpr double very_narrow_link = 0.25e6;   // bytes per second
constexpr duration step = 50ms;
constexpr duration longest_answer = 2s;
constexpr int entries_count = 12;
// Three rounds of copies from entry to entry: each holds its two places for config_reader_retention after a copy.
constexpr duration copies_to_all = 6s;

flow_simulation::options small_site(double link)
{
    flow_simulation::options o;
    o.data_centres = {"a", "b"};
    o.entries_per_data_centre = 6;
    o.link_bytes_per_s = link;
    return o;
}

void send_count_request(flow_simulation& w, const std::string& queue, caller_reply reply)
{
    caller_request request;
    request.host = "host";
    request.path = "/" + queue + "/";
    w.entry(asked_entry)->on_request(w.now(), request, std::move(reply));
}

// Returns the entry's answer, or `outcome_unknown` if none comes.
caller_result ask_for_queue(flow_simulation& w, const std::string& queue)
{
    const auto result = std::make_shared<std::optional<caller_result>>();
    send_count_request(w, queue, [result](const caller_answer& answer) { *result = answer.result; });
    w.run_until([&] { return result->has_value(); }, longest_answer);
    return result->value_or(caller_result::outcome_unknown);
}

// Asks for the queue in each step for `total`. Returns how often it is refused as unknown.
int count_refusals(flow_simulation& w, const std::string& queue, duration total)
{
    const auto refusals = std::make_shared<int>(0);
    for (duration t{0}; t < total; t += step) {
        w.run_for(step);
        send_count_request(w, queue, [refusals](const caller_answer& answer) {
            *refusals += answer.result == caller_result::unknown_queue ? 1 : 0;
        });
    }
    w.run_for(longest_answer);
    return *refusals;
}

} // namespace

// Guards against refusing a new queue as unknown because the table answers that it has discarded its history.
BOOST_AUTO_TEST_CASE(a_discarded_history_does_not_prove_that_a_queue_is_unknown)
{
    for (const double link : {narrow_link, very_narrow_link}) {
        flow_simulation w(small_site(link));
        w.run_for(10s);
        w.cut_entry_from_table(asked_entry, true);
        w.cut_entry_from_peers(asked_entry, true);
        w.run_for(1s);
        w.write_config({"q", "added"}, large_config);
        w.discard_operator_history();
        w.run_for(3s);
        w.cut_entry_from_table(asked_entry, false);
        const int refusals = count_refusals(w, "added", 4s);
        BOOST_TEST(refusals == 0);
        BOOST_TEST(w.entry(asked_entry)->config_version() == settings_version(2));
    }
}

// Guards against refusing a new queue as unknown on an answer that the table gave before the queue was added, and that
// a process short of processor time handles seconds later.
BOOST_AUTO_TEST_CASE(an_answer_that_is_handled_late_does_not_prove_that_a_queue_is_unknown)
{
    flow_simulation w(small_site(0));
    w.run_for(10s);
    w.cut_entry_from_peers(asked_entry, true);
    w.run_for(3s);
    for (int turn = 0; turn < 8; ++turn) { // the watch is at another point in each turn
        w.pause_entry(asked_entry);
        w.run_for(1200ms);
        const std::string added = "added-" + std::to_string(turn);
        w.write_config({"q", added}, 0);
        w.run_for(4s);
        w.resume_entry(asked_entry);
        BOOST_TEST((ask_for_queue(w, added) != caller_result::unknown_queue), "refused in turn " << turn);
        BOOST_TEST(count_refusals(w, added, 1s) == 0);
        w.run_for(330ms);
    }
}

// Guards against refusing a queue as unknown while the newest configuration cannot be read, so that it may have it.
BOOST_AUTO_TEST_CASE(an_unreadable_configuration_does_not_prove_that_a_queue_is_unknown)
{
    flow_simulation w(small_site(0));
    w.run_for(10s);
    BOOST_TEST((ask_for_queue(w, "never-there") == caller_result::unknown_queue));
    w.write_unreadable_config();
    w.run_for(1s);
    BOOST_TEST(count_refusals(w, "added", 5s) == 0);
    w.write_config({"q", "added"}, 0);
    w.run_for(1s);
    BOOST_TEST((ask_for_queue(w, "added") == caller_result::pending));
    BOOST_TEST((ask_for_queue(w, "never-there") == caller_result::unknown_queue));
}

// Guards against an entry that becomes ready again with its old configuration once those who told of a newer one are
// no longer heard.
BOOST_AUTO_TEST_CASE(a_newer_version_is_not_forgotten_when_those_who_told_of_it_fall_silent)
{
    flow_simulation w(small_site(narrow_link));
    w.run_for(10s);
    w.cut_entry_from_table(asked_entry, true);
    w.run_for(2s);
    w.write_config({"q", "added"}, 10 * large_config); // a copy from a peer takes some six seconds
    BOOST_REQUIRE(w.run_until([&] { return !w.entry(asked_entry)->ready(); }, 7s));
    w.cut_entry_from_peers(asked_entry, true);
    int ready = 0;
    for (duration t{0}; t < 6s; t += step) {
        w.run_for(step);
        ready += w.entry(asked_entry)->ready() ? 1 : 0;
    }
    BOOST_TEST(ready == 0);
    BOOST_TEST((w.entry(asked_entry)->config_version() == settings_version(1)));
    w.cut_entry_from_peers(asked_entry, false);
    w.cut_entry_from_table(asked_entry, false);
    BOOST_TEST(w.run_until([&] { return w.entry(asked_entry)->ready(); }, 25s));
    BOOST_TEST((w.entry(asked_entry)->config_version() == settings_version(2)));
}

// Guards against refusing a new queue as unknown because the table's watch tells of no change, although there is one.
BOOST_AUTO_TEST_CASE(a_watch_that_hears_nothing_does_not_prove_that_a_queue_is_unknown)
{
    flow_simulation w(small_site(narrow_link));
    w.run_for(10s);
    w.set_operator_watch(flow_simulation::operator_watch::hears_nothing);
    w.write_config({"q", "added"}, large_config);
    BOOST_TEST(count_refusals(w, "added", 4s) == 0);
    BOOST_TEST((ask_for_queue(w, "added") == caller_result::pending));
    BOOST_TEST((ask_for_queue(w, "never-there") == caller_result::unknown_queue));
}

// Guards against refusing a new queue for good because the table's watch has passed over the change that adds it.
BOOST_AUTO_TEST_CASE(a_change_that_the_watch_passes_over_is_found_by_those_who_ask_for_its_queue)
{
    flow_simulation w(small_site(narrow_link));
    w.run_for(10s);
    w.set_operator_watch(flow_simulation::operator_watch::passes_over);
    w.write_config({"q", "added"}, large_config);
    w.run_for(3s);
    w.set_operator_watch(flow_simulation::operator_watch::shows_changes);
    BOOST_TEST(count_refusals(w, "added", 4s) == 0);
    BOOST_TEST((ask_for_queue(w, "added") == caller_result::pending));
    BOOST_TEST((w.entry(asked_entry)->config_version() == settings_version(2)));
    const auto all_have_it = [&w] {
        for (int entry = 0; entry < entries_count; ++entry) {
            if (w.entry(entry)->config_version() != settings_version(2)) {
                return false;
            }
        }
        return true;
    };
    BOOST_TEST(w.run_until(all_have_it, copies_to_all));
}

// Guards against refusing a new queue, after the process has stood still, by what it knew before.
BOOST_AUTO_TEST_CASE(a_request_after_a_standstill_is_not_refused_by_what_was_known_before)
{
    flow_simulation w(small_site(0));
    w.run_for(10s);
    for (int turn = 0; turn < 8; ++turn) { // the watch is at another point in each turn
        w.pause_entry(asked_entry);
        w.run_for(100ms);
        const std::string added = "added-" + std::to_string(turn);
        w.write_config({"q", added}, 0);
        w.run_for(500ms);
        w.cut_entry_from_peers(asked_entry, true);
        w.run_for(100ms);
        const auto refused = std::make_shared<bool>(false);
        send_count_request(w, added, [refused](const caller_answer& answer) {
            *refused = answer.result == caller_result::unknown_queue;
        });
        w.resume_entry(asked_entry);
        w.run_for(longest_answer);
        BOOST_TEST(!*refused, "refused in turn " << turn);
        w.cut_entry_from_peers(asked_entry, false);
        w.run_for(1s + 130ms);
    }
}
