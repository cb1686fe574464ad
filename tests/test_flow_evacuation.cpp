// Tests that no task is started in an evacuated data centre, whatever else happens, that its work goes on elsewhere,
// and that starts go on there once the evacuation is taken back.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "base_random_p.h"
#include "flow_evacuation_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";
const std::string job_b = "00000000000000bb";
const std::string job_c = "00000000000000cc";

constexpr duration known_within = 1s; // from the operator's write, where nothing disturbs the site

// Counts the starts so far on the workers of a data centre.
std::int64_t count_starts_in(flow_simulation& w, const std::string& data_centre)
{
    std::int64_t starts = 0;
    for (int i = 0; i < w.worker_count(); ++i) {
        starts += w.worker(i).data_centre.str() == data_centre ? w.worker(i).starts : 0;
    }
    return starts;
}

std::int64_t count_running_in(flow_simulation& w, const std::string& data_centre)
{
    std::int64_t running = 0;
    for (int i = 0; i < w.worker_count(); ++i) {
        running +=
            w.worker(i).data_centre.str() == data_centre ? static_cast<std::int64_t>(w.worker(i).running.size()) : 0;
    }
    return running;
}

flow_spec gang_spec(int count, std::int64_t cpu_millis)
{
    flow_spec spec = chain_spec(1, count, cpu_millis);
    spec.steps.front().gang = true;
    return spec;
}

flow_spec filling_spec(int steps, int count, std::int64_t cpu_millis)
{
    flow_spec spec = chain_spec(steps, count, cpu_millis);
    for (flow_step& step : spec.steps) {
        step.filling = true;
        step.image = "filler";
        step.checkpointing = true;
    }
    return spec;
}

} // namespace

// --- what an entry knows ---

// Guards against a late answer or an outdated peer that brings back an evacuation that was taken back.
BOOST_AUTO_TEST_CASE(of_two_states_the_one_with_the_higher_version_is_in_force)
{
    const instant start{100s};
    known_evacuations known;
    known.apply({true, {{data_centre_id("a"), true}}}, row_version(10), start);
    known_evacuations peer = known;
    known.apply({false, {{data_centre_id("a"), false}}}, row_version(12), start + 1s);
    BOOST_TEST(!known.includes(data_centre_id("a")));
    BOOST_TEST(known.adopt(peer.report(start + 2s), start + 2s).empty());
    BOOST_TEST(known.apply({true, {{data_centre_id("a"), true}}}, row_version(10), start).empty());
    BOOST_TEST(!known.includes(data_centre_id("a")));
    BOOST_TEST((peer.adopt(known.report(start + 2s), start + 2s).taken_back.size() == 1U));
    BOOST_TEST(!peer.includes(data_centre_id("a")));
}

// Guards against taking changes for the whole: which data centres were evacuated before them is not known.
BOOST_AUTO_TEST_CASE(changes_alone_are_no_knowledge)
{
    known_evacuations known;
    known.apply({false, {{data_centre_id("a"), true}}}, row_version(10), instant{100s});
    BOOST_TEST(!known.known());
    known_evacuations peer;
    peer.adopt(known.report(instant{101s}), instant{101s});
    BOOST_TEST(!peer.known());
}

// Guards against an evacuation that stays for ever, because its row was removed while the history was lost.
BOOST_AUTO_TEST_CASE(a_row_that_is_missing_from_the_whole_counts_as_taken_back)
{
    known_evacuations known;
    known.apply({true, {{data_centre_id("a"), true}, {data_centre_id("b"), true}}}, row_version(10), instant{100s});
    const auto changes = known.apply({true, {{data_centre_id("b"), true}}}, row_version(20), instant{101s});
    BOOST_TEST((changes.taken_back == std::vector<data_centre_id>{data_centre_id("a")}));
    BOOST_TEST(known.includes(data_centre_id("b")));
}

// Guards against knowledge that seems new because a peer repeats it.
BOOST_AUTO_TEST_CASE(knowledge_ages_while_peers_repeat_it)
{
    known_evacuations first;
    first.apply({true, {}}, row_version(10), instant{100s});
    known_evacuations second;
    second.adopt(first.report(instant{102s}), instant{102s});
    first.adopt(second.report(instant{104s}), instant{104s});
    BOOST_TEST((first.complete_at() <= instant{100s}));
    BOOST_TEST((second.complete_at() <= instant{100s}));
}

// --- a site ---

