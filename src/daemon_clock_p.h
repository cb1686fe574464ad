// The daemon's clocks; it reads no other.
#pragma once

#include "platform_timer_p.h" // read_clock, the monotonic clock
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// For due times and records only; never for leases.
inline wall_time read_wall_clock()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return wall_time(std::chrono::duration_cast<duration>(since));
}

inline std::int64_t wall_ms(wall_time t)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(t.time_since_epoch()).count();
}

} // namespace skylarkhub
