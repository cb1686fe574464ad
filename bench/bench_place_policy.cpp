// Measures placement policies against each other on the same seeded input, and prints one table.
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <thread>

#include "place_world.h"

namespace {

using namespace skylarkhub;
using namespace skylarkhub::bench;

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto nth = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + nth, values.end());
    return values[static_cast<std::size_t>(nth)];
}

struct measure {
    const char* name;
    bool low_is_good;
    double (*of)(const world_result&);
};

const std::vector<measure>& measures()
{
    static const std::vector<measure> all = {
        {"service time above target, %", true,
         [](const world_result& r) { return 100 * r.service_time_above / r.service_time; }},
        {"service slowdown, p99", true,
         [](const world_result& r) {
             return percentile(std::vector<double>(r.slowdowns.begin(), r.slowdowns.end()), 0.99);
         }},
        {"batch work finished, core hours", false, [](const world_result& r) { return r.work_finished / 3600; }},
        {"batch tasks finished", false, [](const world_result& r) { return static_cast<double>(r.tasks_finished); }},
        {"evictions and kills", true, [](const world_result& r) { return static_cast<double>(r.evictions + r.kills); }},
        {"  of these planned", true, [](const world_result& r) { return static_cast<double>(r.evictions); }},
        {"  of these killed for memory", true, [](const world_result& r) { return static_cast<double>(r.kills); }},
        {"work lost, core hours", true, [](const world_result& r) { return r.work_lost / 3600; }},
        {"failed attempts", true, [](const world_result& r) { return static_cast<double>(r.failures); }},
        {"urgent start, p99 s", true, [](const world_result& r) { return percentile(r.urgent_waits, 0.99); }},
        {"urgent start, most s", true, [](const world_result& r) { return percentile(r.urgent_waits, 1.0); }},
        {"worker time beyond memory, %", true,
         [](const world_result& r) { return 100 * r.memory_over / r.worker_time; }},
        {"worker time beyond processors, %", true,
         [](const world_result& r) { return 100 * r.cpu_over / r.worker_time; }},
        {"worker time committed beyond capacity, %", true,
         [](const world_result& r) { return 100 * r.ledger_over / r.worker_time; }},
        {"task time beyond its commitment, %", true,
         [](const world_result& r) { return 100 * r.ledger_short / r.task_time; }},
        {"processors in use, %", false, [](const world_result& r) { return 100 * r.cpu_used; }},
        {"processors committed, %", false, [](const world_result& r) { return 100 * r.cpu_committed; }},
        {"processors withheld by throttles, %", true, [](const world_result& r) { return 100 * r.cpu_withheld; }},
        {"memory committed, %", false, [](const world_result& r) { return 100 * r.memory_committed; }},
        {"good jobs parked", true, [](const world_result& r) { return static_cast<double>(r.good_jobs_parked); }},
        {"hopeless jobs parked, %", false,
         [](const world_result& r) {
             return 100 * static_cast<double>(r.hopeless_jobs_parked) / static_cast<double>(r.hopeless_jobs);
         }},
        {"good worker time shut out, %", true, [](const world_result& r) { return 100 * r.good_shut / r.good_time; }},
        {"bad worker time shut out, %", false,
         [](const world_result& r) { return r.bad_time > 0 ? 100 * r.bad_shut / r.bad_time : 0; }},
        {"throttle commands", true, [](const world_result& r) { return static_cast<double>(r.throttles); }},
    };
    return all;
}

struct contender {
    std::string name;
    policy (*make)();
};

// Mean over the seeds of each measure, one row a contender.
std::vector<std::vector<double>> run_all(const std::vector<contender>& contenders, const world_options& options,
                                         int seeds)
{
    std::vector<std::vector<double>> sums(contenders.size(), std::vector<double>(measures().size(), 0));
    std::vector<std::thread> threads;
    for (std::size_t c = 0; c < contenders.size(); ++c) {
        threads.emplace_back([&, c] {
            for (int i = 0; i < seeds; ++i) {
                world_options o = options;
                o.seed = options.seed + static_cast<std::uint64_t>(i);
                const world_result result = place_world(o, contenders[c].make()).run();
                for (std::size_t m = 0; m < measures().size(); ++m) {
                    sums[c][m] += measures()[m].of(result) / seeds;
                }
            }
        });
    }
    for (std::thread& t : threads) {
        t.join();
    }
    return sums;
}

