// What the daemon's two kinds of entry share from their start to their stop.
#pragma once

#include <fmt/format.h>
#include <unistd.h>

#include <thread>

#include "daemon_clock_p.h"

namespace skylarkhub {

// Names this life of an entry; no other process of the entry gets the same name.
inline incarnation_id make_incarnation(const entry_id& entry)
{
    return incarnation_id(fmt::format("{}@{}-{}", entry.str(), wall_ms(read_wall_clock()), getpid()));
}

// Waits for `done` at most `most`, looking every `poll`; false when it did not come.
template <class Done> bool wait_until(duration most, duration poll, Done done)
{
    const instant end = read_clock() + most;
    while (!done()) {
        if (read_clock() > end) {
            return false;
        }
        std::this_thread::sleep_for(poll);
    }
    return true;
}

} // namespace skylarkhub
