// Service-level burn: how fast each service uses up its error budget, with what else operators ask about batch work and
// watches. Each entry counts alone; reports of several entries add up to one without a central node.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "burn_histogram_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// done: the whole answer. refused: did not run. unknown: it may have run.
enum class service_outcome : std::uint8_t { done, refused, unknown };

// Requests of one window. `late` ones are among the done ones.
struct burn_counts {
    std::int64_t done = 0;
    std::int64_t late = 0;
    std::int64_t refused = 0;
    std::int64_t unknown = 0;

    std::int64_t total() const { return done + refused + unknown; }
    std::int64_t bad() const { return late + refused + unknown; }
};

// Batch work of one team since the entry's start.
struct batch_counts {
    std::int64_t accepted = 0;
    std::int64_t finished = 0;
    std::int64_t parked = 0;
    std::int64_t cancelled = 0;
    std::int64_t evictions = 0;
    double work_lost_seconds = 0; // progress that has to be made again
};

// Due times of one team's standing work since the entry's start; due = run + missed + those still open.
struct watch_counts {
    std::int64_t due = 0;
    std::int64_t run = 0;
    std::int64_t missed = 0;
};

// The windows over which burn is measured, shortest first.
struct burn_window {
    const char* name;
    duration length;
};
inline constexpr std::size_t burn_window_count = 4;
extern const std::array<burn_window, burn_window_count> burn_windows;

// Alerts when both windows burn at least this many times faster than the objective allows: the long one shows that it
// matters, the short one that it still goes on.
struct burn_alert {
    const char* name;
    std::size_t short_window; // index into burn_windows
    std::size_t long_window;
    double threshold;
};
extern const std::array<burn_alert, 2> burn_alerts;

// One service as one caller team uses it.
struct service_burn {
    service_id service;
    team_id team;
    double objective = 0;       // share of requests that must be good
    duration latency_target{0}; // 0: every answer is in time
    std::array<burn_counts, burn_window_count> windows;
    latency_histogram latency; // of done requests, over the last 30 to 60 minutes
};

// What one or several entries counted.
struct burn_report {
    struct source {
        std::string entry;
        std::string data_centre;
        wall_time since{}; // counts begin here
        wall_time made{};
        bool missing = false; // did not answer: its figures are not in this report
        std::string reason;
    };
    std::vector<source> sources;
    std::vector<service_burn> services;
    std::map<std::string, batch_counts> batch;   // by team
    std::map<std::string, watch_counts> watches; // by team
};

// Bad requests over those the objective allows: 1 uses the budget up exactly. Empty without requests.
std::optional<double> burn_rate(const burn_counts& counts, double objective);

// Names of alerts that stand.
std::vector<std::string> standing_alerts(const service_burn& service);

// Adds what `other` counted; the same service meets the stricter objective of the two.
void merge_report(burn_report& into, const burn_report& other);

// JSON of docs/PROTOCOLS.md. The derived figures (burn, alerts, percentiles) are in it for readers and ignored when
// parsed.
nlohmann::json format_report(const burn_report& report);
std::optional<burn_report> parse_report(const std::string& json, std::string* last_reason);

// Counts for one entry, or one shard of it; a shard has its own lock, and their reports are merged.
class burn_recorder {
public:
    burn_recorder();
    ~burn_recorder();
    burn_recorder(burn_recorder&&) noexcept;
    burn_recorder& operator=(burn_recorder&&) noexcept;

    // One request that ended at `now`. `latency` is from arrival to the whole answer; `target` 0: no latency target.
    void record(instant now, const service_id& service, const team_id& team, service_outcome outcome, duration latency,
                duration target);

    void add_batch(const team_id& team, const batch_counts& more);
    void add_watches(const team_id& team, const watch_counts& more);

    // `objective_of` gives the share in force for a service. Services without a request in the longest window are left
    // out and forgotten.
    burn_report report(instant now, const std::function<double(const service_id&)>& objective_of);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace skylarkhub
