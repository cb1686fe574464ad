#include "platform_budget_p.h"

#include <algorithm>
#include <cmath>

namespace skylarkhub {

namespace {

struct traffic_share {
    double guaranteed;   // of the rate
    double left_to_rest; // of the common store
};
constexpr std::array<traffic_share, table_traffic_kinds> shares{{
    {0.5, 0.0}, // ownership
    {0.2, 0.0}, // work
    {0.1, 0.0}, // settings
    {0.0, 0.5}, // background
}};

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

table_budget::table_budget(double per_second, duration burst)
    : per_second_(per_second), common_most_(per_second * seconds(burst)), common_(common_most_)
{
    for (std::size_t kind = 0; kind < table_traffic_kinds; ++kind) {
        own_[kind] = common_most_ * shares[kind].guaranteed;
    }
}

void table_budget::fill(instant now)
{
    const double fresh = per_second_ * seconds(std::max(duration::zero(), now - filled_));
    filled_ = std::max(filled_, now);
    common_ = std::min(common_most_, common_ + fresh);
    for (std::size_t kind = 0; kind < table_traffic_kinds; ++kind) {
        const double share = shares[kind].guaranteed;
        own_[kind] = std::min(common_most_ * share, own_[kind] + fresh * share);
    }
}

bool table_budget::admits(instant now, table_traffic traffic)
{
    fill(now);
    const auto kind = static_cast<std::size_t>(traffic);
    return common_ > common_most_ * shares[kind].left_to_rest || own_[kind] > 0;
}

void table_budget::spend(instant now, table_traffic traffic, double cost)
{
    fill(now);
    const auto kind = static_cast<std::size_t>(traffic);
    const double covered = std::clamp(common_ - common_most_ * shares[kind].left_to_rest, 0.0, cost);
    own_[kind] -= cost - covered;
    common_ -= cost;
}

duration table_budget::wait(instant now, table_traffic traffic)
{
    if (admits(now, traffic)) {
        return duration::zero();
    }
    const auto kind = static_cast<std::size_t>(traffic);
    double wait = (common_most_ * shares[kind].left_to_rest - common_) / per_second_;
    if (shares[kind].guaranteed > 0) {
        wait = std::min(wait, -own_[kind] / (per_second_ * shares[kind].guaranteed));
    }
    return duration(static_cast<std::int64_t>(std::ceil(wait * 1e6)) + 1);
}

void table_budget::drain(instant now)
{
    fill(now);
    common_ = std::min(common_, 0.0);
}

} // namespace skylarkhub
