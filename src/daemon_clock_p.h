// The only places where the daemon reads a clock.
#pragma once

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// Monotonic; goes on while the process is stopped, so an entry that was frozen sees that time has passed.
inline instant read_clock()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return instant(std::chrono::duration_cast<duration>(since));
}

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
