// What a follower knows of the runs that the owner before it started, and for which of them it must wait.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <set>

#include "support_flow_world.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> jobs{"00000000000000aa", "00000000000000bb", "00000000000000cc"};
constexpr int tasks_each = 4;
constexpr int tasks_all = 3 * tasks_each;
// From the owner's last word until another entry has the cell and has read the rows of its jobs.
constexpr duration takeover_most = 4s;
// From then on: the list of workers, the claim of the job, the write that tells of the start, the start.
constexpr duration start_most = 1s;
// From the owner's last word until what runs unseen has ended and started again: the time in which an owner may still
// give a lease, as its follower knows it, a lease with its margin, and the start.
constexpr duration lapsed_most = 12s;

void check_no_faults(const flow_world& w)
{
    for (const std::string& fault : w.faults()) {
        BOOST_ERROR(fault);
    }
}

flow_spec lasting_spec(int count, std::int64_t cpu_millis)
{
    flow_spec spec = chain_spec(1, count, cpu_millis);
    spec.steps.front().lasting = true;
    return spec;
}

int owner_of(flow_world& w)
{
    int owner = 0;
    while (w.entry(owner) == nullptr || !w.entry(owner)->cells().at(cell_id("a"))->owns()) {
        ++owner;
    }
    return owner;
}

std::set<flow_task_id> tasks_on(flow_world& w, int worker)
{
    std::set<flow_task_id> tasks;
    for (const auto& [task, run] : w.worker(worker).running) {
        tasks.insert(task);
    }
    return tasks;
}

// Workers on which tasks run, in the order of their numbers.
std::vector<int> busy_workers(flow_world& w)
{
    std::vector<int> busy;
    for (int i = 0; i < w.worker_count(); ++i) {
        if (!w.worker(i).running.empty()) {
            busy.push_back(i);
        }
    }
    return busy;
}

// Tasks that run on a worker which can be asked.
std::set<flow_task_id> running_tasks(flow_world& w)
{
    std::set<flow_task_id> running;
    for (int i = 0; i < w.worker_count(); ++i) {
        if (w.worker(i).up && w.worker(i).reachable) {
            running.merge(tasks_on(w, i));
        }
    }
    return running;
}

void start_lasting_jobs(flow_world& w)
{
    w.run_for(2s);
    for (const std::string& job : jobs) {
        BOOST_REQUIRE(w.submit(0, job, lasting_spec(tasks_each, 4000)) == caller_result::accepted);
    }
    BOOST_REQUIRE(w.run_until([&] { return w.running_count() == tasks_all; }, 5s));
    w.run_for(2s);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_silent_worker_holds_up_no_task_that_was_not_on_it)
{
    // Tasks that last have ended, and none runs in their place for 11 s, with room all around. Their owner is killed or
    // stands still; in that moment one worker crashes for good or is cut off, another one begins its next life, and a
    // task fails on a third. The follower cannot ask the first one. Unless it can tell which tasks may be there, all
    // tasks of all jobs wait until every lease has ended; only those that may be there have to.
    for (int round = 0; round < 16; ++round) {
        BOOST_TEST_CONTEXT("round " << round)
        {
            const bool killed = round % 2 == 0;
            const bool cut_off = round / 2 % 2 == 0;
            flow_world w({.entries_each = 3, .workers_each = 6});
            start_lasting_jobs(w);
            w.run_for(250ms * (round / 4));
            const std::vector<int> busy = busy_workers(w);
            BOOST_REQUIRE(busy.size() >= 3);
            const int silent = busy.at(0);
            const std::set<flow_task_id> unseen = tasks_on(w, silent);
            const int owner = owner_of(w);
            if (killed) {
                w.kill_entry(owner);
            }
            else {
                w.freeze_entry(owner);
            }
            if (cut_off) {
                w.worker(silent).reachable = false;
            }
            else {
                w.crash_worker(silent, false);
            }
            w.crash_worker(busy.at(1), true);
            w.fail_run(*tasks_on(w, busy.at(2)).begin());
            w.run_for(takeover_most + start_most);
            std::set<flow_task_id> accounted = running_tasks(w);
            accounted.insert(unseen.begin(), unseen.end());
            BOOST_TEST(accounted.size() == tasks_all);
            if (!killed) {
                w.thaw_entry(owner);
            }
            w.run_for(lapsed_most - takeover_most - start_most);
            BOOST_TEST(running_tasks(w).size() == tasks_all);
            check_no_faults(w);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_run_listed_before_its_jobs_row_is_read_is_not_started_beside)
{
    // A job was accepted while the cell changed hands: the owner before started its tasks, the new one had read the
    // jobs already. Its workers list runs of a job that it does not know. Once it has read the job's row, the tasks
    // seem to run nowhere until the workers are asked again; started then, they run twice.
    flow_world w({.entries_each = 1, .workers_each = 3, .holds_wait = true});
    w.run_for(2500ms);
    w.accept_unheard(jobs.front(), cell_id("a"), chain_spec(1, 2));
    w.run_unheard(0, {job_id(jobs.front()), 0, 0, 0}, run_number(1), 3s);
    w.run_unheard(1, {job_id(jobs.front()), 0, 0, 1}, run_number(1), 3s);
    BOOST_TEST(w.run_until([&] { return w.state(0, jobs.front()) == flow_state::done; }, 10s));
    BOOST_TEST(w.starts_of(jobs.front()) == 0);
    check_no_faults(w);
}
