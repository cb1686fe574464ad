// Cost of counting service-level burn, and of merging the reports of many entries.
#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

#include <random>

#include "burn_p.h"

using namespace skylarkhub;
using namespace std::chrono_literals;

namespace {

constexpr unsigned seed = 1;
constexpr int requests_per_service = 500;

std::vector<service_id> make_services(int count)
{
    std::vector<service_id> services;
    services.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        services.emplace_back(fmt::format("team_{}/service_{}", i % 120, i));
    }
    return services;
}

void fill(burn_recorder& recorder, const std::vector<service_id>& services)
{
    std::mt19937 random(seed);
    std::lognormal_distribution<double> latency(11, 0.6); // median about 60 ms
    for (const service_id& service : services) {
        for (int i = 0; i < requests_per_service; ++i) {
            recorder.record(instant(1h) + std::chrono::seconds(i), service, team_id("a"), service_outcome::done,
                            duration(std::llround(latency(random))), 100ms);
        }
    }
}

burn_report make_report(int services)
{
    burn_recorder recorder;
    fill(recorder, make_services(services));
    return recorder.report(instant(1h) + 10min, [](const service_id&) { return 0.999; });
}

void record_request(benchmark::State& state)
{
    const auto services = make_services(static_cast<int>(state.range(0)));
    burn_recorder recorder;
    const team_id team("a");
    std::size_t next = 0;
    instant now(1h);
    for (auto _ : state) {
        recorder.record(now, services[next], team, service_outcome::done, 50ms, 100ms);
        next = (next + 1) % services.size();
        now += 10us;
    }
}
BENCHMARK(record_request)->Arg(10)->Arg(100)->Arg(1000);

// Memory of an entry's counts, and the size of its report.
void report_entry(benchmark::State& state)
{
    const std::size_t before = mallinfo2().uordblks;
    burn_recorder recorder;
    fill(recorder, make_services(static_cast<int>(state.range(0))));
    const std::size_t bytes = mallinfo2().uordblks - before;
    std::size_t length = 0;
    for (auto _ : state) {
        const burn_report report = recorder.report(instant(1h) + 10min, [](const service_id&) { return 0.999; });
        length = format_report(report).dump().size();
    }
    state.counters["memory_bytes"] = static_cast<double>(bytes);
    state.counters["report_bytes"] = static_cast<double>(length);
}
BENCHMARK(report_entry)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMillisecond);

// Reading and merging the reports of that many entries with 100 services each.
void merge_entries(benchmark::State& state)
{
    const std::string text = format_report(make_report(100)).dump();
    for (auto _ : state) {
        burn_report merged;
        for (std::int64_t i = 0; i < state.range(0); ++i) {
            merge_report(merged, *parse_report(text, nullptr));
        }
        benchmark::DoNotOptimize(merged);
    }
}
BENCHMARK(merge_entries)->Arg(8)->Arg(32)->Arg(77)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
