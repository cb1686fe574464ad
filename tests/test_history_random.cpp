// Concurrent random runs, judged by the same history checker: jobs, cancellations and calls at random times, with
// faults that strike random entries at whatever they do next. Seeds are fixed; a run that fails is made smaller until
// nothing more can be left out of it. RC_PARAMS="seed=N max_success=N" in the environment asks for other or more runs.
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <ostream>

#include "support_calls_faults.h"
#include "support_world_faults.h"

using namespace skylarkhub;
using namespace skylarkhub::test;
using namespace std::chrono_literals;

namespace {

struct fixed_seed {
    fixed_seed() { ::setenv("RC_PARAMS", "seed=1 max_success=1000 max_size=40", 0); }
};

// A fault that is armed at a time and strikes the entry's next step.
struct strike {
    int at_ms = 0;
    int entry = 0;
    int target = 0; // a worker or a target
    int fault = 0;
};
std::ostream& operator<<(std::ostream& out, const strike& s)
{
    return out << fmt::format("{} ms: fault {} at entry {}, target {}", s.at_ms, s.fault, s.entry, s.target);
}

struct job_plan {
    int at_ms = 0;
    int kind = 0;
    int tasks = 1;
    int run_ms = 0;
    int cancel_after_ms = 0; // 0: never
    bool twice = false;      // the caller asks at two entries at once
};
std::ostream& operator<<(std::ostream& out, const job_plan& p)
{
    return out << fmt::format("{} ms: kind {}, {} tasks of {} ms, cancelled after {} ms, {}", p.at_ms, p.kind, p.tasks,
                              p.run_ms, p.cancel_after_ms, p.twice ? "twice" : "once");
}

struct call_plan {
    int at_ms = 0;
    int kind = 0;
    int key = 0; // 0: none; the same key comes up again
    int tries = 1;
};
std::ostream& operator<<(std::ostream& out, const call_plan& p)
{
    return out << fmt::format("{} ms: kind {}, key {}, {} tries", p.at_ms, p.kind, p.key, p.tries);
}

rc::Gen<std::vector<strike>> strikes(int faults, int until_ms, int targets)
{
    using namespace rc;
    return gen::container<std::vector<strike>>(gen::build<strike>(
        gen::set(&strike::at_ms, gen::inRange(0, until_ms)), gen::set(&strike::entry, gen::inRange(0, 2)),
        gen::set(&strike::target, gen::inRange(0, targets)), gen::set(&strike::fault, gen::inRange(0, faults))));
}

rc::Gen<std::vector<job_plan>> job_plans()
{
    using namespace rc;
    return gen::container<std::vector<job_plan>>(gen::build<job_plan>(
        gen::set(&job_plan::at_ms, gen::inRange(0, 30'000)), gen::set(&job_plan::kind, gen::inRange(0, 4)),
        gen::set(&job_plan::tasks, gen::inRange(1, 5)), gen::set(&job_plan::run_ms, gen::inRange(200, 20'000)),
        gen::set(&job_plan::cancel_after_ms, gen::oneOf(gen::just(0), gen::inRange(1, 10'000))),
        gen::set(&job_plan::twice, gen::arbitrary<bool>())));
}

rc::Gen<std::vector<call_plan>> call_plans()
{
    using namespace rc;
    return gen::container<std::vector<call_plan>>(gen::build<call_plan>(
        gen::set(&call_plan::at_ms, gen::inRange(0, 5'000)), gen::set(&call_plan::kind, gen::inRange(0, 3)),
        gen::set(&call_plan::key, gen::inRange(0, 8)), gen::set(&call_plan::tries, gen::inRange(1, 4))));
}

void add_job(world& w, const job_plan& p, int number)
{
    const std::string key = fmt::format("j{}", number);
    job_spec spec = batch(p.kind == 1 ? "digest" : "rebuild", p.tasks, p.run_ms * 1ms);
    if (p.kind == 2) {
        spec = service();
    }
    if (p.kind == 3) {
        spec.payload = failing_payload;
        spec.attempt_limit = 2;
    }
    for (int times = p.twice ? 2 : 1; times > 0; --times) {
        w.at(p.at_ms * 1ms, [&w, key, spec] { w.submit(key, spec); });
    }
    if (p.cancel_after_ms > 0 && p.kind != 2) {
        w.at((p.at_ms + p.cancel_after_ms) * 1ms, [&w, key] { w.cancel(key); });
    }
}

std::string run_jobs(std::uint64_t seed, const std::vector<job_plan>& jobs, const std::vector<strike>& plan)
{
    world w(matrix_options(seed));
    std::vector<strike> armed;
    for (const strike& s : plan) {
        w.at(s.at_ms * 1ms, [&armed, s] { armed.push_back(s); });
    }
    w.set_step_hook([&](int entry, const std::vector<std::string>&, bool done) {
        const auto next = std::ranges::find_if(armed, [&](const strike& s) {
            return s.entry == entry && faults()[static_cast<std::size_t>(s.fault)].after_step == done;
        });
        if (next != armed.end()) {
            const strike s = *next;
            armed.erase(next);
            faults()[static_cast<std::size_t>(s.fault)].strike(w, {entry, s.target});
        }
    });
    int number = 0;
    for (const job_plan& p : jobs) {
        add_job(w, p, ++number);
    }
    const run_result result = judge(w);
    return result.quiet ? result.text : "work was left open\n" + result.text;
}

std::string run_calls(std::uint64_t seed, const std::vector<call_plan>& calls, const std::vector<strike>& plan)
{
    const std::array<work_kind, 3> kinds{quick_check(), bulletin(), digest()};
    call_world w({.seed = seed});
    std::vector<strike> armed;
    for (const strike& s : plan) {
        w.at(s.at_ms * 1ms, [&armed, s] { armed.push_back(s); });
    }
    w.set_step_hook([&](int entry, const std::string&) {
        const auto next = std::ranges::find(armed, entry, &strike::entry);
        if (next != armed.end()) {
            const strike s = *next;
            armed.erase(next);
            call_faults()[static_cast<std::size_t>(s.fault)].strike(w, {entry, s.target});
        }
    });
    for (const call_plan& p : calls) {
        // A key belongs to one kind of request only.
        const std::string key = p.key == 0 ? "" : fmt::format("k{}.{}", p.key, p.kind);
        w.at(p.at_ms * 1ms,
             [&w, p, key, kind = kinds.at(static_cast<std::size_t>(p.kind))] { w.call(kind, key, p.tries); });
    }
    w.run_for(60s);
    return format_violations(w.record(), check_history(w.record(), {}));
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(fixed_seed);

RC_BOOST_PROP(random_jobs_under_random_faults_keep_every_promise, ())
{
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
    const auto jobs = *job_plans();
    const auto plan = *strikes(static_cast<int>(faults().size()), 40'000, 4);
    const std::string text = run_jobs(seed, jobs, plan);
    if (!text.empty()) {
        RC_FAIL(text);
    }
}

RC_BOOST_PROP(random_calls_under_random_faults_keep_every_promise, ())
{
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
    const auto calls = *call_plans();
    const auto plan = *strikes(static_cast<int>(call_faults().size()), 6'000, 3);
    const std::string text = run_calls(seed, calls, plan);
    if (!text.empty()) {
        RC_FAIL(text);
    }
}
