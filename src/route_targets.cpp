#include "route_targets_p.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace skylarkhub {

target_table::target_table(data_centre_id own, std::uint64_t seed)
    : own_(std::move(own)),
      random_(make_random(seed)),
      mean_(static_cast<double>(config::service_time_default.count())),
      slow_(config::hedge_quantile)
{}

void target_table::see_targets(instant now, const targets_seen& seen, table_news& news)
{
    const auto source = static_cast<std::size_t>(seen.source);
    absl::flat_hash_set<std::uint32_t> shown;
    for (const seen_target& each : seen.targets) {
        const std::uint32_t index = find_or_add(now, each);
        targets_[index].listed[source] = each.leaving ? target_listing::leaving : target_listing::live;
        shown.insert(index);
    }
    for (std::uint32_t index = 0; index < targets_.size(); ++index) {
        target_state& target = targets_[index];
        if (!target.known) {
            continue;
        }
        if (!shown.contains(index)) {
            target.listed[source] = target_listing::absent;
        }
        apply_listing(now, index, news);
    }
    share_out(now);
}

std::uint32_t target_table::find_or_add(instant now, const seen_target& seen)
{
    const auto found = by_id_.find(seen.target);
    const bool moved = found != by_id_.end() && targets_[found->second].seen.address != seen.address;
    if (found != by_id_.end() && !moved) {
        targets_[found->second].seen = seen;
        return found->second;
    }
    std::uint32_t index = static_cast<std::uint32_t>(targets_.size());
    if (moved) {
        index = found->second; // another process under the same name: what was learnt of the old one is void
    }
    else if (!free_.empty()) {
        index = free_.back();
        free_.pop_back();
    }
    else {
        targets_.emplace_back();
    }
    target_state& target = targets_[index];
    const std::int32_t in_flight = target.in_flight;
    if (moved) {
        place_in(index, target_tier::closed);
    }
    const bool was_watched = target.watched;
    const bool was_counted = target.counted_usable;
    const double rate = target.rate;
    target = target_state{.seen = seen,
                          .known = true,
                          .local = seen.data_centre == own_,
                          .centre = find_centre(seen.data_centre),
                          .in_flight = in_flight};
    target.watched = was_watched;
    target.counted_usable = was_counted;
    target.rate = rate;
    by_id_[seen.target] = index;
    // A first list shows targets that have been serving all along; one that joins others may be cold.
    if (usable_ > 0) {
        start_ramp(now, target);
    }
    return index;
}

std::uint32_t target_table::find_centre(const data_centre_id& id)
{
    const auto found = std::ranges::find(centres_, id, &centre_state::id);
    if (found != centres_.end()) {
        return static_cast<std::uint32_t>(found - centres_.begin());
    }
    centres_.push_back({.id = id});
    return static_cast<std::uint32_t>(centres_.size() - 1);
}

void target_table::apply_listing(instant now, std::uint32_t index, table_news& news)
{
    target_state& target = targets_[index];
    const auto says = [&](target_listing listing) {
        return std::ranges::find(target.listed, listing) != target.listed.end();
    };
    if (says(target_listing::leaving)) {
        if (target.health != target_health::left) {
            take_out(now, index, target_health::left, "listed as leaving", news);
        }
        return;
    }
    if (says(target_listing::live)) {
        target.unlisted_since = instant::max();
        return;
    }
    if (target.unlisted_since == instant::max()) {
        target.unlisted_since = now;
        watch(now + config::unlisted_grace, index);
    }
    const bool forgotten = now - std::max(target.unlisted_since, target.progress) > config::unlisted_keep;
    if (forgotten && target.in_flight == 0) {
        forget(index);
    }
}

void target_table::forget(std::uint32_t index)
{
    place_in(index, target_tier::closed);
    target_state& target = targets_[index];
    by_id_.erase(target.seen.target);
    usable_ -= target.counted_usable ? 1 : 0;
    rate_ -= target.rate;
    const bool watched = target.watched;
    target = target_state{};
    target.watched = watched;
    free_.push_back(index);
}

void target_table::see_entries(instant now, const entries_seen& entries)
{
    entries_ = entries;
    share_out(now);
}

