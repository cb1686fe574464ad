// Routing policies against each other: the same seeded requests through random, round robin, least in flight, power of
// two choices and the request gate. Prints one table.
// Usage: bench_route_policy [seed] [times callers ask again] [refuse|queue: what full runners do]
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "route_entries.h"
#include "route_world.h"

namespace skylarkhub {

namespace {

struct policy {
    const char* name;
    std::optional<plain_pick> plain; // empty: the gate
};
constexpr std::array policies{policy{"random", plain_pick::random}, policy{"round robin", plain_pick::round_robin},
                              policy{"least in flight", plain_pick::least_in_flight},
                              policy{"power of two", plain_pick::power_of_two}, policy{"ours", std::nullopt}};

struct result {
    std::vector<counts> phases;
    std::int64_t time_to_normal_ms = 0;
};

result run_policy(const policy& chosen, const options& run, const std::vector<input>& inputs)
{
    world<entry> around(run, inputs);
    std::vector<entry> entries;
    for (int self = 0; self < entry_count; ++self) {
        const std::uint64_t seed = run.seed * 100 + self;
        if (chosen.plain) {
            entries.emplace_back(plain_entry(around.ports_of(self), self, *chosen.plain, seed));
        }
        else {
            entries.emplace_back(gate_entry(around.ports_of(self), self, seed));
        }
    }
    around.run(std::move(entries));
    result out{around.results(), around.time_to_normal_ms()};
    for (counts& each : out.phases) {
        std::ranges::sort(each.latencies_ms);
    }
    return out;
}

double quantile(const counts& of, double probability)
{
    if (of.latencies_ms.empty()) {
        return 0;
    }
    const double last = static_cast<double>(of.latencies_ms.size() - 1);
    return of.latencies_ms[static_cast<std::size_t>(last * probability)];
}

void print_table(const std::vector<result>& results)
{
    fmt::print("{:<32}", "");
    for (const policy& each : policies) {
        fmt::print("{:>17}", each.name);
    }
    fmt::print("\n");
    const auto row = [&](const std::string& name, const std::function<std::string(const result&)>& cell) {
        fmt::print("{:<32}", name);
        for (const result& each : results) {
            fmt::print("{:>17}", cell(each));
        }
        fmt::print("\n");
    };
    for (std::size_t p = 0; p < phases.size(); ++p) {
        const std::string name = phases[p].name;
        for (const auto& [label, probability] :
             {std::pair{"p50", 0.5}, std::pair{"p99", 0.99}, std::pair{"p99.9", 0.999}}) {
            row(fmt::format("{}, {} ms", name, label),
                [&, at = probability](const result& r) { return fmt::format("{:.1f}", quantile(r.phases[p], at)); });
        }
        row(name + ", asked", [&](const result& r) { return fmt::format("{}", r.phases[p].asked); });
        row(name + ", refused", [&](const result& r) { return fmt::format("{}", r.phases[p].refused); });
        row(name + ", outcome unknown", [&](const result& r) { return fmt::format("{}", r.phases[p].unknown); });
        row(name + ", not answered",
            [&](const result& r) { return fmt::format("{}", r.phases[p].refused + r.phases[p].unknown); });
        row(name + ", retries and hedges", [&](const result& r) { return fmt::format("{}", r.phases[p].extra_sends); });
    }
    row("time to normal after burst, ms", [](const result& r) { return fmt::format("{}", r.time_to_normal_ms); });
}

} // namespace

} // namespace skylarkhub

int main(int argc, char** argv)
{
    using namespace skylarkhub;
    options run;
    run.seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    run.ask_again = argc > 2 ? std::atoi(argv[2]) : 0;
    run.runners_queue = argc > 3 && std::string(argv[3]) == "queue";
    const std::vector<input> inputs = make_inputs(run.seed);
    fmt::print("{} requests, {} entries, {} runners x {} slots, seed {}, callers ask again {} times, full runners {}\n",
               inputs.size(), entry_count, runner_count, slots_each, run.seed, run.ask_again,
               run.runners_queue ? "queue" : "refuse");
    std::vector<result> results;
    results.reserve(policies.size());
    for (const policy& each : policies) {
        results.push_back(run_policy(each, run, inputs));
    }
    print_table(results);
    return 0;
}
