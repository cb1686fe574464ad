// Fakes for the routing benchmark: runners with slots, links between data centres, a lagging list and the callers'
// seeded requests, in one event loop in virtual time. Not a model of a cluster: only what a choice of target can feel.
#pragma once

#include <absl/random/random.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "request_gate_p.h"

namespace skylarkhub {

using namespace std::chrono_literals;

// --- the input, the same for every policy ---

inline constexpr int entry_count = 9;
inline constexpr int runner_count = 50;
inline constexpr int centre_count = 4;
inline constexpr int slots_each = 8;
inline constexpr int connections_each = 60;
inline constexpr double mean_demand_ms = 20;
inline constexpr double demand_sigma = 0.6; // of the logarithm
inline constexpr double usual_load = 0.7;   // of all slots
inline constexpr double burst_load = 1.5;
inline constexpr double idempotent_share = 0.8; // quick checks; the others are exclusive bulletins
inline constexpr duration deadline = 1s;
inline constexpr duration list_lag = 8s;
inline constexpr duration list_every = 1s;
inline constexpr duration link_inside = 250us; // one way
inline constexpr duration link_between = 1ms;
inline constexpr duration late_after = 200ms;
inline constexpr duration window = 100ms;
inline constexpr double slow_runner_factor = 10;

struct phase {
    const char* name;
    duration from;
    double load;
};
inline constexpr std::array phases{phase{"steady", 2s, usual_load}, phase{"slow runner", 12s, usual_load},
                                   phase{"runners leave", 22s, usual_load}, phase{"burst 1.5x", 32s, burst_load},
                                   phase{"after burst", 37s, usual_load}};
inline constexpr duration run_length = 47s;
inline constexpr duration burst_end = phases.back().from;
inline constexpr int slow_runner = 3;
inline constexpr int leaving_runner = 17;
inline constexpr int killed_runner = 30;

struct input {
    instant at{};
    int entry = 0;
    double demand_ms = 0;
    bool idempotent = true;
};

inline int phase_at(instant at)
{
    int found = -1;
    for (const phase& each : phases) {
        found += at.time_since_epoch() >= each.from ? 1 : 0;
    }
    return found;
}

inline std::vector<input> make_inputs(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const double capacity_per_micro = runner_count * slots_each / (mean_demand_ms * 1000);
    std::vector<input> inputs;
    double at = 0;
    while (at < static_cast<double>(run_length.count())) {
        const instant now{duration(static_cast<std::int64_t>(at))};
        const double load = phases[static_cast<std::size_t>(std::max(phase_at(now), 0))].load;
        at += absl::Exponential(random, load * capacity_per_micro);
        const double demand =
            mean_demand_ms * std::exp(absl::Gaussian(random, -demand_sigma * demand_sigma / 2, demand_sigma));
        inputs.push_back({instant{duration(static_cast<std::int64_t>(at))}, absl::Uniform(random, 0, entry_count),
                          demand, absl::Bernoulli(random, idempotent_share)});
    }
    return inputs;
}

// --- runners, links and time ---

struct runner {
    int centre = 0;
    double factor = 1;
    bool leaving = false;
    bool dead = false;
    int busy = 0;
    std::vector<std::int64_t> sends;  // in service
    std::deque<std::int64_t> waiting; // only when runners queue
};

struct sent {
    int entry = 0;
    int request = 0;
    std::int64_t number = 0;
    int runner = 0;
    bool ended = false;
};

struct told {
    request_outcome outcome = request_outcome::unknown;
    duration retry_after{0};
};

struct counts {
    std::vector<double> latencies_ms;
    std::int64_t refused = 0;
    std::int64_t unknown = 0;
    std::int64_t extra_sends = 0;
    std::int64_t asked = 0;
};

struct options {
    std::uint64_t seed = 1;
    int ask_again = 0;
    bool runners_queue = false;
};

inline int centre_of(int self)
{
    return self % centre_count;
}

// What an entry reaches of the world around it.
struct entry_ports {
    std::function<instant()> now;
    std::function<void(int request, std::int64_t number, int target, duration wait)> send;
    std::function<void(int target, std::function<void(probe_outcome)> done)> probe;
    std::function<void(int request, told what)> answer;
};

// Carries time, sends, probes and lists between the entries and the runners. An entry has arrive, end, see, tick and
// next_wake.
template <class Entry> class world {
public:
    world(const options& run, const std::vector<input>& inputs) : run_(run), inputs_(inputs), asked_(inputs.size())
    {
        for (int each = 0; each < runner_count; ++each) {
            runners_[each].centre = each % centre_count;
        }
    }
    void run(std::vector<Entry> entries);
    entry_ports ports_of(int self);

    instant now() const { return now_; }
    void send(int self, int request, std::int64_t number, int target, duration wait);
    void probe(int self, int target, std::function<void(probe_outcome)> done);
    void answer(int request, told what);
    const std::vector<counts>& results() const { return results_; }
    std::int64_t time_to_normal_ms() const;

private:
    struct timed {
        instant at{};
        std::int64_t order = 0;
        std::function<void()> act;
        bool operator<(const timed& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };
    void after(duration delay, std::function<void()> act);
    duration link(int self, int target) const
    {
        return centre_of(self) == runners_[target].centre ? link_inside : link_between;
    }
    void ask(int request);
    void reach(std::int64_t send);
    void serve(std::int64_t send);
    void served(std::int64_t send);
    void end_after_link(std::int64_t send, send_outcome outcome);
    void end(std::int64_t send, send_outcome outcome);
    void kill(int target);
    void show_list();
    void plan_faults();
    void wake(int self);

    options run_;
    const std::vector<input>& inputs_;
    std::vector<int> asked_;
    std::array<runner, runner_count> runners_;
    std::vector<Entry> entries_;
    std::vector<sent> sends_;
    std::priority_queue<timed> events_;
    std::int64_t order_ = 0;
    instant now_{};
    std::deque<std::pair<instant, std::vector<seen_target>>> lists_;
    std::array<instant, entry_count> wakes_{};
    std::vector<counts> results_ = std::vector<counts>(phases.size());
    struct window_counts {
        int asked = 0;
        int bad = 0;
    };
    std::vector<window_counts> windows_ = std::vector<window_counts>(run_length / window + 1);
};

template <class Entry> void world<Entry>::after(duration delay, std::function<void()> act)
{
    events_.push({now_ + delay, order_++, std::move(act)});
}

template <class Entry> void world<Entry>::run(std::vector<Entry> entries)
{
    entries_ = std::move(entries);
    wakes_.fill(instant::max());
    plan_faults();
    show_list();
    std::size_t next = 0;
    while (next < inputs_.size() || !events_.empty()) {
        const bool arrival = next < inputs_.size() && (events_.empty() || inputs_[next].at <= events_.top().at);
        if (arrival) {
            now_ = inputs_[next].at;
            ask(static_cast<int>(next++));
            continue;
        }
        const timed event = events_.top();
        events_.pop();
        now_ = event.at;
        if (next >= inputs_.size() && now_.time_since_epoch() > run_length + 2 * deadline) {
            return;
        }
        event.act();
    }
}

template <class Entry> void world<Entry>::plan_faults()
{
    const auto at = [&](duration when, std::function<void()> act) {
        events_.push({instant{when}, order_++, std::move(act)});
    };
    at(phases[1].from, [this] { runners_[slow_runner].factor = slow_runner_factor; });
    at(phases[2].from, [this] {
        runners_[slow_runner].factor = 1;
        runners_[leaving_runner].leaving = true;
        kill(killed_runner);
    });
    at(phases[2].from + 3s, [this] { kill(leaving_runner); });
}

template <class Entry> void world<Entry>::kill(int target)
{
    runner& dying = runners_[target];
    dying.dead = true;
    for (const std::int64_t send : dying.sends) {
        end_after_link(send, send_outcome::unknown);
    }
    for (const std::int64_t send : dying.waiting) {
        end_after_link(send, send_outcome::unknown);
    }
    dying.sends.clear();
    dying.waiting.clear();
}

template <class Entry> void world<Entry>::show_list()
{
    std::vector<seen_target> list;
    for (int each = 0; each < runner_count; ++each) {
        if (!runners_[each].dead) {
            list.push_back({target_id(std::to_string(each)), data_centre_id(std::to_string(runners_[each].centre)),
                            net_address(std::to_string(each)), slots_each, connections_each, runners_[each].leaving});
        }
    }
    lists_.emplace_back(now_, std::move(list));
    while (lists_.size() > 1 && lists_[1].first + list_lag <= now_) {
        lists_.pop_front();
    }
    for (int self = 0; self < entry_count; ++self) {
        entries_[self].see(lists_.front().second);
        wake(self);
    }
    if (now_.time_since_epoch() < run_length) {
        after(list_every, [this] { show_list(); });
    }
}

template <class Entry> void world<Entry>::wake(int self)
{
    const instant due = entries_[self].next_wake();
    if (due >= wakes_[self]) {
        return;
    }
    wakes_[self] = due;
    after(std::max(due - now_, duration(0)), [this, self, due] {
        if (wakes_[self] == due) {
            wakes_[self] = instant::max();
            entries_[self].tick();
            wake(self);
        }
    });
}

template <class Entry> void world<Entry>::ask(int request)
{
    const input& in = inputs_[request];
    asked_[request] += 1;
    entries_[in.entry].arrive(request, in.idempotent, in.at + deadline - now_);
    wake(in.entry);
}

template <class Entry> void world<Entry>::send(int self, int request, std::int64_t number, int target, duration wait)
{
    const auto id = static_cast<std::int64_t>(sends_.size());
    sends_.push_back({self, request, number, target});
    const int in_phase = phase_at(inputs_[request].at);
    if (in_phase >= 0) {
        results_[in_phase].extra_sends += number > 1 ? 1 : 0;
    }
    after(link(self, target), [this, id] { reach(id); });
    after(wait, [this, id] { end(id, send_outcome::unknown); });
}

template <class Entry> void world<Entry>::reach(std::int64_t send)
{
    runner& at = runners_[sends_[send].runner];
    if (at.dead) {
        return end_after_link(send, send_outcome::not_sent);
    }
    if (at.leaving || (at.busy >= slots_each && !run_.runners_queue)) {
        return end_after_link(send, send_outcome::did_not_run);
    }
    if (at.busy < slots_each) {
        return serve(send);
    }
    if (at.busy + static_cast<int>(at.waiting.size()) >= connections_each) {
        return end_after_link(send, send_outcome::unknown);
    }
    at.waiting.push_back(send);
}

template <class Entry> void world<Entry>::serve(std::int64_t send)
{
    runner& at = runners_[sends_[send].runner];
    at.busy += 1;
    at.sends.push_back(send);
    const double micros = inputs_[sends_[send].request].demand_ms * 1000 * at.factor;
    after(duration(static_cast<std::int64_t>(micros)), [this, send] { served(send); });
}

template <class Entry> void world<Entry>::served(std::int64_t send)
{
    runner& at = runners_[sends_[send].runner];
    if (at.dead) {
        return;
    }
    at.busy -= 1;
    std::erase(at.sends, send);
    end_after_link(send, send_outcome::done);
    if (!at.waiting.empty()) {
        const std::int64_t next = at.waiting.front();
        at.waiting.pop_front();
        serve(next);
    }
}

template <class Entry> void world<Entry>::end_after_link(std::int64_t send, send_outcome outcome)
{
    after(link(sends_[send].entry, sends_[send].runner), [this, send, outcome] { end(send, outcome); });
}

template <class Entry> void world<Entry>::end(std::int64_t send, send_outcome outcome)
{
    sent& ending = sends_[send];
    if (ending.ended) {
        return;
    }
    ending.ended = true;
    const sent copy = ending; // ending it may start another send
    entries_[copy.entry].end(copy.request, copy.number, outcome);
    wake(copy.entry);
}

template <class Entry> void world<Entry>::probe(int self, int target, std::function<void(probe_outcome)> done)
{
    const runner& at = runners_[target];
    const probe_outcome outcome = at.dead      ? probe_outcome::unreachable
                                  : at.leaving ? probe_outcome::leaving
                                               : probe_outcome::healthy;
    after(2 * link(self, target), [this, self, outcome, done = std::move(done)] {
        done(outcome);
        wake(self);
    });
}

template <class Entry> void world<Entry>::answer(int request, told what)
{
    const input& in = inputs_[request];
    constexpr duration untold{50ms};
    const duration back = what.retry_after > duration(0) ? what.retry_after : untold;
    const bool again = what.outcome == request_outcome::did_not_run && asked_[request] <= run_.ask_again;
    if (again && now_ + back < in.at + deadline) {
        return after(back, [this, request] { ask(request); });
    }
    const int in_phase = phase_at(in.at);
    if (in_phase < 0) {
        return;
    }
    counts& result = results_[in_phase];
    const duration took = now_ - in.at;
    result.asked += 1;
    result.refused += what.outcome == request_outcome::did_not_run ? 1 : 0;
    result.unknown += what.outcome == request_outcome::unknown ? 1 : 0;
    if (what.outcome == request_outcome::done) {
        result.latencies_ms.push_back(static_cast<double>(took.count()) / 1000);
    }
    window_counts& slice = windows_[static_cast<std::size_t>(in.at.time_since_epoch() / window)];
    slice.asked += 1;
    slice.bad += what.outcome != request_outcome::done || took > late_after ? 1 : 0;
}

// From the end of the burst until, for a whole second and in its first window too, at most `normal` of the requests
// were bad (refused, unknown or late). The same bar for every policy; -1 when that never came.
template <class Entry> std::int64_t world<Entry>::time_to_normal_ms() const
{
    const auto share = [&](duration from, duration to) {
        window_counts sum;
        for (auto each = from / window; each < to / window; ++each) {
            sum.asked += windows_[each].asked;
            sum.bad += windows_[each].bad;
        }
        return static_cast<double>(sum.bad) / std::max(sum.asked, 1);
    };
    constexpr double normal = 0.002;
    for (duration from = burst_end; from + 1s <= run_length; from += window) {
        if (share(from, from + window) <= normal && share(from, from + 1s) <= normal) {
            return (from - burst_end) / 1ms;
        }
    }
    return -1;
}

template <class Entry> entry_ports world<Entry>::ports_of(int self)
{
    return {
        .now = [this] { return now_; },
        .send = [this, self](int request, std::int64_t number, int target,
                             duration wait) { send(self, request, number, target, wait); },
        .probe = [this, self](int target,
                              std::function<void(probe_outcome)> done) { probe(self, target, std::move(done)); },
        .answer = [this](int request, told what) { answer(request, what); },
    };
}

} // namespace skylarkhub
