// Tests that a write which an entry finds applied, because its answer was lost or another entry wrote it, has all of
// its effects. The watches that would make up for a lost message are not answered in these tests.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>

#include "base_random_p.h"
#include "flow_row_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job_a = "00000000000000aa";

int owner_of(flow_simulation& w)
{
    for (int i = 0; i < 3; ++i) {
        if (w.entry(i) != nullptr && w.entry(i)->cells().at(cell_id("a"))->owns()) {
            return i;
        }
    }
    BOOST_FAIL("nobody owns the cell");
    return -1;
}

bool writes_cancel(const store_transaction& t)
{
    return std::any_of(t.puts.begin(), t.puts.end(),
                       [](const store_put& put) { return put.key == index_cancel_key(job_id(job_a)); });
}

bool writes_acceptance(const store_transaction& t)
{
    return std::any_of(t.puts.begin(), t.puts.end(), [](const store_put& put) {
        return put.key == job_row_key(accepted_row(cell_id("a"), job_id(job_a)));
    });
}

bool writes_withdrawal(const store_transaction& t)
{
    return std::any_of(t.puts.begin(), t.puts.end(),
                       [](const store_put& put) { return put.key == withdrawn_key(job_id(job_a)); });
}

bool writes_own_row(const store_transaction& t)
{
    return std::any_of(t.puts.begin(), t.puts.end(), [](const store_put& put) {
        return put.key == job_row_key(own_row(cell_id("a"), job_id(job_a)));
    });
}

bool writes_cell(const store_transaction& t)
{
    return std::any_of(t.puts.begin(), t.puts.end(),
                       [](const store_put& put) { return put.key == cell_key(cell_id("a")); });
}

bool writes_late_ends(const store_transaction& t)
{
    return std::any_of(t.puts.begin(), t.puts.end(),
                       [](const store_put& put) { return parse_job_row_key(put.key).writer.starts_with("!ends-"); });
}

// Three entries, one of which owns the cell. The watches of news are lost.
struct three_entries {
    flow_simulation w{{.entries_per_data_centre = 3}};
    int owner = -1;
    int first = -1; // the other entries
    int second = -1;

    three_entries()
    {
        w.run_for(2s);
        owner = owner_of(w);
        first = (owner + 1) % 3;
        second = (owner + 2) % 3;
        w.drop_job_watches(true);
        w.run_for(2s); // a watch that was sent before has been answered
    }
    // Accepts the job at the first entry and kills it before the answer to its write comes.
    void lose_entry_that_accepts()
    {
        w.drop_next_answers_to(1, writes_acceptance);
        w.send_submit(first, job_a, lasting_spec(12));
        w.run_for(50ms);
        w.kill_entry(first);
    }
    // Returns how many of the twelve tasks run after the time that an owner that was told of the job needs at most.
    std::int64_t tasks_started()
    {
        w.run_until([&] { return w.count_running_tasks(job_a) == 12; }, 1s);
        return w.count_running_tasks(job_a);
    }
};

// The same, with a job of twelve tasks that run.
struct running_job : three_entries {
    running_job()
    {
        BOOST_REQUIRE(w.submit(first, job_a, lasting_spec(12)) == caller_result::accepted);
        BOOST_REQUIRE(tasks_started() == 12);
    }
    // Returns how many tasks still run after the time that an owner that was told of the cancel needs at most.
    std::int64_t tasks_left()
    {
        w.run_until([&] { return w.count_running_tasks(job_a) == 0; }, 1s);
        return w.count_running_tasks(job_a);
    }
};

// Three entries, and a job whose acceptance is applied six seconds after it was sent, and whose caller got no answer.
struct late_acceptance : three_entries {
    late_acceptance()
    {
        w.drop_job_watches(false);
        w.delay_writes(6s, writes_acceptance);
        BOOST_TEST((w.submit(first, job_a, lasting_spec(12)) == caller_result::outcome_unknown));
    }
    void check_never_runs()
    {
        w.run_until([&] { return w.count_running_tasks(job_a) > 0; }, 10s);
        BOOST_TEST(w.count_running_tasks(job_a) == 0);
        check_no_violations(w);
    }
};

} // namespace

