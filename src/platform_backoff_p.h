// Waits between tries: they double up to a limit, each drawn at random around its length.
#pragma once

#include <random>

#include "config.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

using table_random = std::mt19937_64;

// Callers that failed at the same moment would otherwise all come back at the same moment; the draw spreads them.
class table_backoff {
public:
    table_backoff() = default;
    table_backoff(duration first, duration most) : length_(first), first_(first), most_(most) {}

    // The wait before the next try, between half and one and a half of the current length; the length then doubles.
    duration next(table_random& random);
    void reset() { length_ = first_; }

private:
    duration length_ = config::table_backoff_first;
    duration first_ = config::table_backoff_first;
    duration most_ = config::table_backoff_most;
};

} // namespace skylarkhub
