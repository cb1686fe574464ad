// Latencies as counts of logarithmic buckets. Percentiles of several entries cannot be averaged; counts add up, and the
// percentile of the sum is exact to the width of a bucket.
#pragma once

#include <absl/container/btree_map.h>

#include <cstdint>
#include <optional>

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

class latency_histogram {
public:
    void add(duration latency, std::int64_t count = 1);
    void add_bucket(std::int32_t bucket, std::int64_t count);
    void merge(const latency_histogram& other);

    std::int64_t count() const { return count_; }
    const absl::btree_map<std::int32_t, std::int64_t>& buckets() const { return buckets_; }

    // The latency below which the share `p` (0 to 1) of requests ended. Empty without requests.
    std::optional<duration> percentile(double p) const;

    // Bucket 0 ends at 100 microseconds; each further one is 5% wider. Latencies from about 10 minutes on share the
    // last.
    static std::int32_t bucket_of(duration latency);
    static duration middle_of(std::int32_t bucket);

private:
    absl::btree_map<std::int32_t, std::int64_t> buckets_;
    std::int64_t count_ = 0;
};

} // namespace skylarkhub
