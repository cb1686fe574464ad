#include <absl/random/distributions.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "route_targets_p.h"

namespace skylarkhub {

namespace {

constexpr double mean_gain = 0.02;    // of the service's mean, per answer
constexpr double failure_gain = 0.1;  // of a target's failure rate, per end
constexpr double recover_step = 0.25; // an answer's worth of a limit that refusals lowered
constexpr double spill_gain = 0.1;    // of a centre's spill success, per send
constexpr double jitter = 0.25;

} // namespace

void target_table::count_send(instant now, target_handle handle)
{
    target_state& target = targets_[handle.index];
    if (target.in_flight == 0) {
        target.progress = now;
    }
    target.in_flight += 1;
    pause_spill(now, target);
    refresh(now, handle.index);
}

void target_table::count_end(instant now, target_handle handle, send_outcome outcome, duration took, bool blame,
                             table_news& news)
{
    target_state& target = targets_[handle.index];
    target.in_flight -= 1;
    target.progress = now;
    switch (outcome) {
    case send_outcome::done:
        count_done(now, target, took);
        count_spill(now, target, true);
        count_centre(now, handle.index, true, news);
        break;
    case send_outcome::did_not_run:
        count_refusal(now, handle.index, news);
        count_spill(now, target, false);
        count_centre(now, handle.index, true, news);
        break;
    case send_outcome::not_sent:
        count_centre(now, handle.index, false, news);
        if (target.health == target_health::usable) {
            take_out(now, handle.index, target_health::down, "takes no connection", news);
        }
        break;
    case send_outcome::unknown:
        if (blame) {
            count_failure(now, handle.index, took, news);
        }
        break;
    }
    refresh(now, handle.index);
}

void target_table::count_done(instant now, target_state& target, duration took)
{
    const double micros = static_cast<double>(std::max(took, duration(1)).count());
    target.service.learn(now, micros, mean_);
    answers_ += 1;
    mean_ += std::max(mean_gain, 1.0 / answers_) * (micros - mean_);
    slow_.learn(micros);
    target.failures_in_row = 0;
    target.refusals_in_row = 0;
    target.failure_rate -= failure_gain * target.failure_rate;
    const double most = target.local ? target.share.slots : std::min(target.share.connections, target.seen.slots);
    target.allowance = std::max(target.allowance, std::min(target.allowance + recover_step, most));
}

// The slots are taken by other entries, or the target is leaving: it says the same for both. No work until its own pace
// would have freed a slot, twice as long after each refusal in a row, and a probe tells which of the two it is.
void target_table::count_refusal(instant now, std::uint32_t index, table_news& news)
{
    target_state& target = targets_[index];
    if (target.health != target_health::usable) {
        return;
    }
    if (!listed_live(target)) {
        take_out(now, index, target_health::left, "refuses and is no longer listed", news);
        return;
    }
    target.allowance = std::max(1.0, std::min<double>(target.allowance, target.in_flight));
    const duration turn(static_cast<std::int64_t>(target.service.at(now, mean_) / std::max(target.seen.slots, 1)));
    const duration first = std::clamp(turn, config::refusal_hold_least, config::refusal_hold_most);
    target.hold_until = now + back_off(first, config::refusal_hold_most, target.refusals_in_row);
    target.refusals_in_row += 1;
    ask_probe(now, index, news);
}

void target_table::count_failure(instant now, std::uint32_t index, duration took, table_news& news)
{
    target_state& target = targets_[index];
    const double micros = static_cast<double>(took.count());
    if (micros > target.service.at(now, mean_)) {
        target.service.learn(now, micros, mean_);
    }
    target.failures_in_row += 1;
    target.failure_rate += failure_gain * (1 - target.failure_rate);
    // A target that has just come back and fails again has shown enough.
    const bool enough = target.ramping || target.failures_in_row >= config::failures_in_row_most ||
                        target.failure_rate > config::failure_rate_most;
    if (enough && target.health == target_health::usable && may_eject()) {
        ejections_ += 1;
        take_out(now, index, target_health::ejected, "fails", news);
    }
}

// When many targets fail at once the cause is rather the load, the network or this entry: ejecting them all would push
// their load onto the rest, and that onto the next, until none is left.
bool target_table::may_eject() const
{
    std::int32_t ejected = 0;
    for (const target_state& target : targets_) {
        ejected += target.known && target.health == target_health::ejected ? 1 : 0;
    }
    return ejected + 1 <= std::max(1.0, config::ejected_share_most * known()) && usable_ > 1;
}

// Spilling into a centre that is full as well only takes turns with its own entries: each send that lands there pushes
// one of theirs out. Once most are refused, one now and then is enough to see whether there is room again.
void target_table::count_spill(instant now, const target_state& target, bool accepted)
{
    if (target.local) {
        return;
    }
    centre_state& centre = centres_[target.centre];
    centre.spill_success += spill_gain * ((accepted ? 1 : 0) - centre.spill_success);
    pause_spill(now, target);
    if (accepted) { // there may be room again: the next trial comes sooner
        centre.spill_after = now + (centre.spill_after - now) / 4;
    }
}

void target_table::pause_spill(instant now, const target_state& target)
{
    centre_state& centre = centres_[target.centre];
    if (!target.local && centre.spill_success < config::spill_success_least) {
        centre.spill_after = now + back_off(config::spill_pause, config::spill_pause, 0);
    }
}

void target_table::count_centre(instant now, std::uint32_t index, bool reached, table_news& news)
{
    const target_state& target = targets_[index];
    if (target.local) {
        return;
    }
    centre_state& centre = centres_[target.centre];
    if (reached) {
        centre.failures_in_row = 0;
        return;
    }
    centre.failures_in_row += centre.last_failed != index ? 1 : 0;
    centre.last_failed = index;
    if (centre.cut || centre.failures_in_row < config::centre_failures_in_row) {
        return;
    }
    centre.cut = true;
    centre.probe_at = now + back_off(config::target_probe_first, config::target_probe_most, centre.times_out);
    centre.times_out += 1;
    wake_ = std::min(wake_, centre.probe_at);
    news.notices.push_back({"data_centre_cut_off", centre.id.str()});
    refresh_centre(now, target.centre);
}

void target_table::refresh_centre(instant now, std::uint32_t centre)
{
    for (std::uint32_t each = 0; each < targets_.size(); ++each) {
        if (targets_[each].known && targets_[each].centre == centre) {
            refresh(now, each);
        }
    }
}

void target_table::take_out(instant now, std::uint32_t index, target_health health, const std::string& why,
                            table_news& news)
{
    target_state& target = targets_[index];
    target.health = health;
    const bool ejected = health == target_health::ejected;
    const duration first = ejected ? config::ejection_first : config::target_probe_first;
    const duration most = ejected ? config::ejection_most : config::target_probe_most;
    target.probe_at = now + back_off(first, most, target.times_out);
    target.times_out += 1;
    news.notices.push_back({ejected ? "target_ejected" : "target_dropped",
                            fmt::format("{} at {} {}", target.seen.target.str(), target.seen.address.str(), why)});
    refresh(now, index);
}

void target_table::bring_back(instant now, std::uint32_t index, table_news& news)
{
    target_state& target = targets_[index];
    target.health = target_health::usable;
    target.failures_in_row = 0;
    target.failure_rate = 0;
    target.refusals_in_row = 0;
    target.hold_until = instant{};
    target.allowance = std::max<double>(target.allowance, target.local ? target.share.slots : 1);
    start_ramp(now, target);
    news.notices.push_back({"target_returned", target.seen.target.str()});
    refresh(now, index);
}

void target_table::start_ramp(instant now, target_state& target)
{
    target.ramping = true;
    target.ramp_from = now;
}

void target_table::ask_probe(instant now, std::uint32_t index, table_news& news)
{
    target_state& target = targets_[index];
    const bool too_soon = target.probed != instant{} && now - target.probed < config::target_probe_first;
    if (target.probe_pending || too_soon) {
        return;
    }
    target.probe_pending = true;
    target.probed = now;
    news.probes.push_back({target.seen.target, target.seen.address});
}

void target_table::bring_centre_back(instant now, std::uint32_t index, table_news& news)
{
    centre_state& centre = centres_[index];
    centre = centre_state{.id = centre.id};
    news.notices.push_back({"data_centre_back", centre.id.str()});
    for (target_state& target : targets_) {
        if (target.known && target.centre == index) {
            start_ramp(now, target);
        }
    }
    refresh_centre(now, index);
}

void target_table::see_probe(instant now, const target_probed& probed, table_news& news)
{
    const auto found = by_id_.find(probed.target);
    if (found == by_id_.end()) {
        return;
    }
    const std::uint32_t index = found->second;
    target_state& target = targets_[index];
    target.probe_pending = false;
    count_centre(now, index, probed.outcome != probe_outcome::unreachable, news);
    if (probed.outcome != probe_outcome::unreachable && centres_[target.centre].cut) {
        bring_centre_back(now, target.centre, news);
    }
    const bool out = target.health != target_health::usable;
    const bool says_leaving = std::ranges::find(target.listed, target_listing::leaving) != target.listed.end();
    if (probed.outcome == probe_outcome::healthy && out && !says_leaving) {
        bring_back(now, index, news);
    }
    else if (probed.outcome == probe_outcome::leaving && target.health != target_health::left) {
        take_out(now, index, target_health::left, "says it is leaving", news);
    }
    else if (probed.outcome == probe_outcome::unreachable && !out) {
        take_out(now, index, target_health::down, "answers no probe", news);
    }
    else if (out) {
        const bool ejected = target.health == target_health::ejected;
        target.probe_at = now + back_off(ejected ? config::ejection_first : config::target_probe_first,
                                         ejected ? config::ejection_most : config::target_probe_most, target.times_out);
        target.times_out += 1;
        refresh(now, index);
    }
}

void target_table::watch(instant due, std::uint32_t index)
{
    wake_ = std::min(wake_, due);
    if (!targets_[index].watched) {
        targets_[index].watched = true;
        watched_.push_back(index);
    }
}

// When time alone next changes what may be done with the target.
instant target_table::due_of(instant now, const target_state& target) const
{
    if (!target.known) {
        return instant::max();
    }
    if (target.health != target_health::usable) {
        const bool says_leaving = std::ranges::find(target.listed, target_listing::leaving) != target.listed.end();
        const instant soonest = target.probed == instant{} ? now : target.probed + config::target_probe_first;
        const bool waits = target.probe_pending || says_leaving;
        return waits ? instant::max() : std::max({target.probe_at, soonest, now});
    }
    if (now < target.hold_until) {
        return target.hold_until;
    }
    const bool grace = !listed_live(target) && now - target.unlisted_since < config::unlisted_grace;
    const bool moving = target.ramping || target.tier == target_tier::slow || grace;
    return moving ? now + config::route_tick : instant::max();
}

void target_table::tick_target(instant now, std::uint32_t index, table_news& news)
{
    target_state& target = targets_[index];
    if (!target.known) {
        return;
    }
    if (target.health != target_health::usable && now >= target.probe_at && due_of(now, target) != instant::max()) {
        ask_probe(now, index, news);
    }
    if (target.ramping && now - target.ramp_from >= config::slow_start) {
        target.ramping = false;
        target.times_out = 0;
    }
    if (target.tier == target_tier::slow && stalled(now, target)) {
        ask_probe(now, index, news);
    }
    else if (target.tier == target_tier::slow && !slow(now, target)) {
        start_ramp(now, target); // time has paled its bad figures: one request at first, to see
    }
    refresh(now, index);
}

// The one asked about, else any other of the centre; invalid when it has none.
std::uint32_t target_table::some_target_of(std::uint32_t centre, std::uint32_t asked) const
{
    const auto belongs = [&](const target_state& each) { return each.known && each.centre == centre; };
    if (asked < targets_.size() && belongs(targets_[asked])) {
        return asked;
    }
    const auto found = std::ranges::find_if(targets_, belongs);
    return found == targets_.end() ? target_handle::invalid : static_cast<std::uint32_t>(found - targets_.begin());
}

void target_table::tick_centres(instant now, table_news& news)
{
    for (std::uint32_t index = 0; index < centres_.size(); ++index) {
        centre_state& centre = centres_[index];
        if (!centre.cut) {
            continue;
        }
        if (now >= centre.probe_at) {
            const std::uint32_t asked = some_target_of(index, centre.last_failed);
            if (asked != target_handle::invalid) {
                ask_probe(now, asked, news);
            }
            centre.probe_at = now + back_off(config::target_probe_first, config::target_probe_most, centre.times_out);
            centre.times_out += 1;
        }
        wake_ = std::min(wake_, centre.probe_at);
    }
}

void target_table::tick(instant now, table_news& news)
{
    if (now < wake_) {
        return;
    }
    wake_ = instant::max();
    std::vector<std::uint32_t> looked_at;
    looked_at.swap(watched_);
    for (const std::uint32_t index : looked_at) {
        targets_[index].watched = false;
        tick_target(now, index, news); // watches it again while there is something to wait for
    }
    tick_centres(now, news);
}

duration target_table::back_off(duration first, duration most, int times)
{
    constexpr int times_most = 20;
    const double factor = std::ldexp(1.0, std::min(times, times_most));
    const double micros = std::min(static_cast<double>(first.count()) * factor, static_cast<double>(most.count()));
    return duration(static_cast<std::int64_t>(micros * absl::Uniform(random_, 1 - jitter, 1 + jitter)));
}

} // namespace skylarkhub
