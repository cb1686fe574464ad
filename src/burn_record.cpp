#include "burn_p.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace skylarkhub {

using namespace std::chrono_literals;

const std::array<burn_window, burn_window_count> burn_windows{{
    {"5m", 5min},
    {"30m", 30min},
    {"1h", 1h},
    {"6h", 6h},
}};

// The usual pairs: the fast one would use up a 30-day budget in about two days, the slow one in five.
const std::array<burn_alert, 2> burn_alerts{{
    {"fast_burn", 0, 2, 14.4},
    {"slow_burn", 1, 3, 6.0},
}};

namespace {

constexpr std::int64_t slots_per_window = 10;
constexpr duration latency_period = 30min;

struct slot {
    std::int64_t number = -1; // of the slot's length since the clock's origin; -1 when never used
    std::int32_t done = 0;
    std::int32_t late = 0;
    std::int32_t refused = 0;
    std::int32_t unknown = 0;
};

// One window as ten slots and the one being filled: it forgets a tenth of the window at a time.
class window_ring {
public:
    slot& at(instant now, duration length)
    {
        const std::int64_t number = number_of(now, length);
        slot& s = slots_[static_cast<std::size_t>(number) % slots_.size()];
        if (s.number != number) {
            s = slot{};
            s.number = number;
        }
        return s;
    }

    burn_counts sum(instant now, duration length) const
    {
        const std::int64_t newest = number_of(now, length);
        burn_counts counts;
        for (const slot& s : slots_) {
            if (s.number < 0 || s.number < newest - slots_per_window || s.number > newest) {
                continue;
            }
            counts.done += s.done;
            counts.late += s.late;
            counts.refused += s.refused;
            counts.unknown += s.unknown;
        }
        return counts;
    }

private:
    static std::int64_t number_of(instant now, duration length)
    {
        return now.time_since_epoch() / (length / slots_per_window);
    }

    std::array<slot, slots_per_window + 1> slots_;
};

struct service_counts {
    std::array<window_ring, burn_window_count> windows;
    std::int64_t latency_number = 0; // period of `latency_now`
    latency_histogram latency_now;
    latency_histogram latency_before;
    duration latency_target{0};

    void turn_latency(instant now)
    {
        const std::int64_t number = now.time_since_epoch() / latency_period;
        if (number == latency_number) {
            return;
        }
        latency_before = number == latency_number + 1 ? std::move(latency_now) : latency_histogram();
        latency_now = latency_histogram();
        latency_number = number;
    }
};

void count_into(slot& s, service_outcome outcome, bool late)
{
    switch (outcome) {
    case service_outcome::done:
        ++s.done;
        s.late += late ? 1 : 0;
        return;
    case service_outcome::refused:
        ++s.refused;
        return;
    case service_outcome::unknown:
        ++s.unknown;
        return;
    }
}

void add_counts(burn_counts& into, const burn_counts& more)
{
    into.done += more.done;
    into.late += more.late;
    into.refused += more.refused;
    into.unknown += more.unknown;
}

void add_counts(batch_counts& into, const batch_counts& more)
{
    into.accepted += more.accepted;
    into.finished += more.finished;
    into.parked += more.parked;
    into.cancelled += more.cancelled;
    into.evictions += more.evictions;
    into.work_lost_seconds += more.work_lost_seconds;
}

void add_counts(watch_counts& into, const watch_counts& more)
{
    into.due += more.due;
    into.run += more.run;
    into.missed += more.missed;
}

void merge_service(service_burn& into, const service_burn& more)
{
    into.objective = std::max(into.objective, more.objective);
    into.latency_target = std::max(into.latency_target, more.latency_target);
    into.latency.merge(more.latency);
    for (std::size_t i = 0; i < burn_window_count; ++i) {
        add_counts(into.windows.at(i), more.windows.at(i));
    }
}

} // namespace

std::optional<double> burn_rate(const burn_counts& counts, double objective)
{
    const double allowed = 1 - objective;
    if (counts.total() == 0 || allowed <= 0) {
        return std::nullopt;
    }
    return static_cast<double>(counts.bad()) / static_cast<double>(counts.total()) / allowed;
}

