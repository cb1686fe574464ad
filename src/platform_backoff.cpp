#include "platform_backoff_p.h"

#include <absl/random/distributions.h>

#include <algorithm>

namespace skylarkhub {

duration table_backoff::next(table_random& random)
{
    const std::int64_t length = length_.count();
    length_ = std::min(length_ * 2, most_);
    return duration(absl::Uniform(absl::IntervalClosed, random, length / 2, length + length / 2));
}

} // namespace skylarkhub
