#include "flow_demand_p.h"

#include <algorithm>
#include <cmath>

#include "flow_limits_p.h"

namespace skylarkhub {

using namespace flow_limits;

namespace {

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

double decay_over(duration d)
{
    return std::exp(-seconds(d) / seconds(demand_window));
}

} // namespace

void batch_demand::note(instant now, duration age, double cpu_seconds)
{
    level_ *= decay_over(now - noted_);
    level_ += cpu_seconds / seconds(demand_window) * decay_over(std::max(age, duration(0)));
    noted_ = now;
}

std::int64_t batch_demand::cpu_millis(instant now, instant begun, std::int64_t room) const
{
    const double assumed = default_demand_share * static_cast<double>(room) * decay_over(now - begun);
    return static_cast<std::int64_t>(level_ * decay_over(now - noted_) + assumed);
}

double batch_cpu_seconds(const flow_job& job)
{
    double sum = 0;
    for (const flow_step& step : job.spec().steps) {
        if (!step.lasting) {
            sum += static_cast<double>(step.count * step.need.cpu_millis) * seconds(step.estimate);
        }
    }
    return sum;
}

double batch_reserve(std::int64_t demand_cpu_millis, std::int64_t total_cpu_millis)
{
    if (total_cpu_millis <= 0) {
        return min_batch_reserve;
    }
    const double share = static_cast<double>(demand_cpu_millis) / static_cast<double>(total_cpu_millis);
    return std::clamp(share, min_batch_reserve, max_batch_reserve);
}

} // namespace skylarkhub
