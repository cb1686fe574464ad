// The table's client: commits and reads a second over loopback, processor time of each, the cost of its decisions, and
// the traffic of retries around an outage beside that of callers who simply try again.
//
// SKYLARKHUB_PLATFORM=IP:port measures against a stand-in that runs as a process of its own, so that the processor time
// is the client's alone; otherwise the stand-in runs within this process.
#include <absl/random/distributions.h>
#include <absl/synchronization/mutex.h>
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>

#include "platform_client_p.h"
#include "platform_service_p.h"
#include "support_platform.h"

using namespace skylarkhub;
using namespace std::chrono_literals;
using tests::table_fault;

namespace {

constexpr double no_budget = 1e9;

struct wire_pair {
    wire_pair()
    {
        const char* const outside = std::getenv("SKYLARKHUB_PLATFORM");
        std::string reason;
        if (outside == nullptr) {
            service = standin::platform_service::start({}, &reason);
        }
        const net_address address = outside == nullptr ? service->address() : net_address(outside);
        client = std::make_unique<platform_client>(http, platform_client::options{.address = address,
                                                                                  .writes_per_second = no_budget,
                                                                                  .reads_per_second = no_budget});
    }

    std::unique_ptr<standin::platform_service> service;
    http_client http;
    std::unique_ptr<platform_client> client;
};

// Keeps a fixed number of calls under way; `send` starts one and calls `done` when it has ended well.
class call_window {
public:
    explicit call_window(std::int64_t width) : width_(width) {}

    template <class Send> void call(Send send)
    {
        {
            absl::MutexLock lock(&mutex_);
            mutex_.Await(absl::Condition(this, &call_window::has_room));
            ++open_;
        }
        send([this](bool good) {
            absl::MutexLock lock(&mutex_);
            --open_;
            failed_ += good ? 0 : 1;
        });
    }

    std::int64_t finish()
    {
        absl::MutexLock lock(&mutex_);
        mutex_.Await(absl::Condition(this, &call_window::is_empty));
        return failed_;
    }

private:
    bool has_room() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return open_ < width_; }
    bool is_empty() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return open_ == 0; }

    const std::int64_t width_;
    absl::Mutex mutex_;
    std::int64_t open_ ABSL_GUARDED_BY(mutex_) = 0;
    std::int64_t failed_ ABSL_GUARDED_BY(mutex_) = 0;
};

std::string new_name()
{
    static const std::int64_t run = std::chrono::system_clock::now().time_since_epoch().count();
    static std::int64_t last = 0;
    return fmt::format("bench/{}/{}", run, ++last);
}

table_transaction new_row(const std::string& name, std::size_t bytes)
{
    return {operation_id(name), {{name, row_version(0)}}, {{name, std::string(bytes, 'x')}}};
}

constexpr std::size_t row_bytes = 400;

void commit(benchmark::State& state)
{
    wire_pair p;
    call_window window(state.range(0));
    for (auto _ : state) {
        window.call([&](auto done) {
            p.client->commit(table_traffic::ownership, new_row(new_name(), row_bytes),
                             [done](const table_result& r) { done(r.outcome == table_outcome::applied); });
        });
    }
    state.counters["failed"] = static_cast<double>(window.finish());
    state.SetItemsProcessed(state.iterations());
}

void commit_settled(benchmark::State& state)
{
    wire_pair p;
    call_window window(state.range(0));
    for (auto _ : state) {
        window.call([&](auto done) {
            p.client->commit_settled(table_traffic::ownership, new_row(new_name(), row_bytes), 5s,
                                     [done](const table_result& r) { done(r.outcome == table_outcome::applied); });
        });
    }
    state.counters["failed"] = static_cast<double>(window.finish());
    state.SetItemsProcessed(state.iterations());
}

