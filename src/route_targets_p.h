// The targets of one service as one entry knows them: what the lists say, what it has in flight, how they answered, and
// which of them may get the next request.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base_random_p.h"
#include "route_estimate_p.h"
#include "route_share_p.h"
#include "route_types_p.h"

namespace skylarkhub {

// Names a target of one table while the table remembers it or has a send in flight to it.
struct target_handle {
    std::uint32_t index = invalid;

    static constexpr std::uint32_t invalid = 0xffffffff;
    bool valid() const { return index != invalid; }
    friend bool operator==(const target_handle&, const target_handle&) = default;
};

// usable: may get work. ejected: failed or stalled, out for a time. down: takes no connection. left: said so itself, by
// list or by probe. The last three get work again only after a probe that finds them healthy.
enum class target_health : std::uint8_t { usable, ejected, down, left };

// Where a target with room waits to be picked. slow: usable, but its answers take several times the service's mean.
// unlisted: no source shows it any longer; only used when nothing else is left, since a list can be stale or empty.
enum class target_tier : std::uint8_t { local, remote, slow, unlisted, closed };

// What one list says of a target.
enum class target_listing : std::uint8_t { absent, live, leaving };

struct target_state {
    seen_target seen;
    bool known = false; // false: the slot is free
    bool local = false;
    std::uint32_t centre = 0;               // index in the table's centres
    std::array<target_listing, 2> listed{}; // by target_source
    instant unlisted_since = instant::max();
    target_share share;

    std::int32_t in_flight = 0;
    double allowance = 0; // in flight at most as the target's own refusals taught; starts at the share
    instant progress{};   // last answer, or the first send after being idle
    service_time service;

    target_health health = target_health::usable;
    int failures_in_row = 0;
    double failure_rate = 0;
    int refusals_in_row = 0;
    int times_out = 0;    // ejections and losses in a row, for the back-off
    instant hold_until{}; // refused for want of a slot: no work until then
    instant probe_at{};   // when out of use: not before
    instant probed{};
    bool probe_pending = false;
    instant ramp_from{};
    bool ramping = false;

    target_tier tier = target_tier::closed;
    std::uint32_t place = 0; // within its tier
    bool counted_usable = false;
    bool watched = false;
    double rate = 0; // what it adds to service_rate()
};

// Whether the daemon is asked for a probe, and what operators are told.
struct table_news {
    std::vector<probe_target> probes;
    std::vector<gate_notice> notices;
};

class target_table {
public:
    target_table(data_centre_id own, std::uint64_t seed);

    void see_targets(instant now, const targets_seen& seen, table_news& news);
    void see_entries(instant now, const entries_seen& entries);
    void see_probe(instant now, const target_probed& probed, table_news& news);

    // The target for the next send, empty when none has room or waiting for a better one is shorter. `avoid` is not
    // picked while there is another. Costs the same however many targets there are.
    std::optional<target_handle> pick(instant now, target_handle avoid);
    // The same, but only a second target that is certainly no slower, for a hedge.
    std::optional<target_handle> pick_hedge(instant now, target_handle avoid);

    void count_send(instant now, target_handle target);
    // Settles one send. `took` since it was sent. `blame`: an unknown outcome speaks against the target (false when its
    // time was too short to tell).
    void count_end(instant now, target_handle target, send_outcome outcome, duration took, bool blame,
                   table_news& news);

    // Probes, returns, ramps and holds that are due. Call at next_wake() at the latest.
    void tick(instant now, table_news& news);
    instant next_wake() const { return wake_; }

    const target_state& at(target_handle target) const { return targets_[target.index]; }

    // Answers a second that the targets in use are good for as far as this entry's share goes.
    double service_rate() const { return rate_; }
    double mean_service() const { return mean_; }
    double slow_service() const { return slow_.value(); } // config::hedge_quantile of it; 0 while unknown
    std::int32_t usable() const { return usable_; }       // unlisted ones included
    std::int32_t known() const { return static_cast<std::int32_t>(by_id_.size()); }
    std::int64_t ejections() const { return ejections_; }

private:
    struct centre_state {
        data_centre_id id;
        std::uint32_t last_failed = target_handle::invalid;
        int failures_in_row = 0; // of different targets one after the other
        bool cut = false;
        int times_out = 0;
        instant probe_at{};
        double spill_success = 1; // smoothed share of sends that were not refused
        instant spill_after{};
    };

    std::uint32_t find_or_add(instant now, const seen_target& seen);
    void apply_listing(instant now, std::uint32_t index, table_news& news);
    void forget(std::uint32_t index);
    void share_out(instant now);

    bool listed_live(const target_state& target) const;
    bool in_use(const target_state& target) const;
    bool slow(instant now, const target_state& target) const;
    bool stalled(instant now, const target_state& target) const;
    double limit_of(instant now, const target_state& target) const;
    target_tier tier_of(instant now, const target_state& target) const;
    double rate_of(instant now, const target_state& target) const;
    void refresh(instant now, std::uint32_t index);
    void place_in(std::uint32_t index, target_tier tier);

    double cost_of(instant now, const target_state& target) const;
    std::uint32_t sample(instant now, target_tier tier, std::uint32_t avoid);
    std::uint32_t pick_from(instant now, target_tier tier, std::uint32_t avoid);
    bool better_to_wait(instant now, const target_state& target) const;

    void count_done(instant now, target_state& target, duration took);
    void count_refusal(instant now, std::uint32_t index, table_news& news);
    void count_failure(instant now, std::uint32_t index, duration took, table_news& news);
    void count_spill(instant now, const target_state& target, bool accepted);
    void pause_spill(instant now, const target_state& target);
    void count_centre(instant now, std::uint32_t index, bool reached, table_news& news);
    bool may_eject() const;
    void take_out(instant now, std::uint32_t index, target_health health, const std::string& why, table_news& news);
    void bring_back(instant now, std::uint32_t index, table_news& news);
    void bring_centre_back(instant now, std::uint32_t index, table_news& news);
    void start_ramp(instant now, target_state& target);
    void ask_probe(instant now, std::uint32_t index, table_news& news);
    void tick_target(instant now, std::uint32_t index, table_news& news);
    std::uint32_t find_centre(const data_centre_id& id);
    void refresh_centre(instant now, std::uint32_t centre);
    std::uint32_t some_target_of(std::uint32_t centre, std::uint32_t asked) const;
    void tick_centres(instant now, table_news& news);
    void watch(instant due, std::uint32_t index);
    instant due_of(instant now, const target_state& target) const;
    duration back_off(duration first, duration most, int times);

    data_centre_id own_;
    entries_seen entries_;
    random_source random_;
    std::vector<target_state> targets_;
    std::vector<std::uint32_t> free_;
    absl::flat_hash_map<target_id, std::uint32_t> by_id_;
    std::vector<centre_state> centres_;               // few, never removed
    std::array<std::vector<std::uint32_t>, 4> tiers_; // by target_tier, all but closed
    std::vector<std::uint32_t> watched_;              // what tick() looks at
    instant wake_ = instant::max();
    double rate_ = 0;
    double mean_;
    double answers_ = 0;
    recent_quantile slow_;
    std::int32_t usable_ = 0;
    std::int64_t ejections_ = 0;
};

} // namespace skylarkhub
