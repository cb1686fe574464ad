// How many jobs of a queue wait, where starts were noted, sent or given to another cell and none came to a worker.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

constexpr duration counted_after = 5s; // from its acceptance on, until a worker has begun a task of it
constexpr duration step = 100ms;
constexpr duration asked_for = 10s;
constexpr int jobs_sent = 4;

int owner_of(flow_simulation& w, const std::string& cell, int entries)
{
    for (int entry = 0; entry < entries; ++entry) {
        if (w.entry(entry) != nullptr && w.entry(entry)->cells().at(cell_id(cell))->owns()) {
            return entry;
        }
    }
    return -1;
}

flow_spec gang_spec(int count, std::int64_t cpu_millis)
{
    flow_spec spec = chain_spec(1, count, cpu_millis);
    spec.steps.front().gang = true;
    return spec;
}

// Jobs of which no task has begun.
struct waiting_jobs {
    std::vector<std::string> names;
    instant accepted{};
};

waiting_jobs submit_jobs(flow_simulation& w, int entry, const flow_spec& spec, int count = jobs_sent)
{
    waiting_jobs jobs;
    for (int i = 0; i < count; ++i) {
        jobs.names.push_back(fmt::format("{:016x}", 170 + i));
        BOOST_REQUIRE(w.submit(entry, jobs.names.back(), spec) == caller_result::accepted);
    }
    jobs.accepted = w.now();
    return jobs;
}

// Every entry that is up tells of all of them once they have waited so long; most of the questions are answered.
void check_counted(flow_simulation& w, const waiting_jobs& jobs, int entries)
{
    if (w.now() <= jobs.accepted + counted_after) {
        w.run_for(jobs.accepted + counted_after - w.now() + step);
    }
    int asked = 0;
    int refused = 0;
    int short_of = 0;
    std::int64_t least = static_cast<std::int64_t>(jobs.names.size());
    for (duration t{0}; t < asked_for; t += step) {
        for (int entry = 0; entry < entries; ++entry) {
            if (w.entry(entry) == nullptr) {
                continue;
            }
            const std::int64_t told = w.pending(entry);
            ++asked;
            refused += told < 0 ? 1 : 0;
            short_of += told >= 0 && told < static_cast<std::int64_t>(jobs.names.size()) ? 1 : 0;
            least = told >= 0 ? std::min(least, told) : least;
        }
        w.run_for(step);
    }
    for (const std::string& job : jobs.names) {
        BOOST_REQUIRE(w.count_job_starts(job) == 0); // on any worker
    }
    BOOST_TEST(asked > 50);
    BOOST_TEST(refused * 20 <= asked, refused << " of " << asked << " refused");
    BOOST_TEST(short_of == 0, short_of << " of " << asked << " answers short, least " << least);
    check_no_violations(w);
}

} // namespace

// A start that was noted and lost passes for begun with the owner that follows.
BOOST_AUTO_TEST_CASE(lasting_jobs_whose_starts_were_lost_are_counted_by_the_next_owner)
{
    flow_simulation w({.workers_per_data_centre = 1});
    w.run_for(3s);
    w.worker(0).reachable = false;
    const int owner = owner_of(w, "a", 2);
    const waiting_jobs jobs = submit_jobs(w, owner, lasting_spec(1, 1000));
    w.run_for(300ms);
    w.kill_entry(owner);
    check_counted(w, jobs, 2);
}

// A start that was noted and refused passes for begun with the owner that follows.
BOOST_AUTO_TEST_CASE(lasting_jobs_whose_starts_were_refused_are_counted_by_the_next_owner)
{
    flow_simulation w({});
    w.run_for(3s);
    w.refuse_starts(true);
    const int owner = owner_of(w, "a", 2);
    const waiting_jobs jobs = submit_jobs(w, owner, lasting_spec(1, 1000));
    w.run_for(300ms);
    w.kill_entry(owner);
    check_counted(w, jobs, 2);
}

// The same with an owner that lives.
BOOST_AUTO_TEST_CASE(lasting_jobs_whose_starts_are_refused_are_counted)
{
    flow_simulation w({});
    w.run_for(3s);
    w.refuse_starts(true);
    check_counted(w, submit_jobs(w, 0, lasting_spec(1, 1000)), 2);
}

// A start of short work that was refused passes for begun with the owner that follows.
BOOST_AUTO_TEST_CASE(jobs_whose_starts_were_refused_are_counted_by_the_next_owner)
{
    flow_simulation w({});
    w.run_for(3s);
    w.refuse_starts(true);
    const int owner = owner_of(w, "a", 2);
    const waiting_jobs jobs = submit_jobs(w, owner, chain_spec(1, 1, 1000));
    w.run_for(300ms);
    w.kill_entry(owner);
    check_counted(w, jobs, 2);
}

