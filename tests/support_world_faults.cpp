#include "support_world_faults.h"

#include <array>

namespace skylarkhub::test {

using namespace std::chrono_literals;

namespace {

constexpr duration short_time = 4s;
constexpr duration long_time = 40s; // past every hold and lease

const auto all_faults = std::to_array<fault>({
    {"kill before", false, [](world& w, const moment& m) { w.kill(m.entry, short_time); }},
    {"kill after", true, [](world& w, const moment& m) { w.kill(m.entry, long_time); }},
    {"freeze before", false, [](world& w, const moment& m) { w.freeze(m.entry, long_time); }},
    {"freeze after", true, [](world& w, const moment& m) { w.freeze(m.entry, long_time); }},
    {"freeze for a moment", false, [](world& w, const moment& m) { w.freeze(m.entry, short_time); }},
    {"cut from peers", false, [](world& w, const moment& m) { w.cut_from_peers(m.entry, long_time); }},
    {"cut from worker", false, [](world& w, const moment& m) { w.cut_from_worker(m.entry, m.worker, long_time); }},
    {"cut from platform", false, [](world& w, const moment& m) { w.cut_from_platform(m.entry, long_time); }},
    {"store down", false, [](world& w, const moment&) { w.stop_store(long_time); }},
    {"store slow", false, [](world& w, const moment&) { w.slow_store(long_time); }},
    {"answer lost", false, [](world& w, const moment&) { w.fault_exchange(exchange_fault::answer_lost); }},
    {"effect late", false, [](world& w, const moment&) { w.fault_exchange(exchange_fault::effect_late); }},
    {"answer late", false, [](world& w, const moment&) { w.fault_exchange(exchange_fault::answer_late); }},
    {"answer twice", false, [](world& w, const moment&) { w.fault_exchange(exchange_fault::answer_twice); }},
    {"list stale", false, [](world& w, const moment&) { w.freeze_lists(long_time); }},
    {"worker lost", false, [](world& w, const moment& m) { w.lose_worker(m.worker, long_time); }},
    {"worker restarted", true, [](world& w, const moment& m) { w.lose_worker(m.worker, 100ms); }},
    {"wall clock ahead", false, [](world& w, const moment& m) { w.skew_wall(m.entry, 1h); }},
    {"clock drifts", false, [](world& w, const moment& m) { w.drift(m.entry); }},
});

} // namespace

std::span<const fault> faults()
{
    return all_faults;
}

job_spec batch(const char* kind, int tasks, duration run_time, resources declared)
{
    job_spec spec;
    spec.team = team_id("team");
    spec.name = "batch";
    spec.kind = kind_id(kind);
    spec.task_count = tasks;
    spec.run_time = run_time;
    spec.declared = declared;
    return spec;
}

job_spec service()
{
    job_spec spec = batch("pages", 1, 0s);
    spec.is_service = true;
    spec.slots = 8;
    return spec;
}

world_options matrix_options(std::uint64_t seed)
{
    world_options o;
    o.seed = seed;
    o.settings.kinds = brief_kinds();
    // The worker trusts its owner, so that the owner's own ledger is what is tested.
    o.worker.refuses_overcommit = false;
    return o;
}

run_result judge(world& w)
{
    run_result result;
    result.quiet = w.run_until_quiet(run_limit);
    result.found = check_history(w.record(), {});
    result.text = format_violations(w.record(), result.found);
    return result;
}

} // namespace skylarkhub::test
