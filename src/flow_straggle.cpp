#include "flow_straggle_p.h"

#include <algorithm>

namespace skylarkhub {

namespace {

using namespace std::chrono_literals;

// Longer than looks are apart: two in a row without any progress are no accident of rounding to whole percents.
constexpr duration stalled_after = 1300ms;
constexpr duration speed_least = 500ms; // a speed over less is mostly rounding
constexpr duration speed_window = 750ms;
constexpr double anew_factor = 2.0;    // of the estimate: it is rough, and so are run times on sound workers
constexpr duration anew_extra = 400ms; // for the stop of the old run and the start of the new one

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
    return begun_ && newest_.percent < 100 && now - moved_ >= stalled_after;
}

bool run_progress::slower_than_restart(instant now, duration estimate) const
{
    const duration watched = newest_.at - recent_.at;
    if (!begun_ || estimate <= duration(0) || watched < speed_least || now - newest_.at > stalled_after) {
        return false;
    }
    const double left = 100.0 - newest_.percent;
    const double moved = std::max(0.5, static_cast<double>(newest_.percent - recent_.percent));
    const double needs = left / moved * static_cast<double>(watched.count());
    return needs > anew_factor * static_cast<double>(estimate.count()) + static_cast<double>(anew_extra.count());
}

} // namespace skylarkhub