void print_table(const std::vector<contender>& contenders, const std::vector<std::vector<double>>& values)
{
    fmt::print("{:<42}", "");
    for (const contender& c : contenders) {
        fmt::print("{:>20}", c.name);
    }
    fmt::print("\n");
    for (std::size_t m = 0; m < measures().size(); ++m) {
        fmt::print("{:<42}", measures()[m].name);
        for (const auto& row : values) {
            fmt::print("{:>20.2f}", row[m]);
        }
        fmt::print("\n");
    }
}

// A user's score: each weighted measure against the best contender's, 1 for the best.
struct weights {
    const char* user;
    double latency;
    double throughput;
    double evictions;
};

void print_scores(const std::vector<contender>& contenders, const std::vector<std::vector<double>>& values)
{
    constexpr std::array<weights, 2> users = {
        {{"score, Tausi (0.6, 0.2, 0.2)", 0.6, 0.2, 0.2}, {"score, Blue Mahoe (0.2, 0.4, 0.4)", 0.2, 0.4, 0.4}}};
    constexpr std::size_t latency = 0;
    constexpr std::size_t throughput = 2;
    constexpr std::size_t evictions = 4;
    const auto relative = [&](std::size_t c, std::size_t m) {
        double best = values[0][m];
        for (const auto& row : values) {
            best = measures()[m].low_is_good ? std::min(best, row[m]) : std::max(best, row[m]);
        }
        constexpr double negligible = 0.1; // of a percent, or of an eviction
        return measures()[m].low_is_good ? (best + negligible) / (values[c][m] + negligible) : values[c][m] / best;
    };
    for (const weights& w : users) {
        fmt::print("{:<42}", w.user);
        for (std::size_t c = 0; c < contenders.size(); ++c) {
            fmt::print("{:>20.3f}", w.latency * relative(c, latency) + w.throughput * relative(c, throughput) +
                                        w.evictions * relative(c, evictions));
        }
        fmt::print("\n");
    }
}

policy first_fit()
{
    return first_fit_policy{};
}
policy best_fit()
{
    return best_fit_policy{};
}
policy ours()
{
    return learned_policy{std::make_shared<placement>(place_settings{}), false};
}
policy ours_two_classes()
{
    return learned_policy{std::make_shared<placement>(place_settings{}), true};
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options described("bench_place_policy", "Placement policies on one seeded cell");
    described.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "how many seeds to average", cxxopts::value<int>()->default_value("3"))(
        "seconds", "virtual time of a run", cxxopts::value<int>()->default_value("7200"))(
        "offered", "batch work on offer, share of all processors", cxxopts::value<double>()->default_value("0.7"))(
        "shrink", "let the cell make commitments smaller while tasks run")(
        "classes", "measure two classes of error against three, under losses of ownership");
    const auto given = described.parse(argc, argv);
    world_options options;
    options.seed = given["seed"].as<std::uint64_t>();
    options.seconds = given["seconds"].as<int>();
    options.offered = given["offered"].as<double>();
    options.shrink = given.count("shrink") > 0;
    const int seeds = given["seeds"].as<int>();
    std::vector<contender> contenders = {{"first fit", first_fit}, {"best fit", best_fit}, {"ours", ours}};
    if (given.count("classes") > 0) {
        options.takeover_every = 300;
        contenders = {{"two classes", ours_two_classes}, {"three classes", ours}};
    }
    fmt::print("bench_place_policy: seeds {} to {}, {} s, {} workers, batch work on offer {:.2f} of all processors\n",
               options.seed, options.seed + static_cast<std::uint64_t>(seeds) - 1, options.seconds, options.workers,
               options.offered);
    const auto values = run_all(contenders, options, seeds);
    print_table(contenders, values);
    print_scores(contenders, values);
    return 0;
}
