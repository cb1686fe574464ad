// What one control exchange with a worker costs: bytes of both bodies and the time to write and read them, when each
// task is renewed and shown. Bytes do not depend on the machine.
#include <benchmark/benchmark.h>

#include <fmt/format.h>

#include "worker_client_p.h"
#include "worker_state_p.h"

namespace {

using namespace skylarkhub;
using namespace std::chrono_literals;

constexpr worker_time clock_now(std::chrono::hours(400));
const attempt_number attempt(20001);

task_id task_of(int index)
{
    return {job_id("tausi.archive-2026-11-24"), index};
}

worker_request renew_all(int tasks)
{
    worker_request request{
        .epoch = epoch(12), .sequence = sequence_number(123456), .owner = incarnation_id("entry-1@1764000000000")};
    request.boot = "57b4a02ac6d2ffef";
    for (int i = 0; i < tasks; ++i) {
        request.commands.emplace_back(task_renew{task_of(i), attempt, clock_now + 6s});
    }
    return request;
}

standin::worker_state run_tasks(int tasks)
{
    standin::worker_state state({.capacity = {64000, 250000, 0}, .boot = "57b4a02ac6d2ffef", .seed = 1});
    const standin::worker_now now{clock_now, wall_time(1s)};
    worker_request request{.epoch = epoch(12), .sequence = sequence_number(1)};
    for (int i = 0; i < tasks; ++i) {
        task_start start{.task = task_of(i), .attempt = attempt, .lease_until = clock_now + 6s};
        start.spec.kind = kind_id("crawl");
        start.spec.declared = {2000, 8000, 0};
        start.spec.run_time = 3h;
        request.commands.emplace_back(start);
    }
    state.control(now, request);
    return state;
}

void count_bytes(benchmark::State& state, const std::string& text)
{
    state.counters["bytes"] = static_cast<double>(text.size());
}

void format_request(benchmark::State& state)
{
    const worker_request request = renew_all(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(format_worker_request(request));
    }
    count_bytes(state, format_worker_request(request));
}

void parse_report(benchmark::State& state)
{
    standin::worker_state worker = run_tasks(static_cast<int>(state.range(0)));
    worker_request request = renew_all(0);
    const std::string text = format_worker_report(worker.control({clock_now + 3s, wall_time(4s)}, request));
    std::string reason;
    for (auto _ : state) {
        benchmark::DoNotOptimize(parse_worker_report(text, &reason));
    }
    count_bytes(state, text);
}

// The worker's side in whole: read the request, let time pass, renew, report.
void serve_exchange(benchmark::State& state)
{
    const int tasks = static_cast<int>(state.range(0));
    standin::worker_state worker = run_tasks(tasks);
    worker_request request = renew_all(tasks);
    standin::worker_now now{clock_now, wall_time(1s)};
    for (auto _ : state) {
        request.sequence = request.sequence.next();
        now.clock += 1us;
        std::string reason;
        const auto read = parse_worker_request(format_worker_request(request), &reason);
        benchmark::DoNotOptimize(format_worker_report(worker.control(now, *read)));
    }
}

BENCHMARK(format_request)->Arg(0)->Arg(10)->Arg(25);
BENCHMARK(parse_report)->Arg(0)->Arg(10)->Arg(25);
BENCHMARK(serve_exchange)->Arg(0)->Arg(10)->Arg(25);

} // namespace

BENCHMARK_MAIN();