// Guards against starts in an evacuated data centre, and against work that waits there while others have room.
BOOST_AUTO_TEST_CASE(work_of_an_evacuated_data_centre_goes_on_elsewhere)
{
    flow_simulation w({.data_centres = {"a", "b", "c"}, .workers_per_data_centre = 3});
    w.run_for(2s);
    w.insert_unannounced_job(job_a, cell_id("a"), lasting_spec(6, 4000));
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 6; }, 5s));
    w.insert_unannounced_job(job_b, cell_id("a"), filling_spec(2, 6, 2000));
    w.insert_unannounced_job(job_c, cell_id("a"), chain_spec(3, 5, 3000));
    w.run_for(300ms);
    w.evacuate("a");
    w.run_for(known_within);
    const std::int64_t starts = count_starts_in(w, "a");
    w.fail_run({job_id(job_a), 0, 0, 0});
    BOOST_TEST(w.run_until([&] { return w.count_running_tasks(job_a) == 6; }, 2s));
    const auto is_done = [&](const std::string& job) { return w.stored_outcome(job) == 1; };
    BOOST_TEST(w.run_until([&] { return is_done(job_b) && is_done(job_c); }, 15s));
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST((w.submit(i, fmt::format("{:016x}", i + 1), chain_spec(1, 4, 2000)) == caller_result::accepted));
    }
    w.run_for(4s);
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(w.stored_outcome(fmt::format("{:016x}", i + 1)) == 1);
    }
    BOOST_TEST(count_starts_in(w, "a") == starts);
    check_no_violations(w);
}

// Guards against a site that does not use a data centre again after its evacuation.
BOOST_AUTO_TEST_CASE(starts_go_on_within_a_second_after_an_evacuation_is_taken_back)
{
    flow_simulation w({.data_centres = {"a", "b"}, .workers_per_data_centre = 2});
    w.run_for(2s);
    w.evacuate("a");
    w.run_for(known_within);
    w.insert_unannounced_job(job_a, cell_id("b"), chain_spec(1, 60, 4000));
    w.run_for(1500ms);
    const std::int64_t starts = count_starts_in(w, "a");
    w.take_back("a");
    BOOST_TEST(w.run_until([&] { return count_starts_in(w, "a") > starts; }, 2s)); // tasks are handed off after 0.8 s
    check_no_violations(w);
}

// Guards against callers that wait for a job that no data centre can start.
BOOST_AUTO_TEST_CASE(a_site_that_is_evacuated_whole_refuses_jobs_at_once)
{
    flow_simulation w({.data_centres = {"a", "b"}, .workers_per_data_centre = 2});
    w.run_for(2s);
    w.insert_unannounced_job(job_a, cell_id("a"), chain_spec(2, 4, 2000));
    w.evacuate("a");
    w.evacuate("b");
    w.run_for(known_within);
    const std::int64_t starts = count_starts_in(w, "a") + count_starts_in(w, "b");
    const instant asked = w.now();
    BOOST_TEST((w.submit(0, job_b, chain_spec(1, 2, 2000)) == caller_result::rejected));
    BOOST_TEST((w.now() - asked < 200ms));
    w.run_for(8s);
    BOOST_TEST(count_starts_in(w, "a") + count_starts_in(w, "b") == starts);
    w.take_back("b");
    BOOST_TEST(w.run_until([&] { return w.stored_outcome(job_a) == 1; }, 5s));
    check_no_violations(w);
}

// Guards against members of a gang that start where the others cannot.
BOOST_AUTO_TEST_CASE(a_gang_of_an_evacuated_data_centre_starts_whole_elsewhere)
{
    flow_simulation w({.data_centres = {"a", "b", "c"}, .workers_per_data_centre = 3, .gang_start_barrier = true});
    w.run_for(2s);
    w.evacuate("a");
    w.run_for(known_within);
    w.insert_unannounced_job(job_a, cell_id("a"), gang_spec(5, 8000));  // fits one other cell
    w.insert_unannounced_job(job_b, cell_id("a"), gang_spec(10, 8000)); // needs two
    w.run_for(12s);
    BOOST_TEST(w.stored_outcome(job_a) == 1);
    BOOST_TEST(w.stored_outcome(job_b) == 1);
    BOOST_TEST(count_starts_in(w, "a") == 0);
    check_no_violations(w);
}

