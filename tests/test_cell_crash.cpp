// Tasks that crash the workers they are started on, on the product's own path; driven by hand in virtual time.
#include <boost/test/unit_test.hpp>

#include <random>

#include "support_cell_hand.h"

using namespace skylarkhub;
using namespace skylarkhub::hand;

namespace {

constexpr int crashes_most = 5; // under one task, by which it is given up at the latest

const std::vector<std::string> names{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"};

// Crashes workers, and lets each answer again, with nothing running there, after a while.
class crasher {
public:
    crasher(driver& d, duration away) : d_(d), away_(away) {}

    void crash(const std::string& name)
    {
        worker_hand& w = d_.workers[name];
        w.restart("b" + std::to_string(++boots_));
        w.silent = true;
        back_[name] = d_.now + away_;
    }
    void step(duration d)
    {
        d_.tick(d);
        for (auto& [name, w] : d_.workers) {
            if (w.silent && back_.contains(name) && d_.now >= back_[name]) {
                w.silent = false;
            }
        }
    }
    // Every worker on which the task runs.
    int crash_under(const task_id& task)
    {
        int crashed = 0;
        for (auto& [name, w] : d_.workers) {
            if (!w.silent && w.find(task) != nullptr) {
                crash(name);
                ++crashed;
            }
        }
        return crashed;
    }

private:
    driver& d_;
    duration away_;
    int boots_ = 0;
    std::map<std::string, instant> back_;
};

job_view find_view(const driver& d, const std::string& job)
{
    for (const job_view& view : d.c.jobs()) {
        if (view.row.job == job) {
            return view;
        }
    }
    return {};
}

void play_culprit(duration away, bool is_service)
{
    driver d;
    wire::job_row job = make_job("j", 3);
    job.spec.__set_is_service(is_service);
    d.own(names, {submit(job), submit(make_job("k", 4))});
    crasher workers(d, away);
    const task_id culprit{job_id("j"), 1};
    int crashes = 0;
    for (const instant end = d.now + 3min; d.now < end && find_view(d, "j").parked == 0;) {
        workers.step(50ms);
        crashes += workers.crash_under(culprit);
    }
    BOOST_TEST(find_view(d, "j").parked == 1);
    BOOST_TEST(find_view(d, "j").last_reason.find("crash") != std::string::npos);
    BOOST_TEST(crashes >= 2);
    BOOST_TEST(crashes <= crashes_most);
    for (int i = 0; i < 400; ++i) {
        workers.step(50ms);
        BOOST_REQUIRE(workers.crash_under(culprit) == 0);
    }
    BOOST_TEST(find_view(d, "k").running == 4);
}

} // namespace

// A task that crashes each worker it starts on is started for ever.
BOOST_AUTO_TEST_CASE(a_task_that_crashes_its_workers_is_parked)
{
    play_culprit(2s, false);
}

BOOST_AUTO_TEST_CASE(a_service_that_crashes_its_workers_is_parked)
{
    play_culprit(2s, true);
}

// The worker is away for longer than a lease, so that its tasks are taken for lapsed.
BOOST_AUTO_TEST_CASE(a_crash_counts_when_the_worker_comes_back_after_its_leases)
{
    play_culprit(20s, false);
}

// The crashes under a task are forgotten when the cell changes owners.
BOOST_AUTO_TEST_CASE(crashes_are_in_the_jobs_row)
{
    driver d;
    d.own(names, {submit(make_job("j", 1))});
    crasher workers(d, 2s);
    int crashes = 0;
    for (const instant end = d.now + 1min; d.now < end && crashes < 2;) {
        workers.step(50ms);
        crashes += workers.crash_under({job_id("j"), 0});
    }
    for (int i = 0; i < 100; ++i) {
        workers.step(50ms);
    }
    BOOST_TEST(d.job_written("j").tasks.at(0).crashes.size() == 2U);
}

// A worker that runs a service and other work crashes once, and is remembered when the service is replaced and again
// when the other leases are over, or it is back: one crash counts as two.
BOOST_AUTO_TEST_CASE(a_crash_beside_a_service_counts_once)
{
    for (const duration away : {8s, 20s}) {
        driver d;
        wire::job_row service = make_job("s", 1);
        service.spec.__set_is_service(true);
        d.own({"w1"}, {submit(service), submit(make_job("j", 1))});
        crasher workers(d, away);
        for (int i = 0; i < 20; ++i) {
            workers.step(50ms);
        }
        BOOST_REQUIRE(workers.crash_under({job_id("j"), 0}) == 1);
        for (int i = 0; i < 600; ++i) {
            workers.step(50ms);
        }
        BOOST_TEST(d.job_written("j").tasks.at(0).crashes.size() == 1U);
    }
}

// Workers crash one after another by themselves, and jobs are parked for it.
BOOST_AUTO_TEST_CASE(no_job_is_parked_for_crashes_of_its_workers)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        std::mt19937_64 random(seed);
        driver d;
        d.own(names, {submit(make_job("j", 12)), submit(make_job("k", 4))});
        crasher workers(d, 3s);
        for (int crash = 0; crash < 20; ++crash) {
            for (int i = 0; i < 100; ++i) {
                workers.step(50ms);
            }
            workers.crash(names.at(random() % names.size()));
        }
        BOOST_TEST(find_view(d, "j").parked == 0);
        BOOST_TEST(find_view(d, "k").parked == 0);
    }
}
