// Workers that start again under their ids, on the product's own path; driven by hand in virtual time.
#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

#include "support_cell_hand.h"

using namespace skylarkhub;
using namespace skylarkhub::hand;

namespace {

const cell_settings defaults;

std::vector<worker_request> requests_to(const driver& d, const std::string& worker)
{
    std::vector<worker_request> found;
    for (const send_worker& sent : d.all<send_worker>()) {
        if (sent.request.worker.str() == worker) {
            found.push_back(sent.request);
        }
    }
    return found;
}

bool has_start(const worker_request& request)
{
    return std::any_of(request.commands.begin(), request.commands.end(),
                       [](const worker_command& command) { return std::holds_alternative<task_start>(command); });
}

// A new owner that can't read its jobs yet hears from a worker that the task has finished there.
void tell_end_before_jobs_are_read(driver& d)
{
    d.job_rows = {{job_key(the_cell, job_id("j")), encode_row(make_job("j", 1)), row_version(1), operation_id("x")}};
    d.jobs_unreadable = true;
    worker_hand& w = d.workers["w1"];
    task_start ran{{job_id("j"), 0}, attempt_number((7 << 20) + 5), worker_time(), {}, {}, "", false};
    w.tasks = {report_task(ran, task_state::finished)};
    d.write_row(make_row(7, other, {self.str()}, {"w1"}), "other.1");
    d.give(cell_members_seen{{self, other}});
    d.list({"w1"});
    while (w.requests.size() < 2) {
        d.tick(50ms);
        BOOST_REQUIRE(d.now < instant(1100s));
    }
}

} // namespace

// A worker that left as planned and is back under its id passed for one that had crashed, and what had run there to the
// end of its patience was charged with it.
BOOST_AUTO_TEST_CASE(a_planned_restart_is_charged_to_nothing)
{
    driver d;
    d.own({"w1"}, {submit(make_job("j", 2))});
    worker_hand& w = d.workers["w1"];
    for (int restart = 1; restart <= 3; ++restart) {
        d.run(3s);
        BOOST_REQUIRE_EQUAL(w.tasks.size(), 2U);
        w.leaving = true;
        while (w.told<task_checkpoint>().size() < 2U * static_cast<std::size_t>(restart)) {
            d.tick(50ms);
        }
        w.restart("b" + std::to_string(restart));
        d.run(4s);
        const wire::job_row job = d.job_written("j");
        for (const wire::task_row& task : job.tasks) {
            BOOST_TEST(task.crashes.size() == 0U);
        }
    }
    BOOST_TEST(d.c.jobs().at(0).parked == 0);
}

// A new owner was told of an end before it had read its jobs; then the worker started again and told of nothing, and
// the task ran again.
BOOST_AUTO_TEST_CASE(an_end_that_is_told_before_the_jobs_are_read_outlasts_its_worker)
{
    driver d;
    tell_end_before_jobs_are_read(d);
    worker_hand& w = d.workers["w1"];
    w.restart("b2");
    d.run(3s);
    d.jobs_unreadable = false;
    d.run(15s);
    BOOST_TEST(d.c.jobs().at(0).finished == 1);
    BOOST_TEST(w.told<task_start>().empty());
}

// The same where the worker is gone for good: its entry in the list went, and the end with it.
BOOST_AUTO_TEST_CASE(an_end_that_is_told_before_the_jobs_are_read_outlasts_its_entry_in_the_list)
{
    driver d;
    tell_end_before_jobs_are_read(d);
    d.workers["w1"].silent = true;
    d.list({"w2"});
    d.run(3s);
    d.list({"w2"});
    d.jobs_unreadable = false;
    d.run(15s);
    BOOST_TEST(d.c.jobs().at(0).finished == 1);
    BOOST_TEST(d.workers["w2"].told<task_start>().empty());
}

// An order to the life before arrives at the next one, while its task runs elsewhere.
BOOST_AUTO_TEST_CASE(late_requests_to_the_life_before_start_nothing)
{
    driver d;
    d.own({"w1"});
    worker_hand& first = d.workers["w1"];
    first.slow = true;
    d.hand_in({submit(make_job("j", 1))});
    const std::vector<worker_request> late = requests_to(d, "w1");
    BOOST_REQUIRE(std::any_of(late.begin(), late.end(), &has_start));
    d.list({"w1", "w2"});
    first.restart("b2");
    const instant begin = d.now;
    while (d.workers["w2"].tasks.empty()) {
        d.tick(50ms);
        BOOST_REQUIRE(d.now < begin + 2 * defaults.lease_length);
    }
    for (const worker_request& request : late) {
        first.take(request);
        BOOST_TEST(first.tasks.empty());
    }
    first.slow = false;
    d.run(5s);
    for (const worker_request& request : late) {
        BOOST_TEST(!first.take(request));
    }
    BOOST_TEST(first.tasks.empty());
    BOOST_TEST(d.workers["w2"].tasks.size() == 1U);
}

