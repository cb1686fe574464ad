// The policies of the routing benchmark: plain entries with a choice of target, and entries with a request gate.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/random/random.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base_random_p.h"
#include "request_gate_p.h"
#include "route_world.h"

namespace skylarkhub {

enum class plain_pick : std::uint8_t { random, round_robin, least_in_flight, power_of_two };

// What entries without a gate do: send at once to the pick, and pick again up to three times after a refusal.
class plain_entry {
public:
    plain_entry(entry_ports ports, int self, plain_pick pick, std::uint64_t seed)
        : ports_(std::move(ports)), pick_(pick), random_(make_random(seed)), next_(self)
    {}
    void arrive(int request, bool idempotent, duration left);
    void end(int request, std::int64_t number, send_outcome outcome);
    void see(const std::vector<seen_target>& targets);
    void tick() {}
    static instant next_wake() { return instant::max(); }

private:
    struct open_request {
        bool idempotent = true;
        instant deadline{};
        int sends = 0;
        int target = 0;
        bool may_have_run = false;
    };
    static constexpr int sends_most = 4;

    int choose();
    void send(int request, open_request& open);

    entry_ports ports_;
    plain_pick pick_;
    random_source random_;
    std::size_t next_;
    std::vector<int> targets_;
    std::array<int, runner_count> in_flight_{};
    absl::flat_hash_map<int, open_request> open_;
};

class gate_entry {
public:
    gate_entry(entry_ports ports, int self, std::uint64_t seed);
    void arrive(int request, bool idempotent, duration left);
    void end(int request, std::int64_t number, send_outcome outcome);
    void see(const std::vector<seen_target>& targets);
    void tick() { decide(gate_tick{}); }
    instant next_wake() const { return gate_.next_wake(); }

private:
    void decide(const gate_event& event);

    entry_ports ports_;
    request_gate gate_;
};

class entry {
public:
    template <class Policy> explicit entry(Policy policy) : policy_(std::move(policy)) {}

    void arrive(int request, bool idempotent, duration left)
    {
        std::visit([&](auto& each) { each.arrive(request, idempotent, left); }, policy_);
    }
    void end(int request, std::int64_t number, send_outcome outcome)
    {
        std::visit([&](auto& each) { each.end(request, number, outcome); }, policy_);
    }
    void see(const std::vector<seen_target>& targets)
    {
        std::visit([&](auto& each) { each.see(targets); }, policy_);
    }
    void tick()
    {
        std::visit([](auto& each) { each.tick(); }, policy_);
    }
    instant next_wake() const
    {
        return std::visit([](const auto& each) { return each.next_wake(); }, policy_);
    }

private:
    std::variant<plain_entry, gate_entry> policy_;
};

inline void plain_entry::arrive(int request, bool idempotent, duration left)
{
    open_request& open = open_[request] = {.idempotent = idempotent, .deadline = ports_.now() + left};
    send(request, open);
}

inline int plain_entry::choose()
{
    const auto any = [&] { return targets_[absl::Uniform<std::size_t>(random_, 0, targets_.size())]; };
    const auto lesser = [&](int a, int b) { return in_flight_[a] < in_flight_[b]; };
    switch (pick_) {
    case plain_pick::random:
        return any();
    case plain_pick::round_robin:
        return targets_[next_++ % targets_.size()];
    case plain_pick::least_in_flight: {
        // Ties go round, or all entries would press on the first of the list.
        std::size_t best = next_++ % targets_.size();
        for (std::size_t each = 0; each < targets_.size(); ++each) {
            const std::size_t at = (best + each) % targets_.size();
            best = lesser(targets_[at], targets_[best]) ? at : best;
        }
        return targets_[best];
    }
    case plain_pick::power_of_two:
        return std::min(any(), any(), lesser);
    }
    return any();
}

inline void plain_entry::send(int request, open_request& open)
{
    open.target = choose();
    open.sends += 1;
    in_flight_[open.target] += 1;
    ports_.send(request, open.sends, open.target, open.deadline - ports_.now());
}

inline void plain_entry::end(int request, std::int64_t /*number*/, send_outcome outcome)
{
    open_request& open = open_.at(request);
    in_flight_[open.target] -= 1;
    open.may_have_run |= outcome == send_outcome::unknown;
    const bool allowed = outcome != send_outcome::unknown || open.idempotent;
    if (outcome != send_outcome::done && allowed && open.sends < sends_most && ports_.now() < open.deadline) {
        return send(request, open);
    }
    const request_outcome told = outcome == send_outcome::done ? request_outcome::done
                                 : open.may_have_run           ? request_outcome::unknown
                                                               : request_outcome::did_not_run;
    open_.erase(request);
    ports_.answer(request, {told});
}

inline void plain_entry::see(const std::vector<seen_target>& targets)
{
    targets_.clear();
    for (const seen_target& each : targets) {
        if (!each.leaving) {
            targets_.push_back(std::stoi(each.target.str()));
        }
    }
}

inline gate_entry::gate_entry(entry_ports ports, int self, std::uint64_t seed)
    : ports_(std::move(ports)),
      gate_(service_id("tausi/news"), data_centre_id(std::to_string(centre_of(self))), {}, seed)
{
    entries_seen seen{.in_data_centre = 0, .everywhere = entry_count, .rank_everywhere = self};
    for (int each = 0; each < entry_count; ++each) {
        const bool same = centre_of(each) == centre_of(self);
        seen.in_data_centre += same ? 1 : 0;
        seen.rank_in_data_centre += same && each < self ? 1 : 0;
    }
    std::vector<gate_action> none;
    gate_.decide(instant{}, seen, none);
}

inline void gate_entry::arrive(int request, bool idempotent, duration left)
{
    const work_kind kind{.latency_critical = true, .exclusive = !idempotent};
    decide(request_arrived{.request = request_number(request), .kind = kind, .time_left = left});
}

inline void gate_entry::end(int request, std::int64_t number, send_outcome outcome)
{
    decide(target_answered{request_number(request), send_number(number), outcome, duration(0), {}});
}

inline void gate_entry::see(const std::vector<seen_target>& targets)
{
    decide(targets_seen{target_source::platform_list, targets});
}

inline void gate_entry::decide(const gate_event& event)
{
    std::vector<gate_action> actions;
    gate_.decide(ports_.now(), event, actions);
    for (const gate_action& action : actions) {
        std::visit(detail::overloaded{
                       [&](const send_request& a) {
                           ports_.send(static_cast<int>(a.request.value()), a.send.value(), std::stoi(a.target.str()),
                                       a.answer_wait);
                       },
                       [&](const answer_request& a) {
                           ports_.answer(static_cast<int>(a.request.value()), {a.outcome, a.retry_after});
                       },
                       [&](const probe_target& a) {
                           ports_.probe(std::stoi(a.target.str()), [this, target = a.target](probe_outcome o) {
                               decide(target_probed{target, o});
                           });
                       },
                       [](const auto&) {},
                   },
                   action);
    }
}

} // namespace skylarkhub
