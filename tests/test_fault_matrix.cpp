// Every fault at every step of the batch path's protocols, alone, twice and two together, in virtual time with fixed
// seeds. Steps are what the code does in runs without faults, so a new action or command becomes a row by itself.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <array>
#include <iostream>
#include <map>
#include <set>

#include "support_world_faults.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

// --- scenarios ---

// Work of every sort, an eviction from a leaving worker and a cancellation: what all scenarios have in common.
void add_work(world& w)
{
    w.at(2s, [&w] { w.submit("rebuild", batch("rebuild", 3, 12s)); });
    w.at(2s, [&w] { w.submit("pages", service()); });
    w.at(3s, [&w] { w.submit("digest", batch("digest", 1, 4s)); });
    w.at(3s, [&w] { w.submit("long", batch("rebuild", 2, 300s)); });
    w.at(4s, [&w] {
        job_spec failing = batch("rebuild", 1, 1s);
        failing.payload = failing_payload;
        failing.attempt_limit = 2;
        w.submit("failing", failing);
    });
    w.at(8s, [&w] { w.set_leaving(1, true); });
    w.at(16s, [&w] { w.set_leaving(1, false); });
    w.at(18s, [&w] { w.cancel("long"); });
}

void stop_owner(world& w)
{
    if (const auto owner = w.owner()) {
        w.stop_by_plan(*owner);
    }
}

void kill_owner(world& w)
{
    if (const auto owner = w.owner()) {
        w.kill(*owner, 5s);
    }
}

struct scenario {
    std::string_view name;
    void (*add)(world& w);
};
const auto scenarios = std::to_array<scenario>({
    {"work", [](world& w) { add_work(w); }},
    {"handover",
     [](world& w) {
         add_work(w);
         w.at(6s, [&w] { stop_owner(w); });
     }},
    {"takeover",
     [](world& w) {
         add_work(w);
         w.at(6s, [&w] { kill_owner(w); });
     }},
    {"outage",
     [](world& w) {
         add_work(w);
         w.at(6s, [&w] { w.stop_store(25s); });
     }},
});

// --- steps ---

struct step_count {
    std::string name;
    int times = 0;
};

constexpr std::uint64_t seed = 1;
// What a run of the scenario without faults does, step by step.
std::vector<step_count> count_steps(const scenario& s)
{
    std::map<std::string, int> times;
    world w(matrix_options(seed));
    w.set_step_hook([&](int, const std::vector<std::string>& steps, bool done) {
        for (const std::string& step : steps) {
            times[step] += done ? 0 : 1;
        }
    });
    s.add(w);
    w.run_until_quiet(run_limit);
    std::vector<step_count> counted;
    counted.reserve(times.size());
    for (const auto& [name, count] : times) {
        counted.push_back({name, count});
    }
    return counted;
}

// --- cells of the matrix ---

struct matrix_cell {
    const scenario* where = nullptr;
    std::string step;
    int occurrence = 1; // of the step, counted from 1
    const fault* first = nullptr;
    const fault* second = nullptr; // strikes the same step's next occurrence when `apart`, else the same one
    bool apart = false;
};
std::ostream& operator<<(std::ostream& out, const matrix_cell& c)
{
    out << c.where->name << ", " << c.step << " #" << c.occurrence << ": " << c.first->name;
    if (c.second != nullptr) {
        out << (c.apart ? " and at the next " : " with ") << c.second->name;
    }
    return out;
}

const std::vector<std::vector<step_count>>& all_steps()
{
    static const auto steps = [] {
        std::vector<std::vector<step_count>> all;
        all.reserve(scenarios.size());
        for (const scenario& s : scenarios) {
            all.push_back(count_steps(s));
        }
        return all;
    }();
    return steps;
}

