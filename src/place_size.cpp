#include "place_size_p.h"

#include <algorithm>
#include <cmath>

namespace skylarkhub::detail {

namespace {

constexpr int buckets_per_octave = 8;
constexpr int bucket_of_one = 32;
constexpr float histogram_most = 64; // tasks remembered; older ones fade by halves

// A declared size of nothing would make every ratio infinite.
constexpr std::int64_t cpu_floor = 50;
constexpr std::int64_t memory_floor = 32;

constexpr double parent_weight = 1; // tasks' worth of the next level up in a family's distribution
constexpr double kind_weight = 4;
constexpr double prior_weight = 4;

constexpr double typical_memory = 200; // samples; about seven minutes of one task's

double cpu_base(const resources& declared)
{
    return static_cast<double>(std::max(declared.cpu_millis, cpu_floor));
}
double memory_base(const resources& declared)
{
    return static_cast<double>(std::max(declared.memory_mib, memory_floor));
}

std::int64_t scaled(double amount, double factor)
{
    return static_cast<std::int64_t>(std::ceil(amount * factor));
}

ratio_histogram::shares prior_shares()
{
    ratio_histogram::shares shares{};
    shares[ratio_histogram::bucket_of(config::size_prior_ratio)] = 1;
    return shares;
}

} // namespace

int ratio_histogram::bucket_of(double ratio)
{
    if (!(ratio > 0)) {
        return 0;
    }
    const double bucket = std::ceil(std::log2(ratio) * buckets_per_octave - 1e-9) + bucket_of_one;
    return static_cast<int>(std::clamp(bucket, 0.0, static_cast<double>(bucket_count - 1)));
}

double ratio_histogram::upper_edge(int bucket)
{
    return std::exp2(static_cast<double>(bucket - bucket_of_one) / buckets_per_octave);
}

void ratio_histogram::add(int bucket)
{
    if (total_ >= histogram_most) {
        for (float& count : counts_) {
            count /= 2;
        }
        total_ /= 2;
    }
    counts_[static_cast<std::size_t>(bucket)] += 1;
    total_ += 1;
}

void ratio_histogram::move(int from, int to)
{
    const float moved = std::min(1.0F, counts_[static_cast<std::size_t>(from)]);
    counts_[static_cast<std::size_t>(from)] -= moved;
    counts_[static_cast<std::size_t>(to)] += moved;
}

ratio_histogram::shares ratio_histogram::mixed(const shares& parent, double weight) const
{
    shares out{};
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        out[i] = (static_cast<double>(counts_[i]) + weight * parent[i]) / (static_cast<double>(total_) + weight);
    }
    return out;
}

void size_book::count_peak(task_record& record, const resources& declared, bool first)
{
    const std::array<double, dimension_count> ratios = {
        static_cast<double>(record.known.peak.cpu_millis) / cpu_base(declared),
        static_cast<double>(record.known.peak.memory_mib) / memory_base(declared)};
    for (std::size_t d = 0; d < dimension_count; ++d) {
        const int bucket = ratio_histogram::bucket_of(ratios[d]);
        for (level* l : {&families_[record.key.family], &kinds_[record.key.kind], &overall_}) {
            if (first) {
                l->peaks[d].add(bucket);
            }
            else if (bucket != record.bucket[d]) {
                l->peaks[d].move(record.bucket[d], bucket);
            }
        }
        record.bucket[d] = static_cast<std::int8_t>(bucket);
    }
}

void size_book::learn(instant taken, const task_id& task, const size_key& key, const resources& declared,
                      const resources& used, bool throttled)
{
    auto [it, first] = tasks_.try_emplace(task);
    task_record& record = it->second;
    if (!first && taken <= record.last) {
        return;
    }
    if (first) {
        record.key = key;
        record.first = taken;
    }
    record.last = taken;
    record.known.span = taken - record.first;
    resources& peak = record.known.peak;
    peak.cpu_millis = std::max(peak.cpu_millis, used.cpu_millis);
    peak.memory_mib = std::max(peak.memory_mib, used.memory_mib);
    peak.accelerators = std::max(peak.accelerators, used.accelerators);
    count_peak(record, declared, first);
    // A throttled task shows what it was given, not what it would take.
    if (!throttled) {
        record.known.free_cpu = used.cpu_millis;
    }
    for (level* l : {&families_[key.family], &kinds_[key.kind], &overall_}) {
        l->last = taken;
        if (!throttled) {
            const double keep = 1 - 1 / typical_memory;
            l->cpu_sum = l->cpu_sum * keep + static_cast<double>(used.cpu_millis) / cpu_base(declared);
            l->cpu_weight = l->cpu_weight * keep + 1;
        }
    }
}

double size_book::high_ratio(const size_key& key, dimension d) const
{
    static const ratio_histogram::shares prior = prior_shares();
    ratio_histogram::shares shares = overall_.peaks[d].mixed(prior, prior_weight);
    if (const auto kind = kinds_.find(key.kind); kind != kinds_.end()) {
        shares = kind->second.peaks[d].mixed(shares, kind_weight);
    }
    if (const auto family = families_.find(key.family); family != families_.end()) {
        shares = family->second.peaks[d].mixed(shares, parent_weight);
    }
    const double quantile = d == cpu ? config::size_quantile_cpu : config::size_quantile_memory;
    double above = 0;
    int bucket = ratio_histogram::bucket_count - 1;
    while (bucket > 0 && above + shares[static_cast<std::size_t>(bucket)] <= 1 - quantile) {
        above += shares[static_cast<std::size_t>(bucket)];
        --bucket;
    }
    return ratio_histogram::upper_edge(bucket);
}

resources size_book::for_start(const size_key& key, const resources& declared) const
{
    return {scaled(cpu_base(declared), high_ratio(key, cpu)),
            scaled(memory_base(declared) * config::size_margin, high_ratio(key, memory)), declared.accelerators};
}

resources size_book::for_running(const measured& task, const resources& start, const resources& committed)
{
    resources own{task.peak.cpu_millis, scaled(static_cast<double>(task.peak.memory_mib), config::size_margin),
                  std::max(committed.accelerators, task.peak.accelerators)};
    if (task.span < config::size_settled) {
        own.cpu_millis = std::max(own.cpu_millis, std::min(start.cpu_millis, committed.cpu_millis));
        own.memory_mib = std::max(own.memory_mib, std::min(start.memory_mib, committed.memory_mib));
    }
    return own;
}

double size_book::typical_cpu(const size_key& key, const resources& declared) const
{
    const double base = cpu_base(declared);
    const auto family = families_.find(key.family);
    if (family != families_.end() && family->second.cpu_weight > 0) {
        return base * family->second.cpu_sum / family->second.cpu_weight;
    }
    const auto kind = kinds_.find(key.kind);
    if (kind != kinds_.end() && kind->second.cpu_weight > 0) {
        return base * kind->second.cpu_sum / kind->second.cpu_weight;
    }
    return base;
}

const size_book::measured* size_book::find(const task_id& task) const
{
    const auto it = tasks_.find(task);
    return it == tasks_.end() ? nullptr : &it->second.known;
}

void size_book::sweep(instant now, duration age)
{
    absl::erase_if(tasks_, [&](const auto& entry) { return entry.second.last + age < now; });
    if (families_.size() > config::size_families_most) {
        absl::erase_if(families_, [&](const auto& entry) { return entry.second.last + age < now; });
    }
}

} // namespace skylarkhub::detail