namespace {

bool holds_job(flow_simulation& w, const std::string& cell, const std::string& job)
{
    const int owner = owner_of(w, cell, 4);
    return owner >= 0 && w.entry(owner)->cells().at(cell_id(cell))->find_job(job_id(job)) != nullptr;
}

// The job's cell loses its room; the other one has some, and its workers refuse.
void give_to_refusing_cell(const flow_spec& spec)
{
    flow_simulation w({.data_centres = {"a", "b"}});
    w.run_for(3s);
    w.refuse_starts(true);
    const waiting_jobs jobs = submit_jobs(w, owner_of(w, "a", 4), spec);
    const std::string bound_to = holds_job(w, "a", jobs.names.front()) ? "a" : "b";
    for (int worker = 0; worker < w.worker_count(); ++worker) {
        if (w.worker(worker).data_centre.str() == bound_to) {
            w.set_worker_capacity(worker, {1000, 64000, 0}, 0ms);
        }
    }
    w.run_for(4s);
    BOOST_REQUIRE(w.count_log_events("task", "given_away") > 0);
    check_counted(w, jobs, 4);
}

} // namespace

// A start that the owner of another cell has noted passes for begun with the owner of the job's.
BOOST_AUTO_TEST_CASE(lasting_jobs_given_to_a_cell_that_does_not_start_them_are_counted)
{
    give_to_refusing_cell(lasting_spec(1, 8000));
}

// A task that is elsewhere passes for begun.
BOOST_AUTO_TEST_CASE(jobs_given_to_a_cell_that_does_not_start_them_are_counted)
{
    give_to_refusing_cell(chain_spec(1, 1, 8000));
}

// A start that comes after the stop of its run is answered as of a run that was, and passes for begun.
BOOST_AUTO_TEST_CASE(gangs_whose_stops_overtake_their_starts_are_counted)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            flow_simulation w({.seed = seed});
            w.run_for(3s);
            w.refuse_starts(true);
            const int owner = owner_of(w, "a", 2);
            const waiting_jobs jobs = submit_jobs(w, owner, gang_spec(6, 6000));
            w.inject_entry_pauses(owner, 100ms);
            w.run_for(4s);
            w.inject_entry_pauses(owner, 0ms);
            check_counted(w, jobs, 2);
        }
    }
}

// A gang that is spread over cells and goes back passes for begun.
BOOST_AUTO_TEST_CASE(gangs_given_back_are_counted)
{
    flow_simulation w({.data_centres = {"a", "b"}, .gang_start_barrier = true});
    w.run_for(3s);
    w.refuse_starts(true);
    const waiting_jobs jobs = submit_jobs(w, owner_of(w, "a", 4), gang_spec(5, 12000));
    check_counted(w, jobs, 4);
    BOOST_TEST(w.count_log_events("gang", "given_away") > 0);
    BOOST_TEST(w.count_log_events("gang", "given_back") > 0);
}

// Orders that come seconds late, after their leases or stops, pass for begun.
BOOST_AUTO_TEST_CASE(jobs_whose_starts_come_late_and_are_refused_are_counted)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            flow_simulation w({.seed = seed});
            w.run_for(3s);
            w.refuse_starts(true);
            w.delay_orders(0.5);
            check_counted(w, submit_jobs(w, 0, chain_spec(1, 2, 1000)), 2);
        }
    }
}

// A task that another cell has begun passes for waiting, as nobody tells the owner of the job's.
BOOST_AUTO_TEST_CASE(lasting_jobs_begun_in_another_cell_are_not_counted)
{
    flow_simulation w({.data_centres = {"a", "b"}});
    w.run_for(3s);
    w.refuse_starts(true);
    const waiting_jobs jobs = submit_jobs(w, owner_of(w, "a", 4), lasting_spec(1, 8000));
    const std::string bound_to = holds_job(w, "a", jobs.names.front()) ? "a" : "b";
    for (int worker = 0; worker < w.worker_count(); ++worker) {
        if (w.worker(worker).data_centre.str() == bound_to) {
            w.set_worker_capacity(worker, {1000, 64000, 0}, 0ms);
        }
    }
    w.run_for(4s);
    w.refuse_starts(false);
    BOOST_REQUIRE(w.run_until([&] { return w.count_all_running_tasks() == jobs_sent; }, 5s));
    BOOST_REQUIRE(w.count_log_events("task", "given_away") > 0);
    w.run_for(3s);
    for (int entry = 0; entry < 4; ++entry) {
        BOOST_TEST(w.pending(entry) == 0);
    }
    check_no_violations(w);
}

// What runs passes for waiting with the owner that follows, as the row only tells of its note.
BOOST_AUTO_TEST_CASE(lasting_jobs_that_run_are_not_counted_by_the_next_owner)
{
    flow_simulation w({});
    w.run_for(3s);
    const int owner = owner_of(w, "a", 2);
    submit_jobs(w, owner, lasting_spec(1, 1000));
    BOOST_REQUIRE(w.run_until([&] { return w.count_all_running_tasks() == jobs_sent; }, 3s));
    w.run_for(1s);
    w.kill_entry(owner);
    w.run_for(5s);
    BOOST_REQUIRE(owner_of(w, "a", 2) == 1 - owner);
    BOOST_TEST(w.pending(1 - owner) == 0);
    check_no_violations(w);
}