// Guards against an entry that has just started, or has taken a cell over, and starts tasks before it has asked.
BOOST_AUTO_TEST_CASE(a_follower_knows_evacuations_before_it_starts_anything)
{
    flow_simulation w({.data_centres = {"a", "b"}, .entries_per_data_centre = 2, .workers_per_data_centre = 2});
    w.run_for(2s);
    w.insert_unannounced_job(job_a, cell_id("a"), lasting_spec(6, 4000));
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 6; }, 5s));
    for (int i = 0; i < 4; ++i) {
        w.kill_entry(i);
    }
    w.evacuate("a");
    const std::int64_t starts = count_starts_in(w, "a");
    w.run_for(500ms);
    for (int i = 0; i < 4; ++i) {
        w.start_entry(i);
    }
    for (int i = 0; i < 3; ++i) {
        w.run_for(4s);
        w.fail_run({job_id(job_a), 0, 0, i});
    }
    w.run_for(4s);
    BOOST_TEST(w.count_running_tasks(job_a) == 6);
    BOOST_TEST(count_starts_in(w, "a") == starts);
    check_no_violations(w);
}

// Guards against entries that the table turns away: they hear of evacuations from their peers.
BOOST_AUTO_TEST_CASE(an_entry_that_the_table_turns_away_hears_of_evacuations_from_its_peers)
{
    flow_simulation w({.data_centres = {"a", "b"}, .entries_per_data_centre = 2, .workers_per_data_centre = 2});
    w.run_for(2s);
    w.cut_entry_from_table(0, true);
    w.cut_entry_from_table(1, true);
    w.run_for(3s);
    w.evacuate("a");
    w.run_for(known_within + 500ms);
    const std::int64_t starts = count_starts_in(w, "a");
    w.insert_unannounced_job(job_a, cell_id("a"), chain_spec(2, 6, 2000));
    w.run_for(8s);
    BOOST_TEST(count_starts_in(w, "a") == starts);
    BOOST_TEST(w.stored_outcome(job_a) == 1);
    check_no_violations(w);
}

// Guards against an evacuation that is written or taken back while the table discards its history.
BOOST_AUTO_TEST_CASE(evacuations_are_read_again_after_the_history_was_lost)
{
    flow_simulation w({.data_centres = {"a", "b"}, .workers_per_data_centre = 2});
    w.run_for(2s);
    w.evacuate("b");
    w.run_for(known_within);
    w.discard_operator_history();
    w.evacuate("a");
    w.take_back("b");
    w.run_for(known_within);
    const std::int64_t starts = count_starts_in(w, "a");
    w.insert_unannounced_job(job_a, cell_id("a"), chain_spec(1, 6, 2000));
    w.run_for(6s);
    BOOST_TEST(count_starts_in(w, "a") == starts);
    BOOST_TEST(w.stored_outcome(job_a) == 1);
    check_no_violations(w);
}

// Guards against starts by an entry that was suspended while a data centre was evacuated.
BOOST_AUTO_TEST_CASE(an_entry_that_was_suspended_starts_nothing_by_old_knowledge)
{
    flow_simulation w({.data_centres = {"a"}, .entries_per_data_centre = 1, .workers_per_data_centre = 2});
    w.run_for(2s);
    w.insert_unannounced_job(job_a, cell_id("a"), chain_spec(40, 4, 2000));
    w.run_for(2500ms);
    w.pause_entry(0);
    w.run_for(100ms);
    w.evacuate("a");
    w.run_for(7s);
    w.resume_entry(0);
    w.run_for(5s);
    check_no_violations(w);
}

// Guards against a start that was sent before the evacuation and is repeated after it.
BOOST_AUTO_TEST_CASE(a_start_without_an_answer_is_not_repeated_in_an_evacuated_data_centre)
{
    flow_simulation w({.data_centres = {"a", "b"}, .workers_per_data_centre = 2});
    w.run_for(2s);
    w.delay_next_starts(40, 30s);
    w.insert_unannounced_job(job_a, cell_id("a"), chain_spec(1, 4, 2000));
    BOOST_REQUIRE(w.run_until([&] { return w.count_log_events("run", "placed") > 0; }, 5s));
    w.evacuate("a");
    w.run_for(known_within);
    w.delay_next_starts(0, 0s);
    w.run_for(8s);
    BOOST_TEST(count_starts_in(w, "a") == 0);
    BOOST_TEST(w.stored_outcome(job_a) == 1);
    check_no_violations(w);
}