// The answer to the write of a cancel is lost, and the entry takes the cancel that it finds at its next try for done.
BOOST_AUTO_TEST_CASE(a_cancel_whose_answer_is_lost_reaches_the_owner)
{
    running_job r;
    r.w.drop_next_answers_to(1, writes_cancel);
    BOOST_TEST((r.w.cancel(r.first, job_a) == caller_result::cancelled));
    BOOST_TEST(r.tasks_left() == 0);
    check_no_violations(r.w);
}

// The entry that wrote a cancel is killed before the answer comes, and the caller repeats the cancel at another one.
BOOST_AUTO_TEST_CASE(a_cancel_that_is_repeated_at_another_entry_reaches_the_owner)
{
    running_job r;
    r.w.drop_next_answers_to(1, writes_cancel);
    r.w.send_cancel(r.first, job_a);
    r.w.run_for(50ms);
    r.w.kill_entry(r.first);
    BOOST_TEST((r.w.cancel(r.second, job_a) == caller_result::cancelled));
    BOOST_TEST(r.tasks_left() == 0);
    check_no_violations(r.w);
}

// A cancel that callers repeat at every entry is taken for a new one by the owner that has carried it out.
BOOST_AUTO_TEST_CASE(a_repeated_cancel_changes_nothing_at_an_owner_that_knows_it)
{
    running_job r;
    BOOST_TEST((r.w.cancel(r.first, job_a) == caller_result::cancelled));
    BOOST_TEST(r.tasks_left() == 0);
    const std::int64_t starts = r.w.count_job_starts(job_a);
    const std::int64_t writes = r.w.count_log_events("job", "cancelled");
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST((r.w.cancel(i, job_a) == caller_result::cancelled));
        r.w.run_for(500ms);
    }
    BOOST_TEST(r.w.count_log_events("job", "cancelled") == writes);
    BOOST_TEST(r.w.count_job_starts(job_a) == starts);
    check_no_violations(r.w);
}

// The answer to the write of a job is lost, and the entry takes the job that it finds at its next try for bound.
BOOST_AUTO_TEST_CASE(a_job_whose_answer_is_lost_reaches_the_owner)
{
    three_entries r;
    r.w.drop_next_answers_to(1, writes_acceptance);
    BOOST_TEST((r.w.submit(r.first, job_a, lasting_spec(12)) == caller_result::accepted));
    BOOST_TEST(r.tasks_started() == 12);
    check_no_violations(r.w);
}

// The entry that wrote a job is killed before the answer comes, and the caller repeats the request at another one.
BOOST_AUTO_TEST_CASE(a_job_that_is_repeated_at_another_entry_reaches_the_owner)
{
    three_entries r;
    r.lose_entry_that_accepts();
    BOOST_TEST((r.w.submit(r.second, job_a, lasting_spec(12)) == caller_result::accepted));
    BOOST_TEST(r.tasks_started() == 12);
    check_no_violations(r.w);
}

// The same, where the other entry would refuse the job and finds that it is accepted.
BOOST_AUTO_TEST_CASE(a_job_that_is_repeated_at_an_entry_that_stops_reaches_the_owner)
{
    three_entries r;
    r.lose_entry_that_accepts();
    r.w.entry(r.second)->plan_stop(r.w.now());
    BOOST_TEST((r.w.submit(r.second, job_a, lasting_spec(12)) == caller_result::accepted));
    BOOST_TEST(r.tasks_started() == 12);
    check_no_violations(r.w);
}