void read_row(benchmark::State& state)
{
    wire_pair p;
    call_window window(state.range(0));
    const std::string name = new_name();
    window.call([&](auto done) {
        p.client->commit(table_traffic::ownership, new_row(name, row_bytes),
                         [done](const table_result& r) { done(r.outcome == table_outcome::applied); });
    });
    for (auto _ : state) {
        window.call([&](auto done) {
            p.client->read(table_traffic::ownership, name,
                           [done](const std::optional<table_row>& row) { done(row && row->value); });
        });
    }
    state.counters["failed"] = static_cast<double>(window.finish());
    state.SetItemsProcessed(state.iterations());
}

// What one commit costs in decisions alone, without JSON and sockets.
void decide_commit(benchmark::State& state)
{
    platform_table table({.writes_per_second = no_budget, .reads_per_second = no_budget}, 1);
    const table_transaction t = new_row("bench/one", row_bytes);
    instant now(1h);
    table_ask ask;
    std::vector<table_action> actions;
    for (auto _ : state) {
        ask = ask.next();
        now += 10us;
        actions.clear();
        table.decide(now, table_settle_asked{ask, table_traffic::work, t, 5s}, actions);
        const table_call call = std::get<send_table_commit>(actions.front()).call;
        table.decide(now, table_commit_answered{call, {t.operation, table_outcome::applied, {}, {}}}, actions);
        benchmark::DoNotOptimize(actions);
    }
}

// --- an outage, in virtual time ---

constexpr int entries = 9;
constexpr int callers_each = 30;
constexpr duration caller_pace = 1s;
constexpr duration outage_length = 60s;
constexpr duration call_timeout = 2s;

// A table that serves so many calls a second, one after the other, and none while it is down: what was sent meanwhile
// is still worked off afterwards, whether or not anybody waits for it.
struct limited_table {
    duration commit_cost = 2500us; // 400 a second
    duration read_cost = 500us;    // 2,000 a second
    instant down_from{};
    instant down_until{};
    instant busy_until{};
    std::deque<instant> arrivals;

    duration take(instant now, bool is_commit)
    {
        arrivals.push_back(now);
        instant begin = std::max(now, busy_until);
        if (begin >= down_from && begin < down_until) {
            begin = down_until;
        }
        busy_until = begin + (is_commit ? commit_cost : read_cost);
        return busy_until - now;
    }
    std::int64_t arrived(instant from, instant until) const
    {
        return std::count_if(arrivals.begin(), arrivals.end(), [&](instant t) { return t >= from && t < until; });
    }
};

// One caller of many, who commits one row after the other.
struct caller {
    tests::virtual_table* world = nullptr;
    limited_table* table = nullptr;
    std::vector<instant>* served = nullptr;
    int entry = 0;
    int id = 0;
    int rows = 0;
    bool naive = false;

    void start(duration after)
    {
        world->at(world->now() + after, [this] { next(); });
    }

    void next()
    {
        const std::string row = fmt::format("caller/{}/{}", id, ++rows);
        table_transaction t{operation_id(row), {{row, row_version(0)}}, {{row, "x"}}};
        if (naive) {
            try_again(std::move(t));
            return;
        }
        world->commit_settled(entry, table_traffic::work, std::move(t), 5s,
                              [this](const table_result& r) { take(r.outcome == table_outcome::applied); });
    }

    void take(bool good)
    {
        if (good) {
            served->push_back(world->now());
        }
        start(good ? caller_pace : std::max<duration>(100ms, world->stats(entry).retry_after));
    }

    // Sends until it is answered: after the timeout, and 100 ms later again. A conflict with its own row is a success.
    void try_again(table_transaction t)
    {
        const duration wait = table->take(world->now(), true);
        const instant sent = world->now();
        if (wait > call_timeout) {
            world->at(sent + call_timeout + 100ms, [this, t = std::move(t)] { try_again(t); });
            return;
        }
        world->at(sent + wait, [this] { take(true); });
    }
};

