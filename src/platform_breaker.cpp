#include "platform_breaker_p.h"

#include <algorithm>

namespace skylarkhub {

std::size_t table_breaker::lane_of(table_traffic traffic)
{
    return traffic == table_traffic::ownership ? ownership_lane : other_lane;
}

bool table_breaker::admits(instant now, table_traffic traffic) const
{
    return wait(now, traffic) == duration::zero();
}

duration table_breaker::wait(instant now, table_traffic traffic) const
{
    return open_ ? std::max(duration::zero(), next_probe_[lane_of(traffic)] - now) : duration::zero();
}

void table_breaker::started(instant now, table_traffic traffic, table_random& random)
{
    if (open_) {
        const std::size_t own = lane_of(traffic);
        next_probe_[own] = now + backoff_[own].next(random);
    }
}

bool table_breaker::succeeded()
{
    failures_ = 0;
    const bool closed = open_;
    open_ = false;
    return closed;
}

void table_breaker::failed(instant now, table_random& random)
{
    if (open_ || ++failures_ < config::table_breaker_failures) {
        return;
    }
    open_ = true;
    for (std::size_t each = 0; each < lanes; ++each) {
        backoff_[each].reset();
        next_probe_[each] = now + backoff_[each].next(random);
    }
}

} // namespace skylarkhub