std::vector<std::string> standing_alerts(const service_burn& service)
{
    std::vector<std::string> names;
    for (const burn_alert& alert : burn_alerts) {
        const auto recent = burn_rate(service.windows.at(alert.short_window), service.objective);
        const auto lasting = burn_rate(service.windows.at(alert.long_window), service.objective);
        if (recent && lasting && *recent >= alert.threshold && *lasting >= alert.threshold) {
            names.emplace_back(alert.name);
        }
    }
    return names;
}

void merge_report(burn_report& into, const burn_report& other)
{
    into.sources.insert(into.sources.end(), other.sources.begin(), other.sources.end());
    absl::flat_hash_map<std::pair<service_id, team_id>, std::size_t> known;
    for (std::size_t i = 0; i < into.services.size(); ++i) {
        known.emplace(std::pair(into.services[i].service, into.services[i].team), i);
    }
    for (const service_burn& more : other.services) {
        const auto [at, fresh] = known.try_emplace(std::pair(more.service, more.team), into.services.size());
        if (fresh) {
            into.services.push_back(more);
            continue;
        }
        merge_service(into.services[at->second], more);
    }
    for (const auto& [team, counts] : other.batch) {
        add_counts(into.batch[team], counts);
    }
    for (const auto& [team, counts] : other.watches) {
        add_counts(into.watches[team], counts);
    }
}

struct burn_recorder::state {
    absl::flat_hash_map<std::pair<service_id, team_id>, std::unique_ptr<service_counts>> services;
    std::map<std::string, batch_counts> batch;
    std::map<std::string, watch_counts> watches;
};

burn_recorder::burn_recorder() : state_(std::make_unique<state>()) {}
burn_recorder::~burn_recorder() = default;
burn_recorder::burn_recorder(burn_recorder&&) noexcept = default;
burn_recorder& burn_recorder::operator=(burn_recorder&&) noexcept = default;

void burn_recorder::record(instant now, const service_id& service, const team_id& team, service_outcome outcome,
                           duration latency, duration target)
{
    std::unique_ptr<service_counts>& counts = state_->services[{service, team}];
    if (!counts) {
        counts = std::make_unique<service_counts>();
    }
    const bool late = target > 0us && latency > target;
    for (std::size_t i = 0; i < burn_window_count; ++i) {
        count_into(counts->windows.at(i).at(now, burn_windows.at(i).length), outcome, late);
    }
    counts->latency_target = target;
    counts->turn_latency(now);
    if (outcome == service_outcome::done) {
        counts->latency_now.add(latency);
    }
}

void burn_recorder::add_batch(const team_id& team, const batch_counts& more)
{
    add_counts(state_->batch[team.str()], more);
}

void burn_recorder::add_watches(const team_id& team, const watch_counts& more)
{
    add_counts(state_->watches[team.str()], more);
}

burn_report burn_recorder::report(instant now, const std::function<double(const service_id&)>& objective_of)
{
    burn_report report;
    report.batch = state_->batch;
    report.watches = state_->watches;
    for (auto at = state_->services.begin(); at != state_->services.end();) {
        const auto current = at++;
        service_counts& counts = *current->second;
        counts.turn_latency(now);
        service_burn line;
        line.service = current->first.first;
        line.team = current->first.second;
        line.latency_target = counts.latency_target;
        for (std::size_t i = 0; i < burn_window_count; ++i) {
            line.windows.at(i) = counts.windows.at(i).sum(now, burn_windows.at(i).length);
        }
        if (line.windows.back().total() == 0) {
            state_->services.erase(current);
            continue;
        }
        line.objective = objective_of(line.service);
        line.latency = counts.latency_before;
        line.latency.merge(counts.latency_now);
        report.services.push_back(std::move(line));
    }
    std::sort(report.services.begin(), report.services.end(), [](const service_burn& a, const service_burn& b) {
        return std::tie(a.service, a.team) < std::tie(b.service, b.team);
    });
    return report;
}

} // namespace skylarkhub
