#include "place_harm_p.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace skylarkhub::detail {

namespace {

struct level_prior {
    double mean;
    double deviation;
    duration renewed; // in which an effect that nobody measures gets back its whole uncertainty
};

using namespace std::chrono_literals;

// In the order of harm_model::level.
constexpr std::array<level_prior, 6> priors = {{
    {1.0, 0.7, 24h},  // everything
    {0.0, 0.5, 6h},   // service
    {0.0, 1.0, 6h},   // class
    {0.0, 0.5, 3h},   // pair
    {0.0, 0.25, 3h},  // family
    {0.0, 0.15, 3min} // site: what is left over, which shifts with load
}};

constexpr double measurement_deviation = 0.05; // of a slowdown, and this share of what exceeds 1
constexpr duration independent_after = 10s;    // measurements of one task closer together say much the same
constexpr double excess_weight = 0.25;         // of slowdown beyond the limit, against one missed limit
constexpr double deviation_least = 0.1;

} // namespace

std::uint64_t harm_model::key_of(level l, name_index a, name_index b)
{
    return (static_cast<std::uint64_t>(l) << (2 * name_bits)) | (static_cast<std::uint64_t>(a) << name_bits) | b;
}

harm_model::effect harm_model::prior(level l)
{
    const level_prior& p = priors[static_cast<std::size_t>(l)];
    return {p.mean, p.deviation * p.deviation, instant{}};
}

slope harm_model::read(level l, name_index a, name_index b) const
{
    const auto it = effects_.find(key_of(l, a, b));
    const effect e = it == effects_.end() ? prior(l) : it->second;
    return {e.mean, e.variance};
}

slope harm_model::slope_of(name_index service, name_index batch_class) const
{
    slope sum;
    for (const slope part :
         {read(level::everything, any_name, any_name), read(level::service, service, any_name),
          read(level::batch_class, any_name, batch_class), read(level::pair, service, batch_class)}) {
        sum.mean += part.mean;
        sum.variance += part.variance;
    }
    return sum;
}

slope harm_model::family_slope(name_index family) const
{
    return read(level::family, family, any_name);
}

slope harm_model::remainder(name_index site) const
{
    return read(level::site, site, any_name);
}

// Adds the weight to the term of that effect, after giving the effect back the uncertainty that time has brought.
void harm_model::add_term(std::vector<term>& terms, instant taken, level l, name_index a, name_index b, double weight)
{
    effect& e = effects_.try_emplace(key_of(l, a, b), prior(l)).first->second;
    const auto same = std::find_if(terms.begin(), terms.end(), [&](const term& t) { return t.what == &e; });
    if (same != terms.end()) {
        same->weight += weight;
        return;
    }
    const level_prior& p = priors[static_cast<std::size_t>(l)];
    if (e.updated != instant{} && taken > e.updated) {
        const double passed = std::min(1.0, std::chrono::duration<double>(taken - e.updated) / p.renewed);
        const double whole = p.deviation * p.deviation;
        e.variance = std::min(whole, e.variance + passed * whole);
        if (l == level::site) {
            e.mean *= 1 - passed;
        }
    }
    e.updated = std::max(e.updated, taken);
    terms.push_back({&e, weight});
}

void harm_model::learn(instant taken, name_index site, name_index service, const std::vector<class_load>& neighbours,
                       double slowdown)
{
    auto [last, first] = last_measured_.try_emplace(site, taken);
    const duration since = first ? independent_after : taken - last->second;
    if (since <= duration{0} || !std::isfinite(slowdown)) {
        return;
    }
    last->second = taken;

    // Terms hold pointers into the table: it must not grow while they are collected.
    effects_.reserve(effects_.size() + 3 + 3 * neighbours.size());
    std::vector<term> terms;
    terms.reserve(3 + 3 * neighbours.size());
    for (const class_load& n : neighbours) {
        add_term(terms, taken, level::everything, any_name, any_name, n.load);
        add_term(terms, taken, level::service, service, any_name, n.load);
        add_term(terms, taken, level::batch_class, any_name, n.batch_class, n.load);
        add_term(terms, taken, level::pair, service, n.batch_class, n.load);
        add_term(terms, taken, level::family, n.family, any_name, n.load);
    }
    add_term(terms, taken, level::site, site, any_name, 1);

    const double deviation = measurement_deviation * (1 + std::max(0.0, slowdown - 1));
    const double repeated = std::max(1.0, std::chrono::duration<double>(independent_after) / since);
    double expected = 1;
    double variance = deviation * deviation * repeated;
    for (const term& t : terms) {
        expected += t.what->mean * t.weight;
        variance += t.what->variance * t.weight * t.weight;
    }
    const double surprise = slowdown - expected;
    for (const term& t : terms) {
        const double gain = t.what->variance * t.weight / variance;
        t.what->mean += gain * surprise;
        t.what->variance *= 1 - gain * t.weight;
    }
}

void harm_model::sweep(instant now, duration age)
{
    absl::erase_if(last_measured_, [&](const auto& entry) { return entry.second + age < now; });
    absl::erase_if(effects_, [&](const auto& entry) {
        const level l = static_cast<level>(entry.first >> (2 * name_bits));
        return (l == level::site || l == level::family) && entry.second.updated + age < now;
    });
}

double expected_harm(double above, double deviation)
{
    const double spread = std::max(deviation, deviation_least);
    const double missed = 0.5 * std::erfc((1 - above) / (spread * std::numbers::sqrt2));
    return missed + excess_weight * std::max(0.0, above - 1);
}

} // namespace skylarkhub::detail