void target_table::share_out(instant now)
{
    std::int32_t total = 0;
    for (target_state& target : targets_) {
        if (target.known) {
            const std::int32_t before = target.share.slots;
            target.share = share_of(target.seen, target.local, entries_);
            const bool fresh = target.allowance == 0;
            const double start = target.local ? target.share.slots : 1;
            target.allowance = fresh ? start : target.allowance + target.share.slots - before;
            total += target.share.slots;
        }
    }
    // Many entries and few targets: a share of nothing everywhere would refuse all callers of this entry. One slot each
    // may overcommit a target by a few, which it then refuses without running anything.
    if (total < config::share_total_least) {
        for (target_state& target : targets_) {
            const bool lift = target.known && target.local && target.share.slots == 0;
            target.share.slots += lift ? 1 : 0;
            target.allowance = std::max(target.allowance, lift ? 1.0 : 0.0);
        }
    }
    for (std::uint32_t index = 0; index < targets_.size(); ++index) {
        if (targets_[index].known) {
            refresh(now, index);
        }
    }
}

bool target_table::listed_live(const target_state& target) const
{
    return std::ranges::find(target.listed, target_listing::live) != target.listed.end();
}

// A remote centre that is cut off loses all its targets at once, else each of them would cost a connect timeout.
bool target_table::in_use(const target_state& target) const
{
    return target.known && target.health == target_health::usable && !centres_[target.centre].cut;
}

bool target_table::slow(instant now, const target_state& target) const
{
    return target.service.at(now, mean_) > config::slow_factor * mean_;
}

// A frozen target answers nothing, so it gives no service times either: only the silence shows.
bool target_table::stalled(instant now, const target_state& target) const
{
    const double silence = static_cast<double>((now - target.progress).count());
    return target.in_flight > 0 && silence > config::stall_factor * std::max(mean_, slow_.value());
}

double target_table::limit_of(instant now, const target_state& target) const
{
    double limit = std::min<double>(target.allowance, target.share.connections);
    if (target.ramping) {
        const double part =
            static_cast<double>((now - target.ramp_from).count()) / static_cast<double>(config::slow_start.count());
        limit = std::min(limit, std::max(1.0, limit * part));
    }
    return limit;
}

target_tier target_table::tier_of(instant now, const target_state& target) const
{
    const bool has_room = target.in_flight + 1 <= limit_of(now, target) && now >= target.hold_until;
    if (!in_use(target) || !has_room) {
        return target_tier::closed;
    }
    if (!listed_live(target) && now - target.unlisted_since >= config::unlisted_grace) {
        return target_tier::unlisted;
    }
    if (slow(now, target) || stalled(now, target)) {
        return target_tier::slow;
    }
    return target.local ? target_tier::local : target_tier::remote;
}

// A target elsewhere counts only for what it holds of ours: its slots are promised to the entries there.
double target_table::rate_of(instant now, const target_state& target) const
{
    constexpr double micros_per_second = 1e6;
    if (!in_use(target) || !listed_live(target) || stalled(now, target)) {
        return 0;
    }
    const bool own_share = target.local && now >= target.hold_until;
    const double at_once = own_share ? limit_of(now, target) : target.in_flight;
    return micros_per_second * at_once / target.service.at(now, mean_);
}

void target_table::refresh(instant now, std::uint32_t index)
{
    target_state& target = targets_[index];
    const bool usable = in_use(target);
    usable_ += static_cast<int>(usable) - static_cast<int>(target.counted_usable);
    target.counted_usable = usable;
    const double rate = rate_of(now, target);
    rate_ = std::max(rate_ + rate - target.rate, 0.0);
    target.rate = rate;
    place_in(index, tier_of(now, target));
    const instant due = due_of(now, target);
    if (due != instant::max()) {
        watch(due, index);
    }
}

void target_table::place_in(std::uint32_t index, target_tier tier)
{
    target_state& target = targets_[index];
    if (target.tier == tier) {
        return;
    }
    if (target.tier != target_tier::closed) {
        auto& from = tiers_[static_cast<std::size_t>(target.tier)];
        from[target.place] = from.back();
        targets_[from[target.place]].place = target.place;
        from.pop_back();
    }
    target.tier = tier;
    if (tier != target_tier::closed) {
        auto& into = tiers_[static_cast<std::size_t>(tier)];
        target.place = static_cast<std::uint32_t>(into.size());
        into.push_back(index);
    }
}

} // namespace skylarkhub