// The same, where the other entry knows the job from a query of its state.
BOOST_AUTO_TEST_CASE(a_job_that_is_repeated_at_an_entry_that_told_its_state_reaches_the_owner)
{
    three_entries r;
    r.lose_entry_that_accepts();
    BOOST_TEST((r.w.state(r.second, job_a) == flow_state::queued));
    BOOST_TEST((r.w.submit(r.second, job_a, lasting_spec(12)) == caller_result::accepted));
    BOOST_TEST(r.tasks_started() == 12);
    check_no_violations(r.w);
}

// The entry at which the request is repeated would choose another cell than the one that the job is bound to.
BOOST_AUTO_TEST_CASE(a_repeated_job_reaches_the_owner_of_the_cell_that_it_is_bound_to)
{
    flow_simulation w({.data_centres = {"a", "b"}, .entries_per_data_centre = 1});
    w.run_for(4s);
    w.drop_job_watches(true);
    w.run_for(2s);
    w.insert_unannounced_job(job_a, cell_id("b"), chain_spec(1, 6));
    BOOST_REQUIRE(w.entry(0)->cells().at(cell_id("a"))->owns());
    BOOST_TEST((w.submit(0, job_a, chain_spec(1, 6)) == caller_result::accepted));
    BOOST_TEST(w.run_until([&] { return w.stored_outcome(job_a) == 1; }, 2s));
    BOOST_TEST(w.worker(3).starts + w.worker(4).starts + w.worker(5).starts == 6); // the workers of the cell b
    check_no_violations(w);
}

// An owner that was replaced writes the ends of runs that its follower cannot learn, as their worker is gone. The
// answer is lost, and at the next try the owner takes what it finds for told: the follower starts the tasks again.
BOOST_AUTO_TEST_CASE(late_ends_whose_answer_is_lost_reach_the_owner)
{
    flow_simulation w({.entries_per_data_centre = 3,
                       .run_time = [](const flow_task_id&) { return duration(700ms); },
                       .sent_ends_are_known = true,
                       .holds_wait = true});
    w.run_for(3s);
    BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 12)) == caller_result::accepted);
    BOOST_REQUIRE(w.run_until([&] { return w.count_running_tasks(job_a) == 12; }, 1s));
    w.run_for(200ms);
    const int replaced = owner_of(w);
    w.pause_entry(replaced); // the answers to its holds, which list the ends, arrive at a paused process
    w.run_for(800ms);
    BOOST_REQUIRE(w.count_running_tasks(job_a) == 0);
    w.crash_worker(0, false);
    BOOST_REQUIRE(w.run_until([&] { return w.count_owners("a") == 2; }, 5s)); // the paused one does not know
    w.run_for(1s);
    w.drop_job_watches(true);
    w.drop_next_answers_to(1, writes_late_ends);
    w.resume_entry(replaced);
    BOOST_TEST(w.run_until([&] { return w.stored_outcome(job_a) == 1; }, 20s));
    BOOST_TEST(w.count_job_starts(job_a) == 12);
    check_no_violations(w);
}

// The table applies each write of the owner and loses the answer. The starts of lasting tasks, which follow the write
// that records them, wait until a write is answered, although the first one is in the table.
BOOST_AUTO_TEST_CASE(starts_whose_record_is_found_written_are_sent)
{
    three_entries r;
    r.w.drop_next_answers_to(8, writes_own_row);
    BOOST_TEST((r.w.submit(r.first, job_a, lasting_spec(12)) == caller_result::accepted));
    r.w.run_until([&] { return r.w.count_running_tasks(job_a) == 12; }, 2s); // one write without an answer and the next
    BOOST_TEST(r.w.count_running_tasks(job_a) == 12);
    check_no_violations(r.w);
}

