// Tells a queue that absorbs a gust from one that merely stands there.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

#include "config.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// A queue that never empties adds its whole length to every answer and serves no more requests for it; it also outlasts
// the overload, as it drains only with what capacity is left over. So while even the shortest wait in a window stays
// above the target, the wait that is admitted is halved window by window, down to the target. A short queue empties by
// chance also in an overload, so the wait only grows again once few requests were turned away.
class standing_queue {
public:
    void note_arrival(instant now, bool turned_away, double mean_service)
    {
        turn_window(now, mean_service);
        arrived_ += 1;
        turned_away_ += turned_away ? 1 : 0;
    }
    void note_wait(duration waited) { least_ = std::min(least_, static_cast<double>(waited.count())); }
    void note_empty() { least_ = 0; }
    // The longest wait to admit, in microseconds; infinite while no queue stands.
    double wait_most(double mean_service) const
    {
        if (halvings_ == 0) {
            return std::numeric_limits<double>::infinity();
        }
        return std::max(target(mean_service), config::standing_wait_first * mean_service * std::ldexp(1.0, -halvings_));
    }

private:
    static double target(double mean_service) { return config::standing_wait * mean_service; }

    void turn_window(instant now, double mean_service)
    {
        if (now < window_end_) {
            return;
        }
        static const int halvings_most =
            static_cast<int>(std::ceil(std::log2(config::standing_wait_first / config::standing_wait)));
        const bool stands = std::isfinite(least_) && least_ > target(mean_service);
        const bool relaxed = turned_away_ < config::standing_turned_away * arrived_;
        if (stands) {
            halvings_ = std::min(halvings_ + 1, halvings_most);
        }
        else if (relaxed) {
            halvings_ = std::max(halvings_ - 1, 0);
        }
        // A window has to see several services end, or it would take any queue for a standing one.
        const duration services(static_cast<std::int64_t>(config::standing_services * mean_service));
        *this = standing_queue(now + std::max(config::standing_window, services), halvings_);
    }

    instant window_end_{};
    int halvings_ = 0;
    // Of this window.
    double least_ = std::numeric_limits<double>::infinity(); // no request has left the queue yet
    double arrived_ = 0;
    double turned_away_ = 0;

    standing_queue(instant window_end, int halvings) : window_end_(window_end), halvings_(halvings) {}

public:
    standing_queue() = default;
};

} // namespace skylarkhub
