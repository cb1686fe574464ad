#include <absl/random/distributions.h>

#include "route_targets_p.h"

namespace skylarkhub {

namespace {

// Samples until one is found that is still as good as its tier says; more would no longer be flat.
constexpr int sample_tries = 4;
constexpr double failure_weight = 4; // a target that fails always costs five times its service time

} // namespace

// Expected time until the answer, in microseconds, were one more sent to it.
double target_table::cost_of(instant now, const target_state& target) const
{
    const double crowding = (target.in_flight + 1) / std::max(1.0, limit_of(now, target));
    return target.service.at(now, mean_) * (1 + crowding) * (1 + failure_weight * target.failure_rate);
}

// One target of the tier by chance, invalid when none was found. Time alone can make a target slow, so that is looked
// at here instead of at every target all the time.
std::uint32_t target_table::sample(instant now, target_tier tier, std::uint32_t avoid)
{
    const auto& from = tiers_[static_cast<std::size_t>(tier)];
    for (int tries = 0; tries < sample_tries && !from.empty(); ++tries) {
        const std::uint32_t index = from[absl::Uniform<std::size_t>(random_, 0, from.size())];
        const target_state& target = targets_[index];
        if (index == avoid || (!target.local && now < centres_[target.centre].spill_after)) {
            continue;
        }
        if (tier_of(now, target) == tier) {
            return index;
        }
        refresh(now, index);
    }
    return target_handle::invalid;
}

// Power of two choices: the better of two by chance is nearly as good as the best of all, and entries that decide alike
// at the same moment don't all run to the one best target.
std::uint32_t target_table::pick_from(instant now, target_tier tier, std::uint32_t avoid)
{
    const std::uint32_t first = sample(now, tier, avoid);
    if (first == target_handle::invalid) {
        return first;
    }
    const std::uint32_t second = sample(now, tier, first);
    if (second == target_handle::invalid || second == avoid) {
        return first;
    }
    return cost_of(now, targets_[second]) < cost_of(now, targets_[first]) ? second : first;
}

// A slow target is only worth its time when the next free slot of the others would come later still.
bool target_table::better_to_wait(instant now, const target_state& target) const
{
    constexpr double micros_per_second = 1e6;
    const double others = rate_ - target.rate;
    if (others <= 0) {
        return false;
    }
    return mean_ + micros_per_second / others < target.service.at(now, mean_);
}

std::optional<target_handle> target_table::pick(instant now, target_handle avoid)
{
    for (const target_tier tier : {target_tier::local, target_tier::remote}) {
        const std::uint32_t index = pick_from(now, tier, avoid.index);
        if (index != target_handle::invalid) {
            return target_handle{index};
        }
    }
    const std::uint32_t slow_one = pick_from(now, target_tier::slow, avoid.index);
    if (slow_one != target_handle::invalid && !better_to_wait(now, targets_[slow_one])) {
        return target_handle{slow_one};
    }
    const auto& unlisted = tiers_[static_cast<std::size_t>(target_tier::unlisted)];
    if (rate_ <= 0 && !unlisted.empty()) {
        const std::uint32_t index = pick_from(now, target_tier::unlisted, avoid.index);
        if (index != target_handle::invalid) {
            return target_handle{index};
        }
    }
    // The one to avoid is better than none when it is the last in use.
    if (usable_ == 1 && avoid.valid() && targets_[avoid.index].tier != target_tier::closed) {
        return avoid;
    }
    return std::nullopt;
}

std::optional<target_handle> target_table::pick_hedge(instant now, target_handle avoid)
{
    const target_tier order[] = {target_tier::local, target_tier::remote};
    for (const target_tier tier : order) {
        const std::uint32_t index = pick_from(now, tier, avoid.index);
        if (index != target_handle::invalid) {
            return target_handle{index};
        }
    }
    return std::nullopt;
}

} // namespace skylarkhub