namespace {

// A job of the cell a, with room for three of its eight tasks there. The watches of news are lost.
struct two_cells {
    flow_simulation w{{.data_centres = {"a", "b"}, .entries_per_data_centre = 1, .run_time = [](const flow_task_id&) {
                           return duration(60s);
                       }}};
    two_cells()
    {
        w.run_for(4s);
        w.drop_job_watches(true);
        w.run_for(2s);
        for (int i = 0; i < 3; ++i) {
            w.set_worker_capacity(i, {1000, 64000, 0}, duration(0)); // the workers of the cell a
        }
        w.run_for(2s);
        w.insert_unannounced_job(job_a, cell_id("a"), chain_spec(1, 8));
        BOOST_REQUIRE(w.submit(0, job_a, chain_spec(1, 8)) == caller_result::accepted);
        w.run_for(500ms); // the row that tells that the job has started is written
    }
    std::int64_t running() const { return w.count_running_tasks(job_a); }
};

} // namespace

// The same with tasks that move to another cell, whose owner is notified once the row is written.
BOOST_AUTO_TEST_CASE(moves_that_are_found_written_reach_the_other_cell)
{
    two_cells r;
    r.w.drop_next_answers_to(8, writes_own_row);
    BOOST_REQUIRE(r.w.run_until([&] { return r.w.count_log_events("task", "given_away") == 5; }, 1s));
    r.w.run_until([&] { return r.running() == 8; }, 2s);
    BOOST_TEST(r.running() == 8);
    check_no_violations(r.w);
}

// The same with a cancel, which the owner of the job's cell passes on to the other cell.
BOOST_AUTO_TEST_CASE(a_cancel_that_is_found_written_reaches_the_other_cell)
{
    two_cells r;
    BOOST_REQUIRE(r.w.run_until([&] { return r.running() == 8; }, 2s));
    r.w.drop_next_answers_to(8, writes_own_row);
    BOOST_TEST((r.w.cancel(0, job_a) == caller_result::cancelled));
    r.w.run_until([&] { return r.running() == 0; }, 2s);
    BOOST_TEST(r.running() == 0);
    check_no_violations(r.w);
}

// The table applies the renewals of an owner and loses the answers. No other entry takes the cell, and the owner, which
// does not know that it has renewed, sends no orders.
BOOST_AUTO_TEST_CASE(an_owner_whose_renewals_are_found_written_sends_orders)
{
    three_entries r;
    r.w.drop_next_answers_to(20, writes_cell);
    r.w.run_for(4s);
    BOOST_TEST((r.w.submit(r.first, job_a, lasting_spec(12)) == caller_result::accepted));
    BOOST_TEST(r.tasks_started() == 12);
    BOOST_TEST(owner_of(r.w) == r.owner);
    check_no_violations(r.w);
}

// The write of a job is applied long after it was sent. A cancel is answered meanwhile that there is no such job, which
// acknowledges the cancel, and the job runs all the same.
BOOST_AUTO_TEST_CASE(a_job_that_is_written_after_its_cancel_does_not_run)
{
    late_acceptance r;
    BOOST_TEST((r.w.cancel(r.second, job_a) == caller_result::unknown_job));
    r.check_never_runs();
}

// Guards against a job that runs although its cancel was answered "no such job", when its caller's request arrives
// again at another entry.
BOOST_AUTO_TEST_CASE(a_job_that_is_handed_in_again_after_its_cancel_does_not_run)
{
    three_entries r;
    BOOST_TEST((r.w.cancel(r.second, job_a) == caller_result::unknown_job));
    BOOST_TEST((r.w.submit(r.first, job_a, lasting_spec(12)) == caller_result::rejected));
    BOOST_TEST((r.w.submit(r.owner, job_a, lasting_spec(12)) == caller_result::rejected));
    BOOST_TEST((r.w.cancel(r.first, job_a) == caller_result::unknown_job));
    BOOST_TEST(!r.w.state(r.first, job_a).has_value());
    BOOST_TEST(r.tasks_started() == 0);
    check_no_violations(r.w);
}

// Guards against a job that runs although its caller was told at the second try that it never does: the write of the
// first try is applied later.
BOOST_AUTO_TEST_CASE(a_job_that_is_refused_while_an_earlier_write_of_it_is_late_does_not_run)
{
    late_acceptance r;
    r.w.entry(r.second)->plan_stop(r.w.now());
    BOOST_TEST((r.w.submit(r.second, job_a, lasting_spec(12)) == caller_result::rejected));
    r.check_never_runs();
}

