// What one plan costs at 50, 400 and 4,000 workers with tasks in proportion, steady and under waves.
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <deque>

#include "place_p.h"

namespace {

using namespace skylarkhub;
using namespace std::chrono_literals;

constexpr instant begin = instant{} + 1000s;
constexpr int batch_per_worker = 25;   // 100,000 on 4,000 workers
constexpr int services_per_worker = 3; // about 11,000 on 4,000 workers
constexpr int tasks_per_job = 20;
constexpr int kinds = 6;
constexpr int teams = 120;

// A cell in the middle of its work: workers three quarters full of services and batch tasks, and a queue.
struct busy_cell {
    std::deque<job_spec> specs;
    std::vector<place_task> tasks;
    std::vector<place_worker> workers;
    placement place{place_settings{}};
    int jobs = 0;
    std::deque<job_spec> quiet; // one of each kind, to teach that none harms the services

    explicit busy_cell(int worker_count)
    {
        for (int i = 0; i < worker_count; ++i) {
            workers.push_back({worker_id(fmt::format("w{:05}", i)),
                               rack_id(fmt::format("r{}", i / 8)),
                               {64000, 250000, 0},
                               {},
                               true});
        }
        for (int kind = 0; kind < kinds; ++kind) {
            quiet.emplace_back();
            quiet.back().kind = kind_id(fmt::format("kind{}", kind));
            quiet.back().declared = {32000, 1000, 0};
        }
        add_running(worker_count * services_per_worker, true, {6000, 12000, 0});
        add_running(worker_count * batch_per_worker, false, {1200, 4000, 0});
    }

    const job_spec& add_spec(bool service, resources declared, urgency how)
    {
        job_spec spec;
        spec.team = team_id(fmt::format("team{}", jobs % teams));
        spec.name = fmt::format("{}{}", service ? "service" : "family", jobs % 500);
        spec.kind = kind_id(fmt::format("kind{}", jobs % kinds));
        spec.declared = declared;
        spec.urgency = how;
        spec.is_service = service;
        ++jobs;
        specs.push_back(spec);
        return specs.back();
    }

    place_task make_task(const job_spec& spec, int index) const
    {
        place_task task;
        task.task = {job_id(fmt::format("job{:06}", jobs)), index};
        task.spec = &spec;
        task.queued_since = begin;
        return task;
    }

    void add_running(int count, bool service, resources declared)
    {
        const job_spec* spec = nullptr;
        for (int i = 0; i < count; ++i) {
            if (i % tasks_per_job == 0) {
                spec = &add_spec(service, declared, urgency::normal);
            }
            place_task task = make_task(*spec, i % tasks_per_job);
            place_worker& worker = workers[static_cast<std::size_t>(i) % workers.size()];
            task.attempt = attempt_number(1);
            task.running = true;
            task.worker = worker.worker;
            task.committed = declared;
            task.used = declared;
            task.run_so_far = 100s;
            worker.committed = worker.committed + declared;
            tasks.push_back(std::move(task));
            place.learn_usage(begin, tasks.back().task, *spec, declared);
            if (service) {
                place.learn_interference(begin, tasks.back().task, *spec, 1,
                                         {&quiet[static_cast<std::size_t>(i % kinds)]});
            }
        }
    }

    void add_queued(int count, resources declared, urgency how)
    {
        const job_spec* spec = nullptr;
        for (int i = 0; i < count; ++i) {
            if (i % tasks_per_job == 0) {
                spec = &add_spec(false, declared, how);
            }
            tasks.push_back(make_task(*spec, i % tasks_per_job));
        }
    }
};

void run_plans(benchmark::State& state, busy_cell& cell, std::size_t decisions, int step = 1)
{
    int second = 1;
    std::size_t placed = 0;
    std::size_t evicted = 0;
    for (auto _ : state) {
        const place_plan plan = cell.place.plan(begin + second * 1s, cell.tasks, cell.workers);
        placed += plan.starts.size();
        evicted += plan.evictions.size();
        second += step;
    }
    const auto plans = static_cast<double>(state.iterations());
    state.counters["starts"] = benchmark::Counter(static_cast<double>(placed) / plans);
    state.counters["evictions"] = benchmark::Counter(static_cast<double>(evicted) / plans);
    if (decisions > 0) {
        state.counters["time/decision"] = benchmark::Counter(static_cast<double>(decisions) * plans,
                                                             benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
    }
}

// Nothing waits: what the reading of the cell costs.
void plan_idle(benchmark::State& state)
{
    busy_cell cell(static_cast<int>(state.range(0)));
    run_plans(state, cell, 0);
}

// Two tasks a worker wait and find room.
void plan_placements(benchmark::State& state)
{
    busy_cell cell(static_cast<int>(state.range(0)));
    const int waiting = static_cast<int>(state.range(0)) * 2;
    cell.add_queued(waiting, {1000, 2000, 0}, urgency::normal);
    run_plans(state, cell, static_cast<std::size_t>(waiting));
}

// A wave: thirty tasks a worker wait, of which about a third finds room.
void plan_wave(benchmark::State& state)
{
    busy_cell cell(static_cast<int>(state.range(0)));
    const int waiting = static_cast<int>(state.range(0)) * 30;
    cell.add_queued(waiting, {2000, 2000, 0}, urgency::normal);
    run_plans(state, cell, static_cast<std::size_t>(waiting));
}

// The plan after a wave of cancellations took what waited away: it must cost what an idle one does.
void plan_after_cancellation(benchmark::State& state)
{
    busy_cell cell(static_cast<int>(state.range(0)));
    const std::size_t kept = cell.tasks.size();
    cell.add_queued(static_cast<int>(state.range(0)) * 30, {2000, 2000, 0}, urgency::normal);
    cell.place.plan(begin, cell.tasks, cell.workers);
    cell.tasks.resize(kept);
    run_plans(state, cell, 0);
}

// Urgent tasks, one for four workers, too large for the room that is left: what finding work to evict costs.
void plan_urgent_without_room(benchmark::State& state)
{
    const int workers = static_cast<int>(state.range(0));
    busy_cell cell(workers);
    cell.add_queued(workers / 4, {20000, 2000, 0}, urgency::urgent);
    constexpr int forgotten = 20; // seconds after which a plan asks for the same evictions again
    run_plans(state, cell, static_cast<std::size_t>(workers / 4), forgotten);
}

} // namespace

BENCHMARK(plan_idle)->Arg(50)->Arg(400)->Arg(4000)->Unit(benchmark::kMicrosecond);
BENCHMARK(plan_placements)->Arg(50)->Arg(400)->Arg(4000)->Unit(benchmark::kMicrosecond);
BENCHMARK(plan_wave)->Arg(50)->Arg(400)->Arg(4000)->Unit(benchmark::kMicrosecond);
BENCHMARK(plan_after_cancellation)->Arg(50)->Arg(400)->Arg(4000)->Unit(benchmark::kMicrosecond);
BENCHMARK(plan_urgent_without_room)->Arg(50)->Arg(400)->Arg(4000)->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