// Guards against an owner that stops serving because the table is down, when nobody can evacuate anything.
BOOST_AUTO_TEST_CASE(starts_go_on_while_the_table_is_down)
{
    flow_simulation w({.data_centres = {"a", "b"}, .workers_per_data_centre = 2});
    w.run_for(2s);
    w.insert_unannounced_job(job_a, cell_id("a"), chain_spec(1, 300, 4000));
    w.run_for(1s);
    w.set_table_down(true);
    w.run_for(6s);
    const std::int64_t running = count_running_in(w, "a") + count_running_in(w, "b");
    BOOST_TEST(running > 0);
    w.set_table_down(false);
    w.run_for(2s);
    check_no_violations(w);
}

// Evacuations beside takeovers, restarts, pauses, cuts, slow tables and lost histories, from a seed.
BOOST_AUTO_TEST_CASE(nothing_starts_in_evacuated_data_centres_whatever_else_happens)
{
    constexpr std::uint64_t seeds = 12;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            flow_simulation w({.seed = seed,
                               .data_centres = {"a", "b", "c"},
                               .entries_per_data_centre = 2,
                               .workers_per_data_centre = 3,
                               .gang_start_barrier = true,
                               .gang_timeouts_allowed = true});
            random_source random = make_random(seed * 7919);
            const auto pick = [&](int n) { return static_cast<int>(random() % static_cast<std::uint64_t>(n)); };
            const std::vector<std::string> data_centres{"a", "b", "c"};
            std::set<std::string> evacuated;
            std::set<int> down;
            std::set<int> paused;
            std::set<int> cut;
            std::vector<std::string> jobs; // those that end by themselves
            int submitted = 0;
            w.run_for(3s);
            const auto submit = [&] {
                const std::string job = fmt::format("{:016x}", ++submitted);
                const cell_id home(data_centres[static_cast<std::size_t>(pick(3))]);
                const int kind = submitted % 10 == 0 ? 0 : 1 + pick(3);
                w.insert_unannounced_job(job, home,
                                         kind == 0   ? lasting_spec(2, 2000)
                                         : kind == 1 ? filling_spec(2, 3, 2000)
                                         : kind == 2 ? gang_spec(3, 2000)
                                                     : chain_spec(3, 3, 1500));
                if (kind != 0) {
                    jobs.push_back(job);
                }
            };
            for (int round = 0; round < 100; ++round) {
                w.run_for(200ms);
                submit();
                const std::string& target = data_centres[static_cast<std::size_t>(pick(3))];
                switch (pick(9)) {
                case 0:
                case 1:
                    if (evacuated.erase(target) != 0) {
                        w.take_back(target);
                    }
                    else {
                        evacuated.insert(target);
                        w.evacuate(target);
                    }
                    break;
                case 2:
                    if (down.empty()) {
                        down.insert(pick(6));
                        w.kill_entry(*down.begin());
                    }
                    break;
                case 3:
                    if (paused.empty() && down.empty()) {
                        paused.insert(pick(6));
                        w.pause_entry(*paused.begin());
                    }
                    break;
                case 4:
                    for (const int entry : std::exchange(down, {})) {
                        w.start_entry(entry);
                    }
                    break;
                case 5:
                    for (const int entry : std::exchange(paused, {})) {
                        w.resume_entry(entry, pick(2) == 0);
                    }
                    break;
                case 6:
                    if (cut.empty()) {
                        cut.insert(pick(6));
                        w.cut_entry_from_table(*cut.begin(), true);
                    }
                    else {
                        w.cut_entry_from_table(*cut.begin(), false);
                        cut.clear();
                    }
                    break;
                case 7:
                    w.set_table_latency(pick(2) == 0 ? duration(8ms) : duration(240ms));
                    break;
                default:
                    w.discard_operator_history();
                    break;
                }
            }
            for (const int entry : down) {
                w.start_entry(entry);
            }
            for (const int entry : paused) {
                w.resume_entry(entry);
            }
            for (const int entry : cut) {
                w.cut_entry_from_table(entry, false);
            }
            for (const std::string& data_centre : evacuated) {
                w.take_back(data_centre);
            }
            w.set_table_latency(8ms);
            const auto all_done = [&] {
                return std::all_of(jobs.begin(), jobs.end(),
                                   [&](const std::string& job) { return w.stored_outcome(job) == 1; });
            };
            BOOST_TEST(w.run_until(all_done, 40s));
            check_no_violations(w);
        }
    }
}
