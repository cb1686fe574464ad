// What each safeguard is for: the same run with the safeguard, which keeps every promise, and without it, in which the
// checker must object. A safeguard whose loss goes unseen would be one that nothing tests.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <set>

#include "support_world_faults.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view capacity = "no worker is committed beyond its capacity";
constexpr std::string_view exclusive = "exclusive work never runs in two places";
constexpr std::string_view resume = "evicted work resumes once";
constexpr std::string_view finish = "accepted work finishes once";

constexpr int first_owner = 0; // with the seed used here

void cut_all_from(world& w, int worker, duration d)
{
    for (int e = 0; e < w.entry_count(); ++e) {
        w.cut_from_worker(e, worker, d);
    }
}

void cut_others_from(world& w, int worker, duration d)
{
    for (int e = 0; e < w.entry_count(); ++e) {
        w.cut_from_worker(e, worker, e == first_owner ? 0s : d);
    }
}

// Strikes the first time that an entry is about to take the step.
void at_first(world& w, const std::string& step, std::function<void(int entry)> strike)
{
    w.set_step_hook([step, strike = std::move(strike), struck = false](int entry, const std::vector<std::string>& steps,
                                                                       bool done) mutable {
        if (!struck && !done && std::ranges::find(steps, step) != steps.end()) {
            struck = true;
            strike(entry);
        }
    });
}

struct guard {
    std::string_view name;
    std::string_view promise; // broken without it
    void (*take_away)(world_options& o);
    void (*run)(world& w);
};
std::ostream& operator<<(std::ostream& out, const guard& g)
{
    return out << g.name;
}

const std::vector<guard> guards{
    // The owner is stopped between deciding to start a service and sending it. Another entry takes the cell, starts the
    // service on another worker and fills the first one. The first owner runs on and its start leaves at last: only the
    // worker's
    // memory
    // of the higher epoch keeps it from being overcommitted.
    {"the worker's fence", capacity, [](world_options& o) { o.worker.fences = false; },
     [](world& w) {
         at_first(w, "send_worker task_start", [&w](int entry) { w.freeze(entry, 40s); });
         w.at(2s, [&w] {
             w.submit("pages", service());
             cut_others_from(w, 0, 25s);
         });
         w.at(30s, [&w] { w.submit("rebuild", batch("rebuild", 15, 60s)); });
     }},
    // Nobody reaches a worker any more. Its task is started again elsewhere once its lease must be over; a worker that
    // goes on past the lease runs it in a second place.
    {"the lease's end at the worker", exclusive, [](world_options& o) { o.worker.ends_lapsed = false; },
     [](world& w) {
         w.at(2s, [&w] { w.submit("rebuild", batch("rebuild", 3, 60s)); });
         w.at(10s, [&w] { cut_all_from(w, 0, 40s); });
     }},
    // The owner loses the platform and its peers but not its workers, and goes on renewing. Another entry takes the
    // cell
    // after T_hold; it reaches only the worker that the owner does not, waits one lease and starts the tasks there. An
    // owner that held on for longer than T_hold would still be renewing them.
    {"the owner's hold", exclusive,
     [](world_options& o) {
         o.misconfigure = [](int entry, cell_settings& settings) {
             settings.hold = entry == first_owner ? 10min : settings.hold;
         };
     },
     [](world& w) {
         w.at(2s, [&w] { w.submit("rebuild", batch("rebuild", 4, 60s)); });
         w.at(10s, [&w] {
             w.cut_from_platform(first_owner, 60s);
             w.cut_from_peers(first_owner, 60s);
             const int last = w.worker_count() - 1;
             w.cut_from_worker(first_owner, last, 60s);
             for (int worker = 0; worker < last; ++worker) {
                 cut_others_from(w, worker, 60s);
             }
         });
     }},
    // The owner is stopped just before it writes that a task is queued again; by the time its write leaves, the next
    // owner has run and finished the job. Without the check of the row's version the old write wins, and the next
    // takeover runs the job once more.
    {"the version check of a commit", finish, [](world_options& o) { o.table_checks = false; },
     [](world& w) {
         at_first(w, "commit_cell job new", [&w](int entry) { w.freeze(entry, 40s); });
         w.at(2s, [&w] { w.submit("digest", batch("digest", 1, 4s)); });
     }},
    // A submission is answered before it is in the table, and the table is down: nobody ever hears of the job again.
    {"durable before the answer", finish, [](world_options& o) { o.durable_before_answer = false; },
     [](world& w) {
         w.at(1s, [&w] { w.stop_store(10s); });
         w.at(2s, [&w] { w.submit("rebuild", batch("rebuild", 1, 5s)); });
     }},
    // The owner is stopped between deciding on a start and sending it, and the worker knows neither epochs nor the end
    // of
    // a lease: a start of long ago runs after the later attempt did.
    {"fence and lease of a late start", resume,
     [](world_options& o) {
         o.worker.fences = false;
         o.worker.ends_lapsed = false;
     },
     [](world& w) {
         at_first(w, "send_worker task_start", [&w](int entry) { w.freeze(entry, 40s); });
         w.at(2s, [&w] {
             w.submit("rebuild", batch("rebuild", 1, 60s));
             cut_others_from(w, 0, 25s);
         });
     }},
};

run_result run(const guard& g, bool without)
{
    world_options o = matrix_options(1);
    if (without) {
        g.take_away(o);
    }
    world w(o);
    g.run(w);
    return judge(w);
}

} // namespace

BOOST_DATA_TEST_CASE(with_the_safeguard_every_promise_is_kept, boost::unit_test::data::make(guards), g)
{
    const run_result result = run(g, false);
    BOOST_TEST(result.quiet);
    BOOST_TEST(result.found.empty(), result.text);
}

BOOST_DATA_TEST_CASE(without_the_safeguard_the_checker_objects, boost::unit_test::data::make(guards), g)
{
    const run_result result = run(g, true);
    std::set<std::string_view> broken;
    for (const violation& v : result.found) {
        broken.insert(v.promise);
    }
    BOOST_TEST_INFO(result.text);
    BOOST_TEST(broken.contains(g.promise));
}