// Guards against a job that no entry takes any more, since one of them refused it before.
BOOST_AUTO_TEST_CASE(a_job_that_was_refused_is_accepted_later)
{
    three_entries r;
    r.w.drop_job_watches(false);
    r.w.entry(r.second)->plan_stop(r.w.now());
    for (int i = 0; i < 2; ++i) {
        BOOST_TEST((r.w.submit(r.second, job_a, lasting_spec(12)) == caller_result::rejected));
    }
    BOOST_TEST((r.w.submit(r.first, job_a, lasting_spec(12)) == caller_result::accepted));
    BOOST_TEST((r.w.submit(r.second, job_a, lasting_spec(12)) == caller_result::accepted));
    BOOST_TEST(r.tasks_started() == 12);
    check_no_violations(r.w);
}

// Guards against a cancel that is undone by a refusal that comes after it.
BOOST_AUTO_TEST_CASE(a_job_that_was_cancelled_and_then_refused_is_not_accepted)
{
    three_entries r;
    BOOST_TEST((r.w.cancel(r.first, job_a) == caller_result::unknown_job));
    r.w.entry(r.second)->plan_stop(r.w.now());
    BOOST_TEST((r.w.submit(r.second, job_a, lasting_spec(12)) == caller_result::rejected));
    BOOST_TEST((r.w.submit(r.first, job_a, lasting_spec(12)) == caller_result::rejected));
    BOOST_TEST(r.tasks_started() == 0);
    check_no_violations(r.w);
}

// Guards against "no such job" while nothing in the table keeps the job from running yet.
BOOST_AUTO_TEST_CASE(a_cancel_whose_write_gets_no_answer_is_not_answered_with_no_such_job)
{
    three_entries r;
    r.w.delay_writes(6s, writes_withdrawal);
    BOOST_TEST((r.w.cancel(r.second, job_a) == caller_result::retry_later));
    BOOST_TEST((r.w.submit(r.first, job_a, lasting_spec(12)) == caller_result::accepted));
    BOOST_TEST(r.tasks_started() == 12);
    r.w.run_for(8s);
    BOOST_TEST(r.w.count_running_tasks(job_a) == 12);
    BOOST_TEST((r.w.cancel(r.second, job_a) == caller_result::cancelled));
    r.w.run_until([&] { return r.w.count_running_tasks(job_a) == 0; }, 3s);
    BOOST_TEST(r.w.count_running_tasks(job_a) == 0);
    check_no_violations(r.w);
}

// Guards against a cancel that is lost, or answered with "no such job", because its job is accepted as it is written.
BOOST_AUTO_TEST_CASE(a_cancel_that_finds_its_job_accepted_meanwhile_cancels_it)
{
    for (const duration apart : {0ms, 2ms, 4ms, 6ms, 8ms, 10ms, 12ms, 14ms, 16ms, 18ms, 20ms}) {
        BOOST_TEST_CONTEXT("cancel " << apart.count() / 1000 << " ms after the submit")
        {
            three_entries r;
            r.w.drop_job_watches(false);
            r.w.send_submit(r.first, job_a, lasting_spec(12));
            r.w.run_for(apart);
            const caller_result answer = r.w.cancel(r.second, job_a);
            r.w.run_for(6s);
            const bool accepted = r.w.answers().at(job_a).front() == caller_result::accepted;
            BOOST_TEST((answer == (accepted ? caller_result::cancelled : caller_result::unknown_job)));
            BOOST_TEST(r.w.count_running_tasks(job_a) == 0);
            check_no_violations(r.w);
        }
    }
}