// Counters: calls a second in the outage, the most calls in one second after it, and how long after it the callers were
// served as before again (nine tenths of the rate; -1: not within ten minutes).
void outage(benchmark::State& state)
{
    const bool naive = state.range(0) == 1;
    for (auto _ : state) {
        tests::virtual_table world(entries, {.timeout = call_timeout}, static_cast<std::uint64_t>(state.range(1)));
        limited_table table;
        world.fault = [&](bool is_commit) {
            return table_fault{table_fault::kind::none, table.take(world.now(), is_commit)};
        };
        table.down_from = world.now() + 20s;
        table.down_until = table.down_from + outage_length;
        std::vector<instant> served;
        std::vector<std::unique_ptr<caller>> callers;
        for (int i = 0; i < entries * callers_each; ++i) {
            callers.push_back(std::make_unique<caller>(caller{&world, &table, &served, i % entries, i, 0, naive}));
            callers.back()->start(caller_pace * i / (entries * callers_each));
        }
        world.run_until(table.down_until + 10min);

        const auto served_in = [&](instant from, instant until) {
            return std::count_if(served.begin(), served.end(), [&](instant t) { return t >= from && t < until; });
        };
        const auto before = served_in(table.down_from - 10s, table.down_from) / 10;
        std::int64_t peak = 0;
        int recovered = -1;
        for (int s = 0; s < 590; ++s) {
            const instant from = table.down_until + std::chrono::seconds(s);
            peak = std::max(peak, table.arrived(from, from + 1s));
            if (recovered < 0 && served_in(from, from + 5s) >= before * 5 * 9 / 10) {
                recovered = s;
            }
        }
        state.counters["served_before/s"] = static_cast<double>(before);
        state.counters["calls_in_outage/s"] = static_cast<double>(table.arrived(table.down_from, table.down_until)) /
                                              std::chrono::duration<double>(outage_length).count();
        state.counters["peak_after/s"] = static_cast<double>(peak);
        state.counters["recovered_s"] = recovered;
    }
}

// Lost answers, in virtual time: the percentage lost goes in, half of it after the write took effect and half before.
// Counters: calls a settled commit, and the share of each outcome told.
void lost_answers(benchmark::State& state)
{
    constexpr int commits = 10000;
    const double lost = static_cast<double>(state.range(0)) / 100;
    for (auto _ : state) {
        tests::virtual_table world(1, {.writes_per_second = no_budget, .reads_per_second = no_budget}, 1);
        table_random random(static_cast<std::uint64_t>(state.range(1)));
        std::int64_t calls = 0;
        world.fault = [&](bool) {
            ++calls;
            const bool effect = absl::Bernoulli(random, 0.5);
            const bool hit = absl::Bernoulli(random, lost);
            const auto kind = effect ? table_fault::kind::lost_after_effect : table_fault::kind::lost_before_effect;
            return table_fault{hit ? kind : table_fault::kind::none};
        };
        std::array<int, 4> told{};
        for (int i = 0; i < commits; ++i) {
            world.at(world.now() + i * 10ms, [&, i] {
                world.commit_settled(0, table_traffic::work, new_row(fmt::format("row/{}", i), 10), 5s,
                                     [&](const table_result& r) { ++told[static_cast<std::size_t>(r.outcome)]; });
            });
        }
        world.run_for(commits * 10ms + 10s);
        state.counters["calls_per_commit"] = static_cast<double>(calls) / commits;
        state.counters["applied"] = told[static_cast<std::size_t>(table_outcome::applied)];
        state.counters["refused"] = told[static_cast<std::size_t>(table_outcome::refused)];
        state.counters["unknown"] = told[static_cast<std::size_t>(table_outcome::unknown)];
    }
}

BENCHMARK(commit)->Arg(1)->Arg(16)->Arg(64)->MeasureProcessCPUTime()->UseRealTime();
BENCHMARK(commit_settled)->Arg(16)->MeasureProcessCPUTime()->UseRealTime();
BENCHMARK(read_row)->Arg(1)->Arg(16)->Arg(64)->MeasureProcessCPUTime()->UseRealTime();
BENCHMARK(decide_commit);
BENCHMARK(lost_answers)->ArgNames({"percent", "seed"})->ArgsProduct({{0, 1, 10, 30}, {1}})->Iterations(1);
BENCHMARK(outage)->ArgNames({"naive", "seed"})->ArgsProduct({{0, 1}, {1, 2, 3}})->Iterations(1);

} // namespace

BENCHMARK_MAIN();
