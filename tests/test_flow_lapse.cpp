// Tests of lasting tasks whose worker falls silent: they start elsewhere soon after its leases have certainly ended.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <string>

#include "flow_limits_p.h"
#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string lasting_job = "00000000000000aa";
constexpr duration away_most = 9s; // of a lasting task
constexpr duration check_step = 10ms;
constexpr duration phase_step = 100ms;
constexpr duration phase_end = 2s; // more than a hold and its retry take
constexpr duration short_run_time = 2s;
constexpr duration short_interval = 250ms;
constexpr resources room_of_one{9000, 64000, 0};

// The only worker of cell a runs a lasting task and has no room for more. Cell b has a worker that could run it, and
// that is kept full of short work.
class silent_worker {
public:
    silent_worker()
        : world_({.data_centres = {"a", "b"}, .workers_per_data_centre = 1, .run_time = [](const flow_task_id&) {
                      return short_run_time;
                  }})
    {
        world_.set_worker_capacity(0, room_of_one, 0ms);
        world_.run_for(3s);
        world_.insert_unannounced_job(lasting_job, cell_id("a"), lasting_spec(1, room_of_one.cpu_millis));
        BOOST_REQUIRE(world_.run_until([&] { return world_.count_running_tasks(lasting_job) == 1; }, 6s));
        BOOST_REQUIRE(world_.worker(0).running.size() == 1);
        run_for(2 * short_run_time);
    }

    void run_for(duration d)
    {
        const instant end = world_.now() + d;
        while (world_.now() < end) {
            step();
        }
    }

    // Crashes the worker of cell a, kills the cell's owner if wanted, and returns how long the lasting task is away.
    duration crash(bool kill_owner)
    {
        world_.crash_worker(0, false);
        if (kill_owner) {
            world_.kill_entry(owner_of(world_, "a", 2));
        }
        const instant crashed = world_.now();
        while (world_.count_running_tasks(lasting_job) == 0 && world_.now() < crashed + 2 * away_most) {
            step();
        }
        check_no_violations(world_);
        return world_.now() - crashed;
    }

private:
    void step()
    {
        if (world_.now() >= next_short_) {
            next_short_ = world_.now() + short_interval;
            world_.send_submit(2, fmt::format("{:016x}", 0xb0000 + short_jobs_++), chain_spec(1, 2, 2000));
        }
        world_.run_for(check_step);
    }

    flow_simulation world_;
    instant next_short_{};
    int short_jobs_ = 0;
};

// Returns the longest time that the task is away, for crashes at all phases of the exchanges with the worker.
duration longest_away(bool kill_owner)
{
    duration longest{0};
    for (duration phase{0}; phase < phase_end; phase += phase_step) {
        silent_worker site;
        site.run_for(phase);
        longest = std::max(longest, site.crash(kill_owner));
    }
    BOOST_TEST_MESSAGE(fmt::format("away for at most {} ms", longest / 1ms));
    return longest;
}

} // namespace

// The room for a task of a silent worker is sought only once its lease has ended, and short work still runs there.
BOOST_AUTO_TEST_CASE(a_task_of_a_silent_worker_finds_its_place_free_when_the_lease_ends)
{
    BOOST_TEST(longest_away(false) <= away_most);
}

// The same for a follower, which knows the task's start from its row only.
BOOST_AUTO_TEST_CASE(a_task_of_a_silent_worker_finds_its_place_free_though_its_owner_is_killed)
{
    BOOST_TEST(longest_away(true) <= away_most);
}
