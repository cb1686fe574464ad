#include "burn_histogram_p.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/accumulators/statistics/tail.hpp>
#include <boost/accumulators/statistics/tail_variate.hpp>
#include <boost/accumulators/statistics/weighted_sum.hpp>
#include <boost/accumulators/statistics/weighted_tail_quantile.hpp>
#include <cmath>

namespace skylarkhub {

namespace {

constexpr double first_bucket_end = 100; // microseconds
constexpr double bucket_growth = 1.05;
constexpr std::int32_t bucket_last = 320; // from about 10 minutes on

} // namespace

std::int32_t latency_histogram::bucket_of(duration latency)
{
    const auto micros = static_cast<double>(latency.count());
    if (micros <= first_bucket_end) {
        return 0;
    }
    const double steps = std::ceil(std::log(micros / first_bucket_end) / std::log(bucket_growth));
    return std::min(static_cast<std::int32_t>(steps), bucket_last);
}

duration latency_histogram::middle_of(std::int32_t bucket)
{
    const double end = first_bucket_end * std::pow(bucket_growth, bucket);
    return duration(std::llround(bucket == 0 ? end / 2 : end / std::sqrt(bucket_growth)));
}

void latency_histogram::add(duration latency, std::int64_t count)
{
    add_bucket(bucket_of(latency), count);
}

void latency_histogram::add_bucket(std::int32_t bucket, std::int64_t count)
{
    buckets_[std::clamp(bucket, 0, bucket_last)] += count;
    count_ += count;
}

void latency_histogram::merge(const latency_histogram& other)
{
    for (const auto& [bucket, count] : other.buckets_) {
        add_bucket(bucket, count);
    }
}

// With a cache as long as the list of buckets the tail is the whole distribution, so the quantile is exact.
std::optional<duration> latency_histogram::percentile(double p) const
{
    namespace acc = boost::accumulators;
    if (count_ == 0) {
        return std::nullopt;
    }
    acc::accumulator_set<double, acc::stats<acc::tag::weighted_tail_quantile<acc::left>>, double> quantile(
        acc::tag::tail<acc::left>::cache_size = buckets_.size());
    for (const auto& [bucket, count] : buckets_) {
        quantile(static_cast<double>(bucket), acc::weight = static_cast<double>(count));
    }
    const double bucket = acc::quantile(quantile, acc::quantile_probability = p);
    return middle_of(static_cast<std::int32_t>(std::lround(bucket)));
}

} // namespace skylarkhub
