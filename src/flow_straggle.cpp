#include "flow_straggle_p.h"

#include <algorithm>

namespace skylarkhub {

namespace {

using namespace std::chrono_literals;

// Longer than the interval between samples: two samples without progress cannot result from rounding to whole percents.
constexpr duration stall_time_least = 1300ms;
constexpr duration speed_window_least = 500ms; // a speed over a shorter time is mostly a rounding error
constexpr duration speed_window = 750ms;
constexpr double restart_factor = 2.0; // multiple of the estimate, which is rough, as are run times on healthy workers
constexpr duration restart_overhead = 400ms; // time to stop the old run and start the new one

} // namespace

void run_progress::note(instant now, std::int32_t percent, bool held_back)
{
    if (!begun_ || percent < newest_.percent) {
        begun_ = true;
        moved_ = now;
        recent_ = next_recent_ = {now, percent};
    }
    if (held_back || percent > newest_.percent) {
        moved_ = now;
    }
    if (held_back) {
        recent_ = next_recent_ = {now, percent};
    }
    if (now - next_recent_.at >= speed_window) {
        recent_ = next_recent_;
        next_recent_ = {now, percent};
    }
    newest_ = {now, percent};
}

bool run_progress::stalled(instant now) const
{
    return begun_ && newest_.percent < 100 && now - moved_ >= stall_time_least;
}

bool run_progress::slower_than_restart(instant now, duration estimate) const
{
    const duration measured = newest_.at - recent_.at;
    if (!begun_ || estimate <= duration(0) || measured < speed_window_least || now - newest_.at > stall_time_least) {
        return false;
    }
    const double left = 100.0 - newest_.percent;
    const double moved = std::max(0.5, static_cast<double>(newest_.percent - recent_.percent));
    const double time_left = left / moved * static_cast<double>(measured.count());
    return time_left >
           restart_factor * static_cast<double>(estimate.count()) + static_cast<double>(restart_overhead.count());
}

} // namespace skylarkhub