std::vector<matrix_cell> make_cells()
{
    std::vector<matrix_cell> cells;
    std::size_t turn = 0; // of the pairs: each step gets some, and over all steps each pair comes up
    for (std::size_t s = 0; s < scenarios.size(); ++s) {
        for (const step_count& step : all_steps()[s]) {
            const std::set<int> occurrences{1, (step.times + 1) / 2, step.times};
            for (const fault& f : faults()) {
                for (const int occurrence : occurrences) {
                    cells.push_back({&scenarios[s], step.name, occurrence, &f, nullptr, false});
                }
                cells.push_back({&scenarios[s], step.name, 1, &f, &f, true});
                const fault& other = faults()[turn++ % faults().size()];
                if (&other != &f) {
                    cells.push_back({&scenarios[s], step.name, 1, &f, &other, false});
                }
            }
            ++turn; // so that the next step pairs other faults
        }
    }
    return cells;
}

run_result run_cell(const matrix_cell& c)
{
    world w(matrix_options(seed));
    int seen = 0;
    const auto strike = [&](const fault* f, int occurrence, int entry, bool done) {
        if (f != nullptr && seen == occurrence && f->after_step == done) {
            f->strike(w, {entry, w.worker_addressed()});
        }
    };
    w.set_step_hook([&](int entry, const std::vector<std::string>& steps, bool done) {
        if (std::ranges::find(steps, c.step) == steps.end()) {
            return;
        }
        seen += done ? 0 : 1;
        strike(c.first, c.occurrence, entry, done);
        strike(c.second, c.occurrence + (c.apart ? 1 : 0), entry, done);
    });
    c.where->add(w);
    return judge(w);
}

// Made when the tests begin, because making it runs the scenarios.
class matrix_dataset {
public:
    static constexpr int arity = 1;

    boost::unit_test::data::size_t size() const { return cells_.size(); }
    std::vector<matrix_cell>::const_iterator begin() const { return cells_.begin(); }

private:
    std::vector<matrix_cell> cells_ = make_cells();
};

struct matrix_count {
    int run = 0;
    int broken = 0;
};
matrix_count& count()
{
    static matrix_count c;
    return c;
}

struct matrix_report {
    ~matrix_report() { std::cout << fmt::format("fault matrix: {} cells, {} broken\n", count().run, count().broken); }
};

} // namespace

namespace boost::unit_test::data::monomorphic {
template <> struct is_dataset<matrix_dataset> : boost::mpl::true_ {};
} // namespace boost::unit_test::data::monomorphic

BOOST_TEST_GLOBAL_FIXTURE(matrix_report);

BOOST_DATA_TEST_CASE(runs_without_faults_keep_every_promise, boost::unit_test::data::xrange(scenarios.size()), index)
{
    world w(matrix_options(seed));
    scenarios[index].add(w);
    const run_result result = judge(w);
    BOOST_TEST(result.quiet);
    BOOST_TEST(result.found.empty(), result.text);
}

// A row of the matrix that never comes up would be a check that cannot fail, so kinds not taken yet are named, and must
// leave this list as soon as a scenario takes them.
BOOST_AUTO_TEST_CASE(the_scenarios_take_every_kind_of_step)
{
    const std::set<std::string> not_taken_yet{"task_throttle"};
    std::set<std::string> names;
    for (const auto& steps : all_steps()) {
        for (const step_count& step : steps) {
            names.insert(step.name);
        }
    }
    for (const std::string& kind : world::step_kinds()) {
        const bool taken =
            std::ranges::any_of(names, [&](const std::string& name) { return name.find(kind) != std::string::npos; });
        BOOST_TEST_INFO(kind);
        BOOST_TEST(taken != not_taken_yet.contains(kind));
    }
}

BOOST_DATA_TEST_CASE(a_fault_at_a_step_breaks_no_promise, boost::unit_test::data::make_delayed<matrix_dataset>(), c)
{
    const run_result result = run_cell(c);
    ++count().run;
    count().broken += result.quiet && result.found.empty() ? 0 : 1;
    BOOST_TEST(result.quiet, "work was left open");
    BOOST_TEST(result.found.empty(), result.text);
}