// An answer of the life before arrives after the next one has answered, and its tasks passed for running.
BOOST_AUTO_TEST_CASE(late_answers_of_the_life_before_tell_nothing)
{
    driver d;
    d.own({"w1"}, {submit(make_job("j", 1))});
    d.run(2s);
    worker_hand& w = d.workers["w1"];
    const worker_request& request = w.requests.back();
    const worker_report stale = d.report_of(w, request);
    const sequence_number sequence = request.sequence;
    w.restart("b2");
    d.run(4s);
    BOOST_REQUIRE_EQUAL(w.tasks.size(), 1U);
    const attempt_number attempt = w.tasks.front().attempt;
    BOOST_TEST((attempt > stale.tasks.at(0).attempt));
    d.give(cell_worker_answered{worker_id("w1"), sequence, d.now, stale});
    d.run(4s);
    BOOST_REQUIRE_EQUAL(w.tasks.size(), 1U);
    BOOST_TEST((w.tasks.front().attempt == attempt));
    BOOST_TEST(w.requests.back().boot == "b2");
    BOOST_TEST(d.c.jobs().at(0).running == 1);
}

// The table is out while a worker tells of an end and then starts again: the end is written once the table is back, and
// the task runs no second time.
BOOST_AUTO_TEST_CASE(an_end_that_is_not_written_yet_outlasts_its_worker)
{
    driver d;
    d.own({"w1"}, {submit(make_job("j", 1))});
    worker_hand& w = d.workers["w1"];
    const std::size_t starts = w.told<task_start>().size();
    d.mood = table_mood::down;
    w.tasks.at(0).state = task_state::finished;
    d.run(1500ms);
    w.restart("b2");
    d.run(1500ms);
    d.mood = table_mood::up;
    d.run(4s);
    BOOST_TEST(d.job_written("j").tasks.at(0).phase == wire::task_phase_row::finished);
    BOOST_TEST(w.told<task_start>().size() == starts);
}

// Workers start again at any time, seen and unseen, while requests are lost and arrive late: leases are given in the
// clock of the life that gets them, no task runs twice at a time, none runs after an end that was told, and all end.
BOOST_AUTO_TEST_CASE(restarts_at_any_time_start_no_task_twice)
{
    const std::vector<std::string> names{"w1", "w2", "w3"};
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        std::mt19937_64 random(seed);
        const auto one_in = [&](std::uint64_t n) { return random() % n == 0; };
        driver d;
        d.own(names, {submit(make_job("j", 20, 1500))});
        std::vector<worker_request> late;
        int boots = 0;
        int twice = 0;
        int beyond_lease = 0;
        std::set<std::int32_t> told; // tasks whose end was told
        int after_end = 0;
        for (int step = 0; step < 2400; ++step) {
            d.log.clear();
            d.tick(50ms);
            const bool calm = step > 1600;
            for (const std::string& name : names) {
                worker_hand& w = d.workers[name];
                for (const worker_request& request : requests_to(d, name)) {
                    if (one_in(2)) {
                        late.push_back(request);
                    }
                }
                if (!calm && one_in(60)) {
                    w.restart("b" + std::to_string(++boots));
                }
                w.silent = !calm && (w.silent ? !one_in(10) : one_in(60));
                w.deaf_owner = !calm && one_in(20);
                const worker_time clock(d.now.time_since_epoch() + w.clock_offset);
                for (task_report& task : w.tasks) {
                    beyond_lease += task.lease_until > clock + defaults.lease_length ? 1 : 0;
                    after_end += task.state == task_state::running && told.contains(task.task.index) ? 1 : 0;
                    if (task.state == task_state::running && one_in(40)) {
                        task.state = task_state::finished;
                    }
                }
            }
            if (late.size() > 40) {
                const worker_request request = late.at(random() % late.size());
                d.workers[request.worker.str()].take(request);
                late.erase(late.begin());
            }
            std::map<task_id, int> running;
            for (const std::string& name : names) {
                for (const task_report& task : d.workers[name].tasks) {
                    const bool runs = task.state == task_state::running;
                    twice += runs && ++running[task.task] > 1 ? 1 : 0;
                }
            }
            for (const job_view& job : d.c.jobs()) {
                for (const wire::task_row& task : d.job_written(job.row.job).tasks) {
                    if (task.phase == wire::task_phase_row::finished) {
                        told.insert(task.index);
                    }
                }
            }
        }
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(boots > 20);
            BOOST_TEST(twice == 0);
            BOOST_TEST(beyond_lease == 0);
            BOOST_TEST(after_end == 0);
            // So many restarts may also pass for crashes by its tasks.
            BOOST_TEST(d.c.jobs().at(0).finished + d.c.jobs().at(0).parked == 20);
        }
    }
}
