// Tests, in simulated time, that a job's tasks go to a cell whose workers hold all that a task needs.
#include <boost/test/unit_test.hpp>

#include <array>
#include <memory>

#include "support_flow_checks.h"
#include "support_flow_simulation.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

const std::string job = "00000000000000aa";
constexpr duration time_to_run = 10s; // a task waits 0.8 s in each cell before it is handed on

// A site of three data centres with two workers each. The cells of the first two report the most free processors.
std::unique_ptr<flow_simulation> make_site(const std::array<resources, 2>& large, const std::array<resources, 2>& small)
{
    auto w = std::make_unique<flow_simulation>(flow_simulation::options{
        .data_centres = {"a", "b", "c"}, .entries_per_data_centre = 1, .workers_per_data_centre = 2});
    for (int worker = 0; worker < 6; ++worker) {
        const auto& rooms = worker < 4 ? large : small;
        w->set_worker_capacity(worker, rooms.at(static_cast<std::size_t>(worker % 2)), duration(0));
    }
    w->run_for(6s);
    return w;
}

void check_runs(flow_simulation& w, const resources& need)
{
    flow_spec spec = chain_spec(1, 2, need.cpu_millis);
    spec.steps.front().need = need;
    BOOST_REQUIRE((w.submit(0, job, spec) == caller_result::accepted));
    BOOST_TEST(w.run_until([&] { return w.state(0, job) == flow_state::done; }, time_to_run));
    check_no_violations(w);
}

} // namespace

// Guards against a job that never runs, as its tasks go to and fro between cells whose worker with free processors
// lacks the memory.
BOOST_AUTO_TEST_CASE(a_cell_without_a_worker_that_has_both_processors_and_memory_is_no_place)
{
    const auto w = make_site({resources{16000, 8000, 0}, resources{1000, 64000, 0}},
                             {resources{8000, 64000, 0}, resources{8000, 64000, 0}});
    check_runs(*w, {3000, 24000, 0});
}

// Guards against a job that never runs, as its tasks go to and fro between cells without accelerators.
BOOST_AUTO_TEST_CASE(a_cell_without_accelerators_is_no_place_for_a_task_that_needs_one)
{
    const auto w = make_site({resources{16000, 64000, 0}, resources{16000, 64000, 0}},
                             {resources{8000, 64000, 2}, resources{8000, 64000, 0}});
    check_runs(*w, {1000, 1000, 1});
}