// Guards against jobs that run although they were cancelled, or do not run although they were accepted, while writes of
// both are applied late or get no answer.
BOOST_AUTO_TEST_CASE(a_cancel_and_an_acceptance_agree_while_writes_are_applied_late)
{
    each_seed(100, [](std::uint64_t seed) {
        flow_simulation w({.seed = seed, .entries_per_data_centre = 3});
        random_source random = make_random(seed * 17);
        w.run_for(4s);
        const auto of_callers = [](const store_transaction& t) {
            return std::any_of(t.puts.begin(), t.puts.end(),
                               [](const store_put& put) { return put.key.table == index_table; });
        };
        w.delay_writes(duration(absl::Uniform<std::int64_t>(random, 1'000'000, 6'000'000)),
                       [&](const auto& t) { return of_callers(t) && absl::Bernoulli(random, 0.35); });
        std::map<std::string, caller_result> cancels;
        for (int i = 0; i < 20; ++i) {
            const std::string job = fmt::format("{:016x}", 0xa0 + i);
            w.send_submit(i % 3, job, lasting_spec(2, 100));
            w.run_for(duration(absl::Uniform<std::int64_t>(random, 0, 400'000)));
            if (i % 2 == 0) {
                cancels[job] = w.cancel((i + 1) % 3, job);
            }
        }
        w.delay_writes(0s, [](const store_transaction&) { return false; });
        w.run_for(12s);
        for (int i = 0; i < 20; ++i) {
            const std::string job = fmt::format("{:016x}", 0xa0 + i);
            const auto cancel = cancels.find(job);
            const bool acknowledged = cancel != cancels.end() && cancel->second != caller_result::retry_later;
            const auto& answers = w.answers();
            const bool accepted = answers.count(job) != 0 && answers.at(job).front() == caller_result::accepted;
            if (acknowledged) {
                BOOST_TEST(w.count_running_tasks(job) == 0, job << " runs after its cancel");
            }
            if (accepted && cancel == cancels.end()) {
                BOOST_TEST(w.count_running_tasks(job) == 2, job << " was accepted and does not run");
            }
        }
        check_no_violations(w);
    });
}

// Guards against effects that go missing, or come twice, where lost answers, cancels, moves and restarts meet.
BOOST_AUTO_TEST_CASE(no_effect_goes_missing_while_answers_are_lost)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            flow_simulation w({.seed = seed,
                               .data_centres = {"a", "b"},
                               .entries_per_data_centre = 2,
                               .worker_cpu_millis = 6000,
                               .run_time = [](const flow_task_id& t) { return duration(400ms * (1 + t.index % 5)); }});
            random_source random = make_random(seed * 31);
            w.run_for(4s);
            std::vector<std::string> uncancelled;
            for (int round = 0; round < 12; ++round) {
                const std::string job = fmt::format("{:016x}", seed * 100 + static_cast<std::uint64_t>(round));
                const int entry = absl::Uniform(random, 0, 4);
                if (w.entry(entry) == nullptr) {
                    w.start_entry(entry);
                    w.run_for(800ms);
                }
                w.drop_next_answers_to(absl::Uniform(random, 0, 6), [](const store_transaction&) { return true; });
                const bool accepted = w.submit(entry, job, chain_spec(2, 8)) == caller_result::accepted;
                w.run_for(std::chrono::milliseconds(absl::Uniform(random, 0, 1500)));
                w.drop_next_answers_to(absl::Uniform(random, 0, 6), [](const store_transaction&) { return true; });
                if (accepted && absl::Uniform(random, 0, 2) == 0) {
                    w.cancel(entry, job);
                }
                else if (accepted) {
                    uncancelled.push_back(job);
                }
                if (absl::Uniform(random, 0, 4) == 0) {
                    w.kill_entry(absl::Uniform(random, 0, 4));
                }
            }
            w.drop_next_answers_to(0, {});
            for (int i = 0; i < 4; ++i) {
                if (w.entry(i) == nullptr) {
                    w.start_entry(i);
                }
            }
            for (const std::string& job : uncancelled) {
                BOOST_TEST(w.run_until([&] { return w.state(0, job) == flow_state::done; }, 60s));
            }
            check_no_violations(w);
        }
    }
}
